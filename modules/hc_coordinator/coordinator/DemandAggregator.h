#pragma once

#include "coordinator/GatewayTracker.h"
#include "hemlockchute/fleet/ModelPlacer.h"

#include <map>

namespace hemlockchute {

//==============================================================================
/**
    Aggregates the gateways' reports into the demand for each model and the requests at each server.

    Arrivals and refusals decay exponentially over a few seconds, so that the totals follow trends
    rather than single requests. Thread safety: one thread at a time.
*/
class DemandAggregator {
public:
    /** Decay time constants. */
    struct Options {
        Duration arrivalsDecay = 4s;
        Duration refusalsDecay = 3s;
    };

    explicit DemandAggregator(Options options)
        : m_options(options)
    {
    }

    /** Counts requests at servers only from reports of this epoch from now on; no effect if it is the current one. */
    void beginEpoch(std::uint64_t epoch) { m_gateways.beginEpoch(epoch); }
    void recordReport(const FollowRequest&, Instant now);
    /** The current demand for one service's models. */
    ModelPlacer::Demands demands(const ServiceName&, Instant now);
    /** The gateways that reported recently, and their requests. */
    const GatewayTracker& gateways(Instant now);

private:
    struct Flow {
        double arrivalsPerSecond = 0;
        double refused = 0;
        unsigned rank = 0;
        Instant decayedAt {};
    };

    void decay(Flow&, Instant now) const;

    Options m_options;
    GatewayTracker m_gateways { GatewayTracker::Options() };
    std::map<ModelKey, Flow> m_flows;
};

} // namespace hemlockchute
