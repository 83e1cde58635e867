#pragma once

#include "hemlockchute/core/Clock.h"

#include <algorithm>

namespace hemlockchute {

/** How often gateways poll their coordinator, and relays the leader. Thread safety: any thread. */

/** Shortest polling interval of a gateway while nothing is urgent. */
inline constexpr Duration minimumFollowInterval = 150ms;
/** Minimum interval per gateway at the same coordinator, so that its load does not grow with their number. */
inline constexpr Duration followIntervalPerFollower = 5ms;
/** Polling interval of a relay at the leader. */
inline constexpr Duration relayInterval = 100ms;
/** The same bounds for a gateway where requests wait for a model. */
inline constexpr Duration minimumWaitingInterval = 100ms;
inline constexpr Duration waitingIntervalPerFollower = 2ms;
/** How long after a server crashed under a request a verdict on its prompt is expected. */
inline constexpr Duration verdictExpectationTime = 1s;
/** Polling interval of a relay, and shortest of a gateway, meanwhile: more servers crash until all hosts know the verdict. */
inline constexpr Duration minimumVerdictInterval = 40ms;
/** Minimum time between two polls when something urgent came up. */
inline constexpr Duration urgentFollowInterval = 20ms;
/** Allowance for the round trip of a poll. */
inline constexpr Duration propagationMargin = 10ms;
/** With fewer gateways than this, each polls the leader directly, which is faster than through a relay. */
inline constexpr unsigned minimumGatewaysForRelays = 25;

/** Polling interval of a gateway whose coordinator has this many followers. */
inline Duration followInterval(unsigned followers)
{
    return std::max<Duration>(minimumFollowInterval, followers * followIntervalPerFollower);
}

/** Polling interval of a gateway where requests wait for a model. */
inline Duration waitingInterval(unsigned followers)
{
    return std::max<Duration>(minimumWaitingInterval, followers * waitingIntervalPerFollower);
}

/** Polling interval of a gateway that expects a verdict on a prompt. */
inline Duration verdictInterval(unsigned followers)
{
    return std::max<Duration>(minimumVerdictInterval, followers * waitingIntervalPerFollower);
}

/** Time for a change at the leader to reach every gateway, given its followers and the gateways behind the busiest relay, 0 without relays. */
inline Duration propagationTime(unsigned followers, unsigned behindRelay)
{
    Duration direct = followInterval(followers);
    return propagationMargin + (behindRelay == 0 ? direct : std::max(direct, relayInterval + followInterval(behindRelay)));
}

} // namespace hemlockchute
