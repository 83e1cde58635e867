#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <utility>

namespace hemlockchute {

//==============================================================================
/**
    A memory budget for response bytes that are buffered before they are forwarded or decoded.

    Bounds each response, and all of them together, against servers whose responses do not end.
    Small responses are always granted, so that one faulty server does not affect the others.
    Thread safety: any thread.

    @see ResponseBufferReservation
*/
class ResponseBufferBudget {
public:
    /** Bounds in bytes. An entry host has 160 MB in total, and a caller's request body may have 4 MB. */
    struct Options {
        std::size_t perResponse = 8U << 20U;
        std::size_t total = 32U << 20U;
        std::size_t alwaysGranted = 64U << 10U;

        Options withPerResponse(std::size_t value) const
        {
            Options copy = *this;
            copy.perResponse = value;
            return copy;
        }
        Options withTotal(std::size_t value) const
        {
            Options copy = *this;
            copy.total = value;
            return copy;
        }
    };

    ResponseBufferBudget() = default;
    explicit ResponseBufferBudget(Options options)
        : m_options(options)
    {
    }

    std::size_t reservedBytes() const
    {
        std::lock_guard guard(m_lock);
        return m_reservedBytes;
    }

private:
    friend class ResponseBufferReservation;

    /** Changes a reservation from one size to another; false when that exceeds the budget. It is changed either way. */
    bool exchange(std::size_t current, std::size_t wanted)
    {
        std::lock_guard guard(m_lock);
        m_reservedBytes = m_reservedBytes - current + wanted;
        bool fitsTotal = m_reservedBytes <= m_options.total;
        return wanted <= m_options.perResponse && (fitsTotal || wanted <= m_options.alwaysGranted);
    }

    Options m_options;
    mutable std::mutex m_lock;
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
    ~ResponseBufferReservation() { m_budget->exchange(m_bytes, 0); }
    ResponseBufferReservation(const ResponseBufferReservation&) = delete;
    ResponseBufferReservation& operator=(const ResponseBufferReservation&) = delete;

    /** Sets the number of bytes buffered now; false when they exceed the budget. They count until destruction either way. */
    bool resize(std::size_t bytes) { return m_budget->exchange(std::exchange(m_bytes, bytes), bytes); }

private:
    std::shared_ptr<ResponseBufferBudget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace hemlockchute
