#pragma once

#include <cstddef>
#include <limits>
#include <memory>
#include <mutex>
#include <utility>

namespace hemlockchute {

//==============================================================================
/**
    A memory budget for bytes that are buffered for others, such as responses before they are
    forwarded or decoded.

    Bounds each holder, and all of them together, against peers whose messages do not end. Small
    holders are granted bytes from a separate reserve when the total is used up, so that one faulty
    peer does not affect the others. Thread safety: any thread.

    @see BufferReservation, RequestBufferBudget
*/
class BufferBudget {
public:
    /** Bounds in bytes. An entry host has 160 MB in total, and a caller's request body may have 4 MB. */
    struct Options {
        std::size_t perHolder = 8U << 20U;
        std::size_t total = 32U << 20U;
        /** The size up to which a holder may use the reserve. */
        std::size_t small = 64U << 10U;
        /** Bytes beyond the total for small holders. */
        std::size_t reserve = std::numeric_limits<std::size_t>::max() / 2;

        Options withPerHolder(std::size_t value) const
        {
            Options copy = *this;
            copy.perHolder = value;
            return copy;
        }
        Options withTotal(std::size_t value) const
        {
            Options copy = *this;
            copy.total = value;
            return copy;
        }
        Options withSmall(std::size_t value) const
        {
            Options copy = *this;
            copy.small = value;
            return copy;
        }
        Options withReserve(std::size_t value) const
        {
            Options copy = *this;
            copy.reserve = value;
            return copy;
        }
    };

    BufferBudget() = default;
    explicit BufferBudget(Options options)
        : m_options(options)
    {
    }

    std::size_t reservedBytes() const
    {
        std::lock_guard guard(m_lock);
        return m_reservedBytes;
    }

    const Options& options() const { return m_options; }

    /** Changes a holder's bytes from one size to another; false when that exceeds the budget. They are changed either way. */
    bool exchange(std::size_t current, std::size_t wanted)
    {
        std::lock_guard guard(m_lock);
        m_reservedBytes = m_reservedBytes - current + wanted;
        return fits(wanted, m_reservedBytes);
    }

    /** Changes a holder's bytes from one size to another unless that exceeds the budget; false when it does. */
    bool tryExchange(std::size_t current, std::size_t wanted)
    {
        std::lock_guard guard(m_lock);
        std::size_t reserved = m_reservedBytes - current + wanted;
        bool isGranted = wanted <= current || fits(wanted, reserved);
        if (isGranted)
            m_reservedBytes = reserved;
        return isGranted;
    }

private:
    bool fits(std::size_t wanted, std::size_t reserved) const
    {
        std::size_t limit = wanted <= m_options.small ? m_options.total + m_options.reserve : m_options.total;
        return wanted <= m_options.perHolder && reserved <= limit;
    }

    Options m_options;
    mutable std::mutex m_lock;
    std::size_t m_reservedBytes = 0;
};

//==============================================================================
/** The bytes of the budget that one holder uses; released on destruction. Thread safety: one thread at a time. */
class BufferReservation {
public:
    explicit BufferReservation(std::shared_ptr<BufferBudget> budget)
        : m_budget(std::move(budget))
    {
    }
    ~BufferReservation() { m_budget->exchange(m_bytes, 0); }
    BufferReservation(const BufferReservation&) = delete;
    BufferReservation& operator=(const BufferReservation&) = delete;

    /** Sets the number of bytes buffered now; false when they exceed the budget. They count until destruction either way. */
    bool resize(std::size_t bytes) { return m_budget->exchange(std::exchange(m_bytes, bytes), bytes); }

private:
    std::shared_ptr<BufferBudget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace hemlockchute
