#pragma once

#include "hemlockchute/core/Clock.h"

#include <algorithm>

namespace hemlockchute {

/** How often gateways ask their coordinator, and relays the leader. Thread safety: any thread. */

/** The most often that a gateway asks while nothing is urgent. */
inline constexpr Duration minimumFollowInterval = 150ms;
/** Added for each gateway that asks the same coordinator, so that its load does not follow their number. */
inline constexpr Duration followIntervalPerFollower = 5ms;
/** How often a relay asks the leader. */
inline constexpr Duration relayInterval = 100ms;
/** The same bounds on a gateway's interval while requests wait there for a model. */
inline constexpr Duration minimumWaitingInterval = 100ms;
inline constexpr Duration waitingIntervalPerFollower = 2ms;
/** Between two calls when something urgent came up. */
inline constexpr Duration urgentFollowInterval = 20ms;
/** The way of a call and its answer. */
inline constexpr Duration propagationMargin = 10ms;
/** With fewer gateways, each asks the leader itself: its news comes sooner then. */
inline constexpr unsigned minimumGatewaysForRelays = 25;

/** The interval of gateways that share their coordinator with so many. */
inline Duration followInterval(unsigned followers)
{
    return std::max<Duration>(minimumFollowInterval, followers * followIntervalPerFollower);
}

/** The interval of gateways at which requests wait. */
inline Duration waitingInterval(unsigned followers)
{
    return std::max<Duration>(minimumWaitingInterval, followers * waitingIntervalPerFollower);
}

/** The time in which every gateway has heard the leader's news, with so many that follow it and so many behind the busiest relay; the latter is 0 when there are no relays. */
inline Duration propagationTime(unsigned followers, unsigned behindRelay)
{
    Duration direct = followInterval(followers);
    return propagationMargin + (behindRelay == 0 ? direct : std::max(direct, relayInterval + followInterval(behindRelay)));
}

} // namespace hemlockchute
