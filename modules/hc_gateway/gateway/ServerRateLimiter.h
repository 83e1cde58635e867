#pragma once

#include "hemlockchute/fleet/FleetMessages.h"
#include "hemlockchute/fleet/RateGrantPool.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Keeps this gateway within the rate limits that servers set for all hosts together.

    A request may be sent to a server with a limit only under a grant of the leader; the most urgent
    waiting request has it first. Without a leader, each host sends at its part of half the limit, at
    times of its own, so that the hosts keep within the limit without contact. Thread safety: one thread
    at a time.

    @see RateGrantPool, ServerAdmission
*/
class ServerRateLimiter {
public:
    struct Options {
        ServerRateLimits::Options limits;
        /** Without contact with a leader for this time, this gateway decides alone. */
        Duration leaderTimeout = 2500ms;
        /** The part of a limit that all hosts use while they are alone. */
        double aloneShare = 0.5;
        /** The number of hosts, until a coordinator has told it; as many as the largest fleet has. */
        unsigned assumedHosts = 300;
        RequestRate minimumRate = RateGrantPool::Options().minimumRate;
        /** Bound on the demand reported for one server, for which no request waits. */
        unsigned maximumExpectedDemand = 1000;
    };

    /** The seed must differ between hosts. */
    ServerRateLimiter(Options options, unsigned seed)
        : m_options(options)
        , m_random(seed)
        , m_limits(options.limits)
    {
    }

    //==============================================================================
    /** Records what an answer said; true if the limit in force has changed. */
    bool note(const RateLimitNotice&);
    std::optional<RequestRate> limitOf(const ServerIncarnation& server) const { return m_limits.limitOf(server); }
    /** True if a request of this rank may be sent to the server now. */
    bool admits(const ServerIncarnation&, unsigned rank, Instant now);
    /** Uses a grant for a request that is about to be sent; returns its end, or nothing if the server has no limit. */
    std::optional<Instant> take(const ServerIncarnation&, Instant now);
    /** Returns a grant that was not used, and its end. */
    void giveBack(const ServerIncarnation&, Instant end);
    /** Counts requests of a rank that wait for the server. */
    void addWaiting(const ServerIncarnation&, unsigned rank, int change);
    /** Notes that a request could have been sent to the server but for its limit, and does not wait for it. */
    void noteDemand(const ServerIncarnation&);
    /** When a request of this rank, which waits for the server already or would begin to, may be sent to it. */
    Instant expectedAdmission(const ServerIncarnation&, unsigned rank, bool isWaiting, Instant now) const;
    /** True if more than one request is known to wait for the server, of this rank or a more urgent one. */
    bool areOthersWaiting(const ServerIncarnation&, unsigned rank) const;
    bool isWaiting() const { return !m_waiting.empty(); }

    //==============================================================================
    /** The limits known here, for the leader. */
    std::vector<RateLimitNotice> notices() const { return m_limits.notices(); }
    /** The demand for the next poll. */
    std::vector<RateDemand> takeDemands(Instant now);
    /** Applies the reply of a leader to a poll that was sent at `asked`. */
    void applyReply(const FollowReply&, Instant asked, Instant now);

private:
    struct Grant {
        unsigned requests = 0;
        Instant end {};
    };

    /** Grants of a server, and what was reported about it. */
    struct Server {
        std::vector<Grant> grants;
        /** Requests that used a grant, or would have, since the last poll. */
        unsigned expected = 0;
        /** By rank: requests of all hosts that wait, as last reported. */
        std::map<unsigned, unsigned> waiting;
        /** When the next request may be sent without a leader. */
        std::optional<Instant> nextAlone;
    };

    bool isAlone(Instant now) const { return now - m_lastContact > m_options.leaderTimeout; }
    Duration aloneInterval(RequestRate) const;
    static unsigned granted(const Server&, Instant now);
    unsigned waitingUpTo(const ServerIncarnation&, unsigned rank) const;
    unsigned waitingEverywhere(const ServerIncarnation&, unsigned rank) const;

    Options m_options;
    std::mt19937 m_random;
    ServerRateLimits m_limits;
    std::map<ServerIncarnation, Server> m_servers;
    std::map<ServerIncarnation, std::map<unsigned, unsigned>> m_waiting;
    unsigned m_hosts = 0;
    Instant m_lastContact {};
};

} // namespace hemlockchute
