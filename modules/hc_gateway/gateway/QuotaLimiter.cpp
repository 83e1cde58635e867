#include "gateway/QuotaLimiter.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hemlockchute {
namespace {

/** The weight of one request in the mean cost. */
constexpr double meanCostWeight = 0.05;
/** What is held above this multiple of the reserve is given back. */
constexpr double surplusFactor = 1.5;

std::uint64_t wholeUnits(double value)
{
    return static_cast<std::uint64_t>(std::max(value, 0.0));
}

} // namespace

bool QuotaLimiter::isConfirmed(Instant now) const
{
    return m_confirmed && now - *m_confirmed < m_options.holdLifetime;
}

/** What was held when the confirmation expired is not used later either, since the leader has given up on it. */
void QuotaLimiter::dropExpired(Instant now)
{
    if (isConfirmed(now))
        return;
    for (auto& [name, entry] : m_entries)
        entry.held = 0;
}

QuotaLimiter::Admission QuotaLimiter::take(const Workspace& workspace, std::uint64_t cost, Instant now)
{
    dropExpired(now);
    Entry& entry = m_entries[workspace.name];
    auto units = static_cast<double>(cost);
    if (entry.held >= units) {
        entry.held -= units;
        entry.unsent += units;
        return Admission::Granted;
    }
    if (!isConfirmed(now))
        return Admission::Unconfirmed;
    bool isExhausted = entry.exhaustedAt && now - *entry.exhaustedAt < m_options.exhaustionLifetime;
    return isExhausted ? Admission::Exhausted : Admission::Waiting;
}

void QuotaLimiter::noteArrival(const Workspace& workspace, std::uint64_t cost, Instant now)
{
    Entry& entry = m_entries[workspace.name];
    decay(entry, now);
    entry.recent += static_cast<double>(cost);
    entry.lastArrival = now;
    m_meanCost = m_meanCost == 0 ? static_cast<double>(cost) : m_meanCost + meanCostWeight * (static_cast<double>(cost) - m_meanCost);
}

void QuotaLimiter::decay(Entry& entry, Instant now) const
{
    double elapsed = std::chrono::duration<double>(now - entry.updated).count();
    entry.recent *= std::exp(-std::max(elapsed, 0.0) / std::chrono::duration<double>(m_options.reserveTime).count());
    entry.updated = now;
}

void QuotaLimiter::addWaiting(const WorkspaceName& name, std::int64_t change)
{
    m_entries[name].waiting += change;
    m_waitingRequests += change > 0 ? 1 : -1;
}

void QuotaLimiter::noteRefused(const WorkspaceName& name, std::uint64_t cost)
{
    m_entries[name].refused += static_cast<double>(cost);
}

void QuotaLimiter::noteSent(const WorkspaceName& name, std::uint64_t cost)
{
    Entry& entry = m_entries[name];
    entry.unsent = std::max(entry.unsent - static_cast<double>(cost), 0.0);
}

void QuotaLimiter::giveBack(const WorkspaceName& name, std::uint64_t cost, bool wasSent, Instant now)
{
    if (!wasSent)
        noteSent(name, cost);
    if (isConfirmed(now))
        m_entries[name].held += static_cast<double>(cost);
}

Duration QuotaLimiter::untilRoom(const WorkspaceName& name) const
{
    auto found = m_entries.find(name);
    return found == m_entries.end() ? Duration::zero() : found->second.untilRoom;
}

//==============================================================================
void QuotaLimiter::setQuotas(const std::vector<Workspace>& workspaces)
{
    std::set<WorkspaceName> limited;
    for (const Workspace& workspace : workspaces) {
        if (workspace.quota)
            limited.insert(workspace.name);
    }
    std::erase_if(m_entries, [&](const auto& item) { return !limited.contains(item.first) && item.second.waiting == 0; });
    if (limited.size() > m_options.fewWorkspaces)
        return;
    for (const WorkspaceName& name : limited)
        m_entries[name];
}

/** The units to hold for requests that are expected. */
double QuotaLimiter::reserveOf(const Entry& entry, Instant now) const
{
    // Others need what would be held only in case a request comes.
    if (entry.isScarce)
        return entry.recent;
    bool isIdle = !entry.lastArrival || now - *entry.lastArrival >= m_options.idleTime;
    if (isIdle && m_entries.size() > m_options.fewWorkspaces)
        return 0;
    return std::max(entry.recent, m_options.minimumReservedRequests * m_meanCost);
}

std::vector<QuotaReport> QuotaLimiter::takeReports(Instant now)
{
    dropExpired(now);
    std::vector<QuotaReport> reports;
    for (auto& [name, entry] : m_entries) {
        decay(entry, now);
        double reserve = reserveOf(entry, now);
        // What is left of a quota at its limit and does not suffice for a request would keep others from it.
        bool isRemainder = entry.refused > 0 && entry.held < m_meanCost;
        double surplus = std::floor(isRemainder ? entry.held : std::max(entry.held - surplusFactor * reserve, 0.0));
        entry.held -= surplus;
        QuotaReport report { name, wholeUnits(std::ceil(entry.held + entry.unsent)), static_cast<std::uint64_t>(entry.waiting), wholeUnits(std::exchange(entry.refused, 0)), wholeUnits(reserve - entry.held), wholeUnits(surplus), std::max<std::uint64_t>(wholeUnits(m_meanCost), 1) };
        if (report.held + report.waiting + report.refused + report.reserve + report.returned > 0)
            reports.push_back(report);
    }
    return reports;
}

void QuotaLimiter::applyGrants(const std::vector<QuotaGrant>& grants, Instant confirmed, Instant now)
{
    dropExpired(now);
    m_confirmed = std::max(m_confirmed.value_or(confirmed), confirmed);
    for (auto& [name, entry] : m_entries) {
        entry.exhaustedAt.reset();
        entry.isScarce = false;
    }
    for (const QuotaGrant& grant : grants) {
        auto found = m_entries.find(grant.workspace);
        if (found == m_entries.end())
            continue;
        Entry& entry = found->second;
        entry.held += static_cast<double>(grant.granted);
        entry.untilRoom = grant.untilRoom;
        entry.isScarce = grant.isScarce;
        if (grant.isExhausted)
            entry.exhaustedAt = now;
    }
    dropExpired(now);
}

std::uint64_t QuotaLimiter::held(const WorkspaceName& name, Instant now)
{
    dropExpired(now);
    auto found = m_entries.find(name);
    return found == m_entries.end() ? 0 : wholeUnits(found->second.held);
}

} // namespace hemlockchute
