#pragma once

#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/fleet/ServerRateLimits.h"

#include <map>
#include <vector>

namespace hemlockchute {

/** Requests of one rank that a host would send to a server with a rate limit. */
struct RateDemand {
    ServerIncarnation server;
    unsigned rank = 0;
    unsigned requests = 0;
};

/** The rank of demand for which no request waits yet; less urgent than any other. */
inline constexpr unsigned expectedDemandRank = 255;
/** The least urgent rank of a waiting request. */
inline constexpr unsigned leastUrgentWaitingRank = expectedDemandRank - 1;

/** Requests that a host may send to a server with a rate limit. */
struct RateGrant {
    ServerIncarnation server;
    /** The rank of the demand that it replies to; the host may use it for any request. */
    unsigned rank = 0;
    unsigned requests = 0;
    /** Time until it ends. */
    Duration remaining {};
    /** Requests of all hosts that wait for the server, of this rank or a more urgent one. */
    unsigned waiting = 0;
};

//==============================================================================
/**
    Divides the request rates that servers accept among hosts.

    Load pattern: a few requests per second for hundreds of hosts, so that no host can own a part of the
    rate. The leader grants single requests to hosts that ask, the most urgent first, and each grant
    ends after a short time. What is granted in a time span, and therefore what is sent, exceeds the
    rate only by the burst and the lifetime of the grants. A relay divides what the leader granted to it.

    Thread safety: one thread at a time.

    @see ServerRateLimits
*/
class RateGrantPool {
public:
    struct Options {
        Duration grantLifetime = 1s;
        /** The time for which an unused rate accumulates, besides one request. */
        Duration burst = 250ms;
        /** A host's demand counts for this long unless it is replaced. */
        Duration demandLifetime = 1s;
        /** Lower limits are raised to this rate, since only an answer can tell that a limit has ended. */
        RequestRate minimumRate { 0.2 };
    };

    explicit RateGrantPool(Options options)
        : m_options(options)
    {
    }

    /** Sets the limits in force, at the leader; ends all others. A server that had none starts without unused requests. */
    void setLimits(const std::vector<RateLimitNotice>&, Instant now);
    /** Adds the grants of the leader's reply to a poll that was sent at `asked`, at a relay. */
    void deposit(const std::vector<RateGrant>&, Instant asked);
    /** Replaces the host's demand, and grants it what is free and nobody needs more urgently; one grant for each demand, and an empty one for each other server for which requests wait. */
    std::vector<RateGrant> take(const HostName&, std::vector<RateDemand>, Instant now);
    /** The demand of all hosts beyond what could be granted, by server and rank. */
    std::vector<RateDemand> unmetDemand(Instant now);

private:
    struct HostDemand {
        Instant at {};
        std::map<unsigned, unsigned> requestsByRank;
    };

    struct Deposit {
        unsigned requests = 0;
        Instant end {};
    };

    struct Server {
        std::optional<RequestRate> rate;
        double unused = 0;
        Instant refilled {};
        std::vector<Deposit> deposits;
        std::map<HostName, HostDemand> demands;
        /** By rank, as the leader has reported it to a relay. */
        std::map<unsigned, unsigned> waitingElsewhere;
    };

    unsigned available(Server&, Instant now) const;
    Instant consume(Server&, unsigned requests, Instant now) const;
    unsigned waiting(const Server&, unsigned rank, Instant now) const;
    unsigned demanded(const Server&, unsigned mostRank, const HostName* except, Instant now) const;
    void expire(Instant now);

    Options m_options;
    std::map<ServerIncarnation, Server> m_servers;
};

} // namespace hemlockchute
