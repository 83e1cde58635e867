#pragma once

#include "hemlockchute/core/Clock.h"

#include <cstdint>
#include <string>

namespace hemlockchute {

// Helpers and constants shared by the source files of RequestForwarder. Thread safety: any thread.

inline std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** Formats seconds with three decimal places. */
std::string secondsText(Duration);

/** The attempts at servers for one request, including servers that could not be reached. */
inline constexpr unsigned maximumTries = 5;
/** The minimum time that a request needs at a server; with less left before its deadline it cannot be served. */
inline constexpr Duration minimumServiceTime = 20ms;
/** The lower bound of the retry time sent to callers, and its value when no better estimate exists. */
inline constexpr Duration minimumRetryAfter = 300ms;
/** While every server is full, a request waits for a third of its time only, so that its caller has time to retry. */
inline constexpr int fullWaitDivisor = 3;
/** Requests in progress are aborted this long before the process exits, so that their callers get a response. */
inline constexpr Duration abortLeadTime = 300ms;
/** The process begins to end this long before the end of the grace period: whoever started it kills it there, and the end itself takes time. */
inline constexpr Duration exitLeadTime = 100ms;
inline constexpr unsigned statusUnauthorized = 401;
/** Answers from this status on count as failed. */
inline constexpr unsigned firstFailure = 500;
inline constexpr unsigned statusUnavailable = 503;

} // namespace hemlockchute
