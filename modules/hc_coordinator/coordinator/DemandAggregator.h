#pragma once

#include "coordinator/GatewayTracker.h"
#include "hemlockchute/fleet/ModelPlacer.h"

#include <map>

namespace hemlockchute {

//==============================================================================
/**
    Adds up what the gateways report: demand by model, and requests by server.

    Arrivals and refusals fade over some seconds, so that the sum follows a change of what callers
    ask for and not each request. Thread safety: one thread at a time.
*/
class DemandAggregator {
public:
    /** Times over which what was reported counts. */
    struct Options {
        Duration arrivalsDecay = 4s;
        Duration refusalsDecay = 3s;
    };

    explicit DemandAggregator(Options options)
        : m_options(options)
    {
    }

    /** Counts requests at servers by the handles of this epoch only; does nothing when it goes on. */
    void beginEpoch(std::uint64_t epoch) { m_gateways.beginEpoch(epoch); }
    void recordReport(const FollowRequest&, Instant now);
    /** The demand for one service's models, as of now. */
    ModelPlacer::Demands demands(const ServiceName&, Instant now);
    /** The gateways and their requests, as of now. */
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
