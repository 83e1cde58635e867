#pragma once

#include "hemlockchute/fleet/FleetMessages.h"
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
        /** A gateway that was not heard of for so long counts no more. */
        Duration gatewayLifetime = 2s;
        Duration arrivalsFade = 4s;
        Duration refusalsFade = 3s;
    };

    explicit DemandBook(Options options)
        : m_options(options)
    {
    }

    void take(const FollowRequest&, Instant now);
    /** The demand for one service's models, as of now. */
    ModelPlacer::Demands demands(const ServiceName&, Instant now);
    /** Requests at each server from all gateways. */
    std::map<BackendServerName, ServerLoad> outstanding(Instant now) const;
    /** Gateways heard of lately. */
    unsigned gateways(Instant now) const;

private:
    struct Gateway {
        Instant heard {};
        std::vector<ModelDemandReport> demands;
        std::vector<ServerOutstanding> outstanding;
    };

    struct Flow {
        double arrivalsPerSecond = 0;
        double refused = 0;
        unsigned rank = 0;
        Instant faded {};
    };

    void fade(Flow&, Instant now) const;

    Options m_options;
    std::map<HostName, Gateway> m_gateways;
    std::map<ModelKey, Flow> m_flows;
};

} // namespace hemlockchute
