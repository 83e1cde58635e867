#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/fleet/Workspace.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hemlockchute {

/** A host's part of a workspace's quota, and what it needs. All in units of the quota. */
struct QuotaReport {
    WorkspaceName workspace;
    /** What the host may still use. */
    std::uint64_t held = 0;
    /** What requests wait for. */
    std::uint64_t waiting = 0;
    /** What requests were refused for want of since the last report. */
    std::uint64_t refused = 0;
    /** What the host wants besides, for requests that it expects. */
    std::uint64_t reserve = 0;
    /** What it gives back; not part of `held`. */
    std::uint64_t returned = 0;
    /** The mean cost of a request. */
    std::uint64_t requestCost = 1;
};

/** The reply to a QuotaReport. */
struct QuotaGrant {
    WorkspaceName workspace;
    std::uint64_t granted = 0;
    /** True if requests of all hosts need more than is free. */
    bool isScarce = false;
    /** True if they need more than there is, rather than hosts holding what others need. */
    bool isExhausted = false;
    /** Time until what requests wait for is expected to be free; those that were refused do not wait. */
    Duration untilRoom {};
};

//==============================================================================
/**
    Divides the quotas of workspaces among hosts.

    Load pattern: some workspaces send several times what they are allowed, through any number of
    hosts, and a host may get all of a workspace's requests at one moment and none at the next. Hosts
    hold a part of the quota in advance, so that a request needs no round trip, and ask for more as
    they use it. What is free and what all hosts hold together never exceed the capacity; within a
    time span, hosts can therefore use the capacity and the inflow of that span, and no more, whatever
    becomes of messages, hosts and leaders. What a host held and no longer reports counts as used.

    The leader's pool has the quotas; a relay's pool divides what the leader granted to it.

    Thread safety: one thread at a time.

    @see QuotaLimiter, RateGrantPool
*/
class QuotaPool {
public:
    struct Options {
        /** The span in which the bound on the use of a quota holds. */
        Duration window = 8s;
        /** By which part of the quota its use may exceed it, since it is divided in advance. */
        double overshoot = 0;
        /** By how many units besides. */
        double slack = 0;
        /** The part of overshoot and slack that is used; the rest covers units that are given back after their host has reported. */
        double usableShare = 0.9;
        /** A host may use what it holds for this long after its last report was sent. */
        Duration holdLifetime = 3s;
        /** The part of the capacity that is kept for requests that wait, and not given to hosts in reserve: a long request may need more than a host holds. */
        double unreservedShare = 0.4;
        /** A quota counts as exhausted only while hosts take at least this part of its rate; otherwise they hold enough that they can give back. */
        double exhaustedShare = 0.8;
        /** The recent time over which what hosts take is averaged. */
        Duration usageTime = 1s;
        /** The inflow that may be free while hosts may still hold units of a former leader. */
        Duration takeoverReserve = 500ms;
        /** What hosts ask for counts for this long unless it is replaced. */
        Duration demandLifetime = 1s;

        Options withWindow(Duration) const;
        Options withOvershoot(double) const;
        Options withSlack(double) const;
    };

    explicit QuotaPool(Options options)
        : m_options(options)
    {
    }

    //==============================================================================
    // The leader
    /** Starts without free units, since hosts may hold all of a former leader's. */
    void beginTerm(Instant now);
    /** Sets the quotas in force; a workspace without one is dropped. */
    void setQuotas(const std::vector<Workspace>&, Instant now);

    //==============================================================================
    // A relay
    /** Adds the leader's grants in the reply to a poll that was sent at `asked`. */
    void deposit(const std::vector<QuotaGrant>&, Instant asked);
    /** What this relay and its hosts hold and need, for the leader. */
    std::vector<QuotaReport> reports(Instant now);

    //==============================================================================
    /** Replaces what is known of the host, and grants it what it needs and is free; one grant for each report. */
    std::vector<QuotaGrant> take(const HostName&, const std::vector<QuotaReport>&, Instant now);
    /** The host reports elsewhere from now on, and takes along what it holds. */
    void forget(const HostName&);

private:
    struct Host {
        std::uint64_t held = 0;
        /** What its requests wait for or were refused for want of, and the first of these alone. */
        std::uint64_t needed = 0;
        std::uint64_t waiting = 0;
        std::uint64_t reserve = 0;
        std::uint64_t requestCost = 1;
        Instant reportedAt {};
        /** Its share of what was free, as far as it was too small to be granted. */
        double credit = 0;
    };

    static constexpr int peaksInWindow = 16;

    /** The most units that were in a pool within an interval. */
    struct Peak {
        Instant at {};
        double units = 0;
    };

    struct Pool {
        /** Nothing at a relay. */
        std::optional<Quota> quota;
        double free = 0;
        Instant refilled {};
        /** Of the last window, the latest one last. */
        std::deque<Peak> peaks;
        /** Exponentially decayed sum of what hosts took, less what they gave back. */
        double taken = 0;
        std::map<HostName, Host> hosts;
        /** Units granted shortly before, which a relay keeps in stock. */
        double recentlyGranted = 0;
        /** As the leader has said to a relay. */
        bool isScarceElsewhere = false;
        bool isExhaustedElsewhere = false;
        Duration untilRoomElsewhere {};
    };

    struct Demand {
        std::uint64_t held = 0;
        std::uint64_t needed = 0;
        std::uint64_t waiting = 0;
        std::uint64_t reserve = 0;
        std::uint64_t requestCost = 1;
    };

    double capacityOf(const Quota&) const;
    double inflowOf(const Pool&, Instant now) const;
    void notePeak(Pool&, double units, Instant now) const;
    void assumeFull(Pool&, Instant now) const;
    Duration peakInterval() const { return m_options.window / peaksInWindow; }
    Demand demandOf(const Pool&, Instant now) const;
    void refill(Pool&, Instant now) const;
    void expire(Pool&, Instant now) const;
    QuotaGrant grant(Pool&, const HostName&, const QuotaReport&, Instant now);
    static double takeWholeRequests(Host&, double share);
    void dropIfUnused(const WorkspaceName&);

    Options m_options;
    Instant m_takeoverEnd {};
    /** When the last poll was sent that the leader has answered, at a relay. */
    std::optional<Instant> m_lastDeposit;
    std::map<WorkspaceName, Pool> m_pools;
    /** The workspaces that each host has reported. */
    std::map<HostName, std::set<WorkspaceName>> m_reported;
};

} // namespace hemlockchute
