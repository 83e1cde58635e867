#pragma once

#include "coordinator/GatewayBook.h"
#include "hemlockchute/fleet/ModelPlacer.h"

#include <map>

namespace hemlockchute {

//==============================================================================
/**
    Adds up what the gateways report: demand by model, and requests by server.

    Arrivals and refusals fade over some seconds, so that the sum follows a change of what callers
    ask for and not each request. Thread safety: one thread at a time.
*/
class DemandBook {
public:
    /** Times over which what was reported counts. */
    struct Options {
        Duration arrivalsFade = 4s;
        Duration refusalsFade = 3s;
    };

    explicit DemandBook(Options options)
        : m_options(options)
    {
    }

    /** Counts requests at servers by the handles of this epoch only; does nothing when it goes on. */
    void begin(std::uint64_t epoch) { m_gateways.begin(epoch); }
    void take(const FollowRequest&, Instant now);
    /** The demand for one service's models, as of now. */
    ModelPlacer::Demands demands(const ServiceName&, Instant now);
    /** The gateways and their requests, as of now. */
    const GatewayBook& gateways(Instant now);

private:
    struct Flow {
        double arrivalsPerSecond = 0;
        double refused = 0;
        unsigned rank = 0;
        Instant faded {};
    };

    void fade(Flow&, Instant now) const;

    Options m_options;
    GatewayBook m_gateways { GatewayBook::Options() };
    std::map<ModelKey, Flow> m_flows;
};

} // namespace hemlockchute
