#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace hemlockchute {

//==============================================================================
/**
    A memory budget for response bytes that are buffered before they are forwarded.

    Bounds each response, and all of them together, against servers whose responses do not end.
    Small responses are always granted, so that one faulty server does not affect the others.
    Thread safety: one thread at a time.

    @see ResponseBufferReservation
*/
class ResponseBufferBudget {
public:
    /** Bounds in bytes. An entry host has 160 MB in total, and a caller's request body may have 4 MB. */
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

    bool canReserve(std::size_t current, std::size_t wanted) const
    {
        bool fitsTotal = m_reservedBytes - current + wanted <= m_options.total;
        return wanted <= m_options.perResponse && (fitsTotal || wanted <= m_options.alwaysGranted);
    }

    Options m_options;
    std::size_t m_reservedBytes = 0;
};

//==============================================================================
/** The share of the budget that one response uses; released on destruction. Thread safety: one thread at a time. */
class ResponseBufferReservation {
public:
    explicit ResponseBufferReservation(std::shared_ptr<ResponseBufferBudget> budget)
        : m_budget(std::move(budget))
    {
    }
    ~ResponseBufferReservation() { m_budget->m_reservedBytes -= m_bytes; }
    ResponseBufferReservation(const ResponseBufferReservation&) = delete;
    ResponseBufferReservation& operator=(const ResponseBufferReservation&) = delete;

    /** Sets the number of bytes buffered now; false when they exceed the budget. They count until destruction either way. */
    bool resize(std::size_t bytes)
    {
        bool isGranted = m_budget->canReserve(m_bytes, bytes);
        m_budget->m_reservedBytes += bytes - m_bytes;
        m_bytes = bytes;
        return isGranted;
    }

private:
    std::shared_ptr<ResponseBufferBudget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace hemlockchute
