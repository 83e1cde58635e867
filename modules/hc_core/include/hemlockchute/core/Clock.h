#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace hemlockchute {

using Duration = std::chrono::nanoseconds;
/** A point on the monotonic clock of one process; means nothing in another process. */
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/** Milliseconds since 1970, for records that outlive a process. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

using namespace std::chrono_literals;

/** The process's monotonic time, for code that does I/O and keeps no Clock. Thread safety: any thread. */
inline Instant currentTime()
{
    return std::chrono::steady_clock::now();
}

//==============================================================================
/**
    Tells the time; tests put a ManualClock in its place.

    Decision classes take no clock at all: their callers hand them `now`.
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

/** As SystemClock, but its monotonic time goes on while the machine is suspended: for leases. @see SystemClock */
class SuspendAwareClock : public SystemClock {
public:
    Instant now() const override;
};

/** A clock that moves only when told to, for tests and experiments. @see SystemClock */
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
