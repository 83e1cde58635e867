#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace hemlockchute {

/** Octets on the wire or on disk; not necessarily text. */
using ByteString = std::string;

/** A number of requests per second. Thread safety: a plain value. */
struct RequestRate {
    double perSecond = 0;

    friend auto operator<=>(const RequestRate&, const RequestRate&) = default;
};

//==============================================================================
/**
    A number of bytes of memory or disk.

    Subtraction that would go below zero gives zero. Thread safety: as an integer.
*/
class ByteCount {
public:
    constexpr ByteCount() = default;
    constexpr explicit ByteCount(std::uint64_t bytes)
        : m_bytes(bytes)
    {
    }

    static constexpr ByteCount kibibytes(std::uint64_t count) { return ByteCount(count << 10U); }
    static constexpr ByteCount mebibytes(std::uint64_t count) { return ByteCount(count << 20U); }
    static constexpr ByteCount gibibytes(std::uint64_t count) { return ByteCount(count << 30U); }

    constexpr std::uint64_t value() const { return m_bytes; }

    friend constexpr auto operator<=>(ByteCount, ByteCount) = default;
    friend constexpr ByteCount operator+(ByteCount a, ByteCount b) { return ByteCount(a.m_bytes + b.m_bytes); }
    friend constexpr ByteCount operator-(ByteCount a, ByteCount b)
    {
        return ByteCount(a.m_bytes > b.m_bytes ? a.m_bytes - b.m_bytes : 0);
    }
    constexpr ByteCount& operator+=(ByteCount other) { return *this = *this + other; }
    constexpr ByteCount& operator-=(ByteCount other) { return *this = *this - other; }

private:
    std::uint64_t m_bytes = 0;
};

} // namespace hemlockchute
