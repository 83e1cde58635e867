#pragma once

#include "gateway/SlidingQuantile.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/fleet/RetryBudget.h"

#include <map>
#include <optional>
#include <string_view>

namespace hemlockchute {

//==============================================================================
/**
    Decides whether and when a request that may be repeated is sent to a second server while the first
    one has not answered (a hedged request).

    The delay is a quantile of the recent times to the head of an answer for the service. Hedges stay
    within a ratio of the service's requests at this host, which bounds their sum over all hosts by the
    same ratio, and are charged to the retry budget. Off while the ratio is 0. Thread safety: one
    thread at a time.

    @see RequestForwarder
*/
class HedgePolicy {
public:
    struct Options {
        /** The share of a service's requests that may be hedged. */
        double ratio = 0;
        /** The lower bound of the delay. */
        Duration minimumDelay = 20ms;
        /** The span in which the ratio holds. */
        Duration window = 60s;
        SlidingQuantile::Options times;

        Options withRatio(double) const;
        Options withMinimumDelay(Duration) const;
    };

    /** Why a request is not hedged. */
    enum class Obstacle {
        FewSamples,
        GatewayStops,
        Suspect,
        NoAttempt,
        NoTime,
        AccessRevoked,
        RequestsWait,
        ServersPaused,
        ServersLimited,
        NoFreeServer,
        Ratio,
        RetryBudget
    };

    /** What holds for a request at the time at which its hedge is due. */
    struct Situation {
        bool isStopping = false;
        /** True if the request or a part of its prompt is quarantined, or suspected of crashing servers. */
        bool isSuspect = false;
        /** True if the route's attempts allow another send. */
        bool hasAttempt = true;
        bool hasTime = true;
        bool isAccessRevoked = false;
        /** True while a server of the service is paused or recovers from a pause. */
        bool hasPausedServer = false;
        bool hasLimitedServer = false;
        /** True if a server that was not tried has fewer requests than slots. */
        bool hasFreeServer = true;
    };

    explicit HedgePolicy(Options);

    bool isEnabled() const { return m_options.ratio > 0; }
    /** Counts a caller's request. */
    void noteRequest(const ServiceName&, Instant now);
    /** Records the time from a send to the head of its answer, or the time after which a server without a head was left for another one's answer. */
    void noteHeadTime(const ServiceName&, Duration, Instant now);
    /** Counts requests that wait at this gateway for a server of the service. */
    void addWaiting(const ServiceName&, int change);
    /** The time after the first send at which the hedge is due; nothing while hedging is off or the recent times are too few. */
    std::optional<Duration> delay(const ServiceName&, Instant now);
    /** Nothing if a hedge may be sent now, which is then charged to the ratio and to the retry budget; otherwise neither is charged. */
    std::optional<Obstacle> tryHedge(const ServiceName&, const Situation&, RetryBudget& retries, Instant now);

    /** The cause as it appears in metrics. */
    static std::string_view nameOf(Obstacle);

private:
    struct Service {
        explicit Service(const SlidingQuantile::Options& options)
            : headTimes(options)
        {
        }

        SlidingQuantile headTimes;
        int waiting = 0;
    };

    Service& serviceOf(const ServiceName&);
    std::optional<Obstacle> obstacle(const ServiceName&, const Situation&, RetryBudget& retries, Instant now);

    Options m_options;
    /** Counts hedges in place of resends. */
    RetryBudget m_share;
    std::map<ServiceName, Service> m_services;
};

} // namespace hemlockchute
