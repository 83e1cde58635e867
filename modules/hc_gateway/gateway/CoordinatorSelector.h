#pragma once

#include "hemlockchute/fleet/FleetMessages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Selects the coordinator that this gateway polls.

    Spreads the load of hundreds of gateways that follow one leader. Where coordinators relay the
    leader's replies, relays of the gateway's own data centre are preferred; a hash spreads gateways
    over them, and over the relays of other data centres when they fail. A gateway stays with a
    reachable relay during an election, so that not all gateways transfer the full state from
    another data centre. Without relays the leader is polled. A coordinator that failed is backed
    off; without a known leader all coordinators are tried in turn. Thread safety: one thread at a
    time.

    @see CoordinatorLink
*/
class CoordinatorSelector {
public:
    /** Back-off times. */
    struct Options {
        /** The back-off of a coordinator that did not reply, or has no leader. */
        Duration backoff = 700ms;
        /** The back-off of a leader that cannot confirm its leadership yet. */
        Duration leaderBackoff = 50ms;
        /** The time for which a relay of the own data centre may be without a leader; longer than an election. */
        Duration relayElectionTimeout = 1500ms;
    };

    CoordinatorSelector(HostName self, DataCentreName own, Options);

    /** Adds known coordinators. */
    void add(const std::set<Endpoint>&);
    /** Sets the relays and the leader, as reported by a coordinator with a current leader. */
    void setTopology(const std::vector<CoordinatorLocation>& relays, const std::optional<Endpoint>& leader);
    /** Notes that a call to a coordinator failed. */
    void noteFailure(const Endpoint&, Instant now);
    /** Notes that a coordinator has no current leader; `leader` is the one that it names, if any. Returns true when the coordinator should be polled again. */
    bool noteNoLeader(const Endpoint&, const std::optional<Endpoint>& leader, Instant now);

    /** The coordinator to poll next. Precondition: one was added. */
    Endpoint next(Instant now);

private:
    using Places = std::map<Endpoint, DataCentreName>;

    bool isBackedOff(const Endpoint&, Instant now) const;
    std::optional<Endpoint> preferredRelay(bool isOwnDataCentre, Instant now) const;

    HostName m_self;
    DataCentreName m_ownDataCentre;
    Options m_options;
    std::set<Endpoint> m_all;
    Places m_relays;
    std::optional<Endpoint> m_leader;
    std::map<Endpoint, Instant> m_backoffUntil;
    /** The time since which the relay of the own data centre has had no leader. */
    std::optional<Instant> m_leaderlessSince;
    /** The last coordinator that was tried in turn. */
    std::optional<Endpoint> m_last;
};

} // namespace hemlockchute
