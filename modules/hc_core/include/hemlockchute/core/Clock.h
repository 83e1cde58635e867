#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace hemlockchute {

using Duration = std::chrono::nanoseconds;
/** A point on the monotonic clock of one process; not comparable between processes. */
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/** Milliseconds since 1970, for records that outlive a process. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

using namespace std::chrono_literals;

/** The process's monotonic time, for I/O code that has no Clock. Thread safety: any thread. */
inline Instant currentTime()
{
    return std::chrono::steady_clock::now();
}

//==============================================================================
/**
    Source of time; tests substitute a ManualClock.

    Classes that only decide take no clock: their callers pass `now`.
    Thread safety: every method may be called from any thread.
*/
class Clock {
public:
    virtual ~Clock() = default;

    /** Monotonic time, unaffected by changes of the wall clock. */
    virtual Instant now() const = 0;
    /** Wall-clock time, for records shared between hosts. */
    virtual WallTime wallTime() const = 0;
};

/** The machine's own clocks. @see ManualClock */
class SystemClock : public Clock {
public:
    Instant now() const override { return std::chrono::steady_clock::now(); }
    WallTime wallTime() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }
};

/** A SystemClock whose monotonic time includes the time that the machine is suspended, as leases require. @see SystemClock */
class SuspendAwareClock : public SystemClock {
public:
    Instant now() const override;
};

/** A clock that moves only with advance(), for tests and simulations. @see SystemClock */
class ManualClock : public Clock {
public:
    Instant now() const override { return Instant(Duration(m_elapsed.load())); }
    WallTime wallTime() const override
    {
        return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(Duration(m_elapsed.load())));
    }

    void advance(Duration step) { m_elapsed += step.count(); }

private:
    std::atomic<std::int64_t> m_elapsed { std::chrono::duration_cast<Duration>(1h).count() };
};

} // namespace hemlockchute
