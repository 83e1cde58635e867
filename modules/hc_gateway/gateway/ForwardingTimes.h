#pragma once

#include "hemlockchute/core/Clock.h"

#include <cstdint>
#include <string>

namespace hemlockchute {

/** Small things that the sources of RequestForwarder share. Thread safety: any thread. */

inline std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** Seconds with three digits behind the point. */
std::string secondsText(Duration);

/** Time that a request needs at a server at the least; one with less left cannot be served. */
inline constexpr Duration minimumServiceTime = 20ms;
/** A caller may return after this when nothing better is known. */
inline constexpr Duration minimumRetryAfter = 300ms;
inline constexpr unsigned statusUnavailable = 503;

} // namespace hemlockchute
