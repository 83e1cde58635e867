#include "hemlockchute/core/Clock.h"

#include <ctime>

namespace hemlockchute {

Instant SuspendAwareClock::now() const
{
    std::timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace hemlockchute
