#include "hemlockchute/fleet/QuotaPool.h"

#include <algorithm>
#include <cmath>

namespace hemlockchute {
namespace {

/** How fast a relay's stock follows what its hosts take, for each of its reports. */
constexpr double stockDecay = 0.8;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration durationOf(double value)
{
    constexpr double maximum = 3600;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::clamp(value, 0.0, maximum)));
}

/** The part of `available` for one of those who ask for `total` together. */
double shareOf(std::uint64_t wanted, double total, double available)
{
    if (wanted == 0 || available <= 0)
        return 0;
    double wantedHere = static_cast<double>(wanted);
    return total <= available ? wantedHere : wantedHere * available / total;
}

} // namespace

QuotaPool::Options QuotaPool::Options::withWindow(Duration value) const
{
    Options copy = *this;
    copy.window = value;
    return copy;
}

QuotaPool::Options QuotaPool::Options::withOvershoot(double value) const
{
    Options copy = *this;
    copy.overshoot = value;
    return copy;
}

QuotaPool::Options QuotaPool::Options::withSlack(double value) const
{
    Options copy = *this;
    copy.slack = value;
    return copy;
}

//==============================================================================
void QuotaPool::beginTerm(Instant now)
{
    for (auto& [name, pool] : m_pools) {
        pool.free = 0;
        pool.refilled = now;
        pool.hosts.clear();
        assumeFull(pool, now);
    }
    m_reported.clear();
    m_takeoverEnd = now + m_options.holdLifetime;
}

void QuotaPool::setQuotas(const std::vector<Workspace>& workspaces, Instant now)
{
    std::set<WorkspaceName> limited;
    for (const Workspace& workspace : workspaces) {
        if (!workspace.quota)
            continue;
        limited.insert(workspace.name);
        Pool& pool = m_pools[workspace.name];
        if (pool.quota)
            refill(pool, now);
        else
            pool.refilled = now;
        bool hasChanged = pool.quota != workspace.quota;
        pool.quota = workspace.quota;
        if (hasChanged)
            assumeFull(pool, now);
    }
    std::erase_if(m_pools, [&](const auto& item) { return !limited.contains(item.first); });
}

/** What hosts may hold and what is free, together; with the rate over a window it is what may be used in it. */
double QuotaPool::capacityOf(const Quota& quota) const
{
    double tolerated = m_options.usableShare * (m_options.overshoot * (quota.perSecond * seconds(m_options.window) + quota.burst) + m_options.slack);
    // What the next leader may have free is added to what hosts hold of the former leader.
    double reserve = quota.perSecond * seconds(m_options.takeoverReserve);
    return std::max(quota.burst + tolerated - reserve, reserve);
}

/** Units per second that are added to the pool. What has not been in the pool at any time of a window cannot be used in it besides the rate, and may be added over a window: a workspace that stays at its limit would otherwise never get its burst again. */
double QuotaPool::inflowOf(const Pool& pool, Instant now) const
{
    double peak = 0;
    for (const Peak& each : pool.peaks)
        peak = now - each.at < m_options.window + peakInterval() ? std::max(peak, each.units) : peak;
    return pool.quota->perSecond + std::max(capacityOf(*pool.quota) - peak, 0.0) / seconds(m_options.window);
}

/** Remembers the units in the pool, as the maximum of each interval. */
void QuotaPool::notePeak(Pool& pool, double units, Instant now) const
{
    if (pool.peaks.empty() || now - pool.peaks.back().at >= peakInterval())
        pool.peaks.push_back({ now, 0 });
    pool.peaks.back().units = std::max(pool.peaks.back().units, units);
    while (now - pool.peaks.front().at >= m_options.window + peakInterval())
        pool.peaks.pop_front();
}

/** Nothing is known of the last window, as after a change of leader. */
void QuotaPool::assumeFull(Pool& pool, Instant now) const
{
    pool.peaks.clear();
    notePeak(pool, capacityOf(*pool.quota), now);
}

QuotaPool::Demand QuotaPool::demandOf(const Pool& pool, Instant now) const
{
    Demand sum;
    for (const auto& [name, host] : pool.hosts) {
        bool isAsking = now - host.reportedAt < m_options.demandLifetime;
        sum.held += host.held;
        sum.needed += isAsking ? host.needed : 0;
        sum.waiting += isAsking ? host.waiting : 0;
        sum.reserve += isAsking ? host.reserve : 0;
        sum.requestCost = std::max(sum.requestCost, host.requestCost);
    }
    return sum;
}

void QuotaPool::expire(Pool& pool, Instant now) const
{
    std::erase_if(pool.hosts, [&](const auto& item) { return now - item.second.reportedAt >= m_options.holdLifetime; });
}

void QuotaPool::refill(Pool& pool, Instant now) const
{
    expire(pool, now);
    if (!pool.quota)
        return;
    auto held = static_cast<double>(demandOf(pool, now).held);
    pool.free += inflowOf(pool, now) * seconds(now - pool.refilled);
    pool.taken *= std::exp(-seconds(now - pool.refilled) / seconds(m_options.usageTime));
    pool.refilled = now;
    double room = capacityOf(*pool.quota) - held;
    if (now < m_takeoverEnd)
        room = std::min(room, pool.quota->perSecond * seconds(m_options.takeoverReserve));
    pool.free = std::clamp(pool.free, 0.0, std::max(room, 0.0));
    notePeak(pool, pool.free + held, now);
}

//==============================================================================
void QuotaPool::deposit(const std::vector<QuotaGrant>& grants, Instant asked)
{
    // By then the leader takes this relay and its hosts to hold nothing.
    bool hasExpired = m_lastDeposit && asked - *m_lastDeposit >= m_options.holdLifetime;
    m_lastDeposit = asked;
    for (auto& [name, pool] : m_pools) {
        pool.free = hasExpired ? 0 : pool.free;
        pool.isScarceElsewhere = false;
        pool.isExhaustedElsewhere = false;
        pool.untilRoomElsewhere = {};
    }
    for (const QuotaGrant& grant : grants) {
        Pool& pool = m_pools[grant.workspace];
        pool.free += static_cast<double>(grant.granted);
        pool.isScarceElsewhere = grant.isScarce;
        pool.isExhaustedElsewhere = grant.isExhausted;
        pool.untilRoomElsewhere = grant.untilRoom;
    }
}

std::vector<QuotaReport> QuotaPool::reports(Instant now)
{
    bool hasExpired = m_lastDeposit && now - *m_lastDeposit >= m_options.holdLifetime;
    std::vector<QuotaReport> all;
    std::vector<WorkspaceName> unused;
    for (auto& [name, pool] : m_pools) {
        expire(pool, now);
        if (hasExpired)
            pool.free = 0;
        Demand demand = demandOf(pool, now);
        auto free = static_cast<std::uint64_t>(pool.free);
        pool.recentlyGranted *= stockDecay;
        auto stock = pool.isScarceElsewhere ? 0 : demand.reserve + static_cast<std::uint64_t>(pool.recentlyGranted);
        // Other relays may need what nobody here has asked for lately.
        std::uint64_t kept = 2 * stock + demand.needed;
        std::uint64_t returned = free > kept ? free - kept : 0;
        pool.free -= static_cast<double>(returned);
        free -= returned;
        QuotaReport report { name, demand.held + free, demand.waiting, demand.needed - demand.waiting, stock > free ? stock - free : 0, returned, demand.requestCost };
        if (report.held + report.waiting + report.refused + report.reserve + report.returned > 0)
            all.push_back(report);
        else
            unused.push_back(name);
    }
    for (const WorkspaceName& name : unused)
        dropIfUnused(name);
    return all;
}

void QuotaPool::dropIfUnused(const WorkspaceName& name)
{
    auto found = m_pools.find(name);
    if (found != m_pools.end() && !found->second.quota && found->second.hosts.empty())
        m_pools.erase(found);
}

//==============================================================================
std::vector<QuotaGrant> QuotaPool::take(const HostName& host, const std::vector<QuotaReport>& reports, Instant now)
{
    std::set<WorkspaceName> before = std::exchange(m_reported[host], {});
    std::vector<QuotaGrant> grants;
    for (const QuotaReport& report : reports) {
        before.erase(report.workspace);
        auto pool = m_pools.find(report.workspace);
        bool isRelay = m_lastDeposit.has_value();
        if (pool == m_pools.end() && !isRelay)
            continue;
        m_reported[host].insert(report.workspace);
        grants.push_back(grant(pool == m_pools.end() ? m_pools[report.workspace] : pool->second, host, report, now));
    }
    for (const WorkspaceName& name : before) {
        if (auto pool = m_pools.find(name); pool != m_pools.end())
            pool->second.hosts.erase(host);
    }
    if (m_reported[host].empty())
        m_reported.erase(host);
    return grants;
}

/** Of a quota that is at its limit, hosts would otherwise get less than a request costs, and hold all of it without use. */
double QuotaPool::takeWholeRequests(Host& host, double share)
{
    auto needed = static_cast<double>(host.needed);
    if (share >= needed) {
        host.credit = 0;
        return share;
    }
    auto cost = static_cast<double>(host.requestCost);
    host.credit = std::min(host.credit + share, needed);
    double granted = std::floor(host.credit / cost) * cost;
    host.credit -= granted;
    return granted;
}

QuotaGrant QuotaPool::grant(Pool& pool, const HostName& name, const QuotaReport& report, Instant now)
{
    Host& host = pool.hosts[name];
    host = { report.held, report.waiting + report.refused, report.waiting, report.reserve, std::max<std::uint64_t>(report.requestCost, 1), now, host.credit };
    pool.free += static_cast<double>(report.returned);
    refill(pool, now);
    Demand demand = demandOf(pool, now);
    auto needed = static_cast<double>(demand.needed);
    QuotaGrant reply { report.workspace, 0, pool.isScarceElsewhere, pool.isExhaustedElsewhere, pool.untilRoomElsewhere };
    double keptForWaiting = 0;
    if (pool.quota) {
        reply.isScarce = needed > pool.free;
        reply.isExhausted = reply.isScarce && pool.taken > m_options.exhaustedShare * pool.quota->perSecond * seconds(m_options.usageTime);
        reply.untilRoom = durationOf((static_cast<double>(demand.waiting) - pool.free) / pool.quota->perSecond);
        keptForWaiting = capacityOf(*pool.quota) * m_options.unreservedShare;
    }
    double forWaiting = takeWholeRequests(host, shareOf(host.needed, needed, pool.free));
    double forReserve = shareOf(report.reserve, static_cast<double>(demand.reserve), pool.free - needed - keptForWaiting);
    reply.granted = static_cast<std::uint64_t>(std::min(forWaiting + forReserve, pool.free));
    pool.free -= static_cast<double>(reply.granted);
    pool.taken += static_cast<double>(reply.granted) - static_cast<double>(report.returned);
    pool.recentlyGranted += static_cast<double>(reply.granted);
    host.held += reply.granted;
    std::uint64_t served = std::min(host.needed, reply.granted);
    host.needed -= served;
    host.waiting = std::min(host.waiting, host.needed);
    host.reserve -= std::min(host.reserve, reply.granted - served);
    return reply;
}

void QuotaPool::forget(const HostName& host)
{
    auto reported = m_reported.extract(host);
    if (reported.empty())
        return;
    for (const WorkspaceName& name : reported.mapped()) {
        if (auto pool = m_pools.find(name); pool != m_pools.end())
            pool->second.hosts.erase(host);
    }
}

} // namespace hemlockchute
