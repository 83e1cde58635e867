#pragma once

#include "hemlockchute/fleet/FleetMessages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Chooses the coordinator that this gateway asks.

    Answers the load in which hundreds of gateways follow one leader: where coordinators relay its
    answers, those of one's own data centre go first, and gateways spread over several of them by a
    hash, as they do over the others when theirs fail. A relay that is up and looks for the next
    leader keeps its gateways for a while, so that they do not all take everything from another
    data centre. Without relays the leader is asked. Who failed rests for a while, and who is all
    that is known is asked in turn. Thread safety: one
    thread at a time.

    @see CoordinatorLink
*/
class CoordinatorSelector {
public:
    /** Time bounds. */
    struct Options {
        /** A coordinator that did not answer, or had nothing to say, is not preferred for so long. */
        Duration backoff = 700ms;
        /** One that leads and cannot say so for certain yet is asked again after this. */
        Duration leaderBackoff = 50ms;
        /** A relay of the own data centre may look for a leader for so long; an election takes less. */
        Duration relayElectionTimeout = 1500ms;
    };

    CoordinatorSelector(HostName self, DataCentreName own, Options);

    /** Adds coordinators that may be asked. */
    void add(const std::set<Endpoint>&);
    /** Takes what a coordinator said with authority. */
    void setTopology(const std::vector<CoordinatorLocation>& relays, const std::optional<Endpoint>& leader);
    /** Notes that a coordinator did not answer. */
    void noteFailure(const Endpoint&, Instant now);
    /** Notes that a coordinator does not speak for a leader now, though it may name one; true when it is worth asking again. */
    bool noteNoLeader(const Endpoint&, const std::optional<Endpoint>& leader, Instant now);

    /** The coordinator to ask next. Precondition: one was added. */
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
    /** Since when the relay of the own data centre looks for a leader. */
    std::optional<Instant> m_leaderlessSince;
    /** The last one that was asked in turn. */
    std::optional<Endpoint> m_last;
};

} // namespace hemlockchute
