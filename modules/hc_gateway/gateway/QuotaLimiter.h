#pragma once

#include "hemlockchute/fleet/FleetMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    This host's part of the quotas of workspaces.

    Load pattern: most requests are of workspaces within their quota and must not wait for a round trip
    to the leader; a few workspaces send several times their quota for seconds. The host holds about what
    it has used in the last seconds, asks for more as requests wait, and gives back what it does not use.
    What it holds can be used only for a limited time after the leader's last confirmation, since the
    leader divides the quota among the other hosts then.

    All instants are of a clock that counts the time for which the host is suspended. Thread safety: one
    thread at a time.

    @see QuotaPool, AccessControl
*/
class QuotaLimiter {
public:
    struct Options {
        /** As QuotaPool::Options::holdLifetime. */
        Duration holdLifetime = 3s;
        /** The recent time whose use is held in reserve; bridges the election of a leader. */
        Duration reserveTime = 2s;
        /** At least this many requests of mean cost are held in reserve. */
        double minimumReservedRequests = 1.2;
        /** A workspace whose requests have not come for this long is held in reserve only while there are few workspaces. */
        Duration idleTime = 30s;
        std::size_t fewWorkspaces = 64;
        /** A word of the leader that a quota is exhausted counts for this long. */
        Duration exhaustionLifetime = 1s;
    };

    enum class Admission {
        Granted,
        /** More units may come with the next reply of the leader. */
        Waiting,
        /** The requests of all hosts exceed the quota. */
        Exhausted,
        /** No leader has been in contact for the lifetime of what it granted. */
        Unconfirmed
    };

    explicit QuotaLimiter(Options options)
        : m_options(options)
    {
    }

    //==============================================================================
    /** Takes the cost of a request that has arrived, or has waited. Precondition: the workspace has a quota. */
    Admission take(const Workspace&, std::uint64_t cost, Instant now);
    /** Counts a request that arrives, whether it is admitted or not. */
    void noteArrival(const Workspace&, std::uint64_t cost, Instant now);
    /** Counts units for which requests wait. */
    void addWaiting(const WorkspaceName&, std::int64_t change);
    /** A request was refused for want of units. */
    void noteRefused(const WorkspaceName&, std::uint64_t cost);
    /** An admitted request is sent to a server. */
    void noteSent(const WorkspaceName&, std::uint64_t cost);
    /** Returns the cost of an admitted request that no server has run; `wasSent` after noteSent(). */
    void giveBack(const WorkspaceName&, std::uint64_t cost, bool wasSent, Instant now);
    /** Time until units are expected to be free. */
    Duration untilRoom(const WorkspaceName&) const;
    bool isWaiting() const { return m_waitingRequests > 0; }

    //==============================================================================
    /** Sets the quotas in force. */
    void setQuotas(const std::vector<Workspace>&);
    /** For the next poll. */
    std::vector<QuotaReport> takeReports(Instant now);
    /** Applies the grants of a leader that was certain of its state at `confirmed`. */
    void applyGrants(const std::vector<QuotaGrant>&, Instant confirmed, Instant now);
    /** The units that may be used now. */
    std::uint64_t held(const WorkspaceName&, Instant now);

private:
    struct Entry {
        double held = 0;
        /** The cost of admitted requests that are not sent yet; still counted as held. */
        double unsent = 0;
        std::int64_t waiting = 0;
        double refused = 0;
        /** Exponentially decayed sum of the costs that arrived. */
        double recent = 0;
        Instant updated {};
        std::optional<Instant> lastArrival;
        std::optional<Instant> exhaustedAt;
        /** As the leader said last. */
        bool isScarce = false;
        Duration untilRoom {};
    };

    bool isConfirmed(Instant now) const;
    void dropExpired(Instant now);
    void decay(Entry&, Instant now) const;
    double reserveOf(const Entry&, Instant now) const;

    Options m_options;
    std::optional<Instant> m_confirmed;
    std::map<WorkspaceName, Entry> m_entries;
    /** Of the requests of all workspaces. */
    double m_meanCost = 0;
    unsigned m_waitingRequests = 0;
};

} // namespace hemlockchute
