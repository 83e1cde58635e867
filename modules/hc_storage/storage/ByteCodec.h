#pragma once

#include "hemlockchute/core/Units.h"

#include <cstdint>
#include <string_view>

namespace hemlockchute {

//==============================================================================
/**
    Appends integers to a byte string in little-endian order.

    Thread safety: one thread at a time.

    @see ByteReader
*/
class ByteWriter {
public:
    explicit ByteWriter(ByteString& bytes)
        : m_bytes(bytes)
    {
    }

    template <typename Number>
    ByteWriter& number(Number value)
    {
        for (std::size_t i = 0; i < sizeof(Number); ++i)
            m_bytes += static_cast<char>(static_cast<std::uint64_t>(value) >> (8U * i));
        return *this;
    }

    ByteWriter& bytes(std::string_view value)
    {
        m_bytes += value;
        return *this;
    }

private:
    ByteString& m_bytes;
};

//==============================================================================
/**
    Reads what a ByteWriter wrote. Reading past the end gives zero or no bytes and sets hasFailed().

    Thread safety: one thread at a time.

    @see ByteWriter
*/
class ByteReader {
public:
    explicit ByteReader(std::string_view bytes)
        : m_rest(bytes)
    {
    }

    template <typename Number>
    Number number()
    {
        std::string_view taken = bytes(sizeof(Number));
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < taken.size(); ++i)
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(taken[i])) << (8U * i);
        return static_cast<Number>(value);
    }

    std::string_view bytes(std::size_t count)
    {
        if (count > m_rest.size()) {
            m_failed = true;
            m_rest = {};
            return {};
        }
        std::string_view taken = m_rest.substr(0, count);
        m_rest.remove_prefix(count);
        return taken;
    }

    bool isAtEnd() const { return m_rest.empty(); }
    bool hasFailed() const { return m_failed; }

private:
    std::string_view m_rest;
    bool m_failed = false;
};

} // namespace hemlockchute
