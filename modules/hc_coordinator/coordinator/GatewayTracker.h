#pragma once

#include "hemlockchute/fleet/FleetMessages.h"

#include <map>

namespace hemlockchute {

//==============================================================================
/**
    Adds up what runs and waits at the gateways, as each report replaces the one before it.

    Answers the load in which hundreds of gateways report several times a second: a report costs its
    own length, and the sums are ready when they are asked for. Thread safety: one thread at a time.
*/
class GatewayTracker {
public:
    /** Times over which what was reported counts. */
    struct Options {
        /** Who was not heard of for so long counts no more. */
        Duration lifetime = 2s;
    };

    /** Requests for a model or adapter. */
    struct Wanted {
        unsigned waiting = 0;
        unsigned active = 0;
        /** Reports that want it, by rank. */
        std::map<unsigned, unsigned> ranks;
    };

    explicit GatewayTracker(Options options)
        : m_options(options)
    {
    }

    /** Counts requests at servers by the handles of this epoch only; does nothing when it goes on. */
    void beginEpoch(std::uint64_t epoch);
    void recordReport(const FollowRequest&, Instant now);
    /** Leaves out those that fell silent. Call before reading. */
    void expire(Instant now);

    const std::map<ModelKey, Wanted>& wanted() const { return m_wanted; }
    /** Requests at each server; servers without requests are left out. */
    const std::map<ServerHandle, ServerLoad>& outstanding() const { return m_outstanding; }
    /** The gateways, those behind relays included. */
    unsigned gateways() const { return m_gateways; }
    /** Those that report here themselves. */
    unsigned followers() const { return m_followers; }
    /** The most gateways behind one relay. */
    unsigned maximumGatewaysPerRelay() const;
    /** The relays heard of. */
    std::vector<CoordinatorLocation> relays() const;

private:
    struct Report {
        Instant lastContact {};
        KeeperId relay;
        DataCentreName dataCentre;
        unsigned gateways = 1;
        std::vector<ModelDemandReport> demands;
        std::vector<ServerOutstanding> outstanding;
    };

    void add(const Report&);
    void subtract(const Report&);

    Options m_options;
    std::uint64_t m_epoch = 0;
    std::map<HostName, Report> m_reports;
    std::map<ModelKey, Wanted> m_wanted;
    std::map<ServerHandle, ServerLoad> m_outstanding;
    unsigned m_gateways = 0;
    unsigned m_followers = 0;
    Instant m_nextExpiry {};
};

} // namespace hemlockchute
