#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/ServerIncarnation.h"
#include "hemlockchute/core/Units.h"

#include <map>
#include <optional>
#include <vector>

namespace hemlockchute {

/** What an answer of a server said of the rate of requests that it accepts from all hosts together. */
struct RateLimitNotice {
    ServerIncarnation server;
    /** Nothing if the answer named no limit. */
    std::optional<RequestRate> limit;
    /** When the request was sent, and when the head of its answer was received. */
    Instant sent {};
    Instant received {};
};

//==============================================================================
/**
    The request rates to which servers limit all hosts together.

    Load pattern: a server in need names its limit in its answers and ends it by an answer without one,
    but answers overtake each other, and only hosts whose requests it answers hear of either. Hosts
    therefore exchange notices. An answer without a limit ends one only if its request was sent after
    the limit had been received; among answers whose order is unknown, the lowest limit counts.

    Thread safety: one thread at a time.

    @see RateGrantPool, ServerNotices
*/
class ServerRateLimits {
public:
    struct Options {
        /** How long the end of a limit is passed on, and an earlier notice of another host ignored. */
        Duration endRetention = 10s;
        /** A limit that no answer has repeated for this time is dropped; its server has left the list by then, or gets no requests. */
        Duration limitRetention = 10min;
        /** A repeated limit is recorded this often. */
        Duration refreshInterval = 200ms;
    };

    explicit ServerRateLimits(Options options)
        : m_options(options)
    {
    }

    /** Records a notice; true if the limit in force has changed. */
    bool note(const RateLimitNotice&);
    /** The limit in force; nothing if the server has none. */
    std::optional<RequestRate> limitOf(const ServerIncarnation&) const;
    /** All limits in force, and those that ended recently, for other hosts. */
    std::vector<RateLimitNotice> notices() const;
    /** Drops outdated notices. */
    void expire(Instant now);
    /** True if no server has a limit or had one recently. */
    bool isEmpty() const { return m_notices.empty(); }

private:
    Options m_options;
    std::map<ServerIncarnation, RateLimitNotice> m_notices;
};

} // namespace hemlockchute
