#pragma once

#include "hemlockchute/fleet/FleetMessages.h"

#include <map>

namespace hemlockchute {

//==============================================================================
/**
    Keeps each gateway's latest report and the totals over all of them.

    Built for hundreds of gateways that report several times a second: the totals are updated
    incrementally, so a report costs only its own length and reading is cheap.
    Thread safety: one thread at a time.
*/
class GatewayTracker {
public:
    /** Time bounds. */
    struct Options {
        /** A report counts for this long unless it is replaced. */
        Duration lifetime = 2s;
    };

    /** Requests for a model or adapter. */
    struct Wanted {
        unsigned waiting = 0;
        unsigned active = 0;
        /** Number of reports that want it, by rank. */
        std::map<unsigned, unsigned> ranks;
    };

    explicit GatewayTracker(Options options)
        : m_options(options)
    {
    }

    /** Counts requests at servers only from reports of this epoch from now on; no effect if it is the current one. */
    void beginEpoch(std::uint64_t epoch);
    void recordReport(const FollowRequest&, Instant now);
    /** Drops expired reports. Call before reading. */
    void expire(Instant now);

    const std::map<ModelKey, Wanted>& wanted() const { return m_wanted; }
    /** Requests at each server; servers without requests are left out. */
    const std::map<ServerHandle, ServerLoad>& outstanding() const { return m_outstanding; }
    /** Number of gateways, including those behind relays. */
    unsigned gateways() const { return m_gateways; }
    /** Number of gateways that report here directly. */
    unsigned followers() const { return m_followers; }
    /** The largest number of gateways behind one relay. */
    unsigned maximumGatewaysPerRelay() const;
    /** The relays that reported recently. */
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
