#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace hemlockchute {

//==============================================================================
/**
    The bytes of answers that are held here until they can be passed on.

    Answers the load of servers whose answers do not end: each answer is bounded, and so are all of
    them together. Small answers always fit, so that a server in trouble harms no other.
    Thread safety: one thread at a time.

    @see ResponseBufferReservation
*/
class ResponseBufferBudget {
public:
    /** Bounds in bytes; an entry host has 160 MB for everything, and a caller's body may have 4 MB. */
    struct Options {
        std::size_t perResponse = 8U << 20U;
        std::size_t total = 32U << 20U;
        std::size_t alwaysGranted = 64U << 10U;
    };

    ResponseBufferBudget() = default;
    explicit ResponseBufferBudget(Options options)
        : m_options(options)
    {
    }

    std::size_t reservedBytes() const { return m_reservedBytes; }

private:
    friend class ResponseBufferReservation;

    bool canReserve(std::size_t now, std::size_t wanted) const
    {
        bool fitsInAll = m_reservedBytes - now + wanted <= m_options.total;
        return wanted <= m_options.perResponse && (fitsInAll || wanted <= m_options.alwaysGranted);
    }

    Options m_options;
    std::size_t m_reservedBytes = 0;
};

//==============================================================================
/** One answer's part of the memory; given back with it. Thread safety: one thread at a time. */
class ResponseBufferReservation {
public:
    explicit ResponseBufferReservation(std::shared_ptr<ResponseBufferBudget> memory)
        : m_memory(std::move(memory))
    {
    }
    ~ResponseBufferReservation() { m_memory->m_reservedBytes -= m_bytes; }
    ResponseBufferReservation(const ResponseBufferReservation&) = delete;
    ResponseBufferReservation& operator=(const ResponseBufferReservation&) = delete;

    /** Notes that the answer holds so many bytes now; false when they are too many. */
    bool resize(std::size_t bytes)
    {
        bool canReserve = m_memory->canReserve(m_bytes, bytes);
        m_memory->m_reservedBytes += bytes - m_bytes;
        m_bytes = bytes;
        return canReserve;
    }

private:
    std::shared_ptr<ResponseBufferBudget> m_memory;
    std::size_t m_bytes = 0;
};

} // namespace hemlockchute
