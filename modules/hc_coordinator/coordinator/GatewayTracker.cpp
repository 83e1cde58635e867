#include "coordinator/GatewayTracker.h"

#include <algorithm>

namespace hemlockchute {
namespace {

/** Expired reports are looked for this many times per report lifetime. */
constexpr int expiryChecksPerLifetime = 10;

} // namespace

void GatewayTracker::beginEpoch(std::uint64_t epoch)
{
    if (m_epoch == epoch)
        return;
    m_epoch = epoch;
    m_outstanding.clear();
    for (auto& [host, report] : m_reports)
        report.outstanding.clear();
}

void GatewayTracker::recordReport(const FollowRequest& request, Instant now)
{
    Report& report = m_reports[request.host];
    if (report.lastContact != Instant())
        subtract(report);
    if (request.isLast) {
        m_reports.erase(request.host);
        return;
    }
    report = { now, request.relay, request.dataCentre, request.gateways, request.demands, {} };
    if (request.epoch == m_epoch)
        report.outstanding = request.outstanding;
    add(report);
}

void GatewayTracker::expire(Instant now)
{
    if (now < m_nextExpiry)
        return;
    m_nextExpiry = now + m_options.lifetime / expiryChecksPerLifetime;
    std::erase_if(m_reports, [&](const auto& item) {
        bool isExpired = now - item.second.lastContact >= m_options.lifetime;
        if (isExpired)
            subtract(item.second);
        return isExpired;
    });
}

void GatewayTracker::add(const Report& report)
{
    m_gateways += report.gateways;
    m_followers += report.relay.isNone() ? 1 : 0;
    for (const ModelDemandReport& demand : report.demands) {
        Wanted& wanted = m_wanted[demand.key];
        wanted.waiting += demand.waiting;
        wanted.active += demand.active;
        ++wanted.ranks[demand.rank];
    }
    for (const ServerOutstanding& each : report.outstanding) {
        if (each.load.requests > 0)
            m_outstanding[each.server] = m_outstanding[each.server] + each.load;
    }
}

void GatewayTracker::subtract(const Report& report)
{
    m_gateways -= report.gateways;
    m_followers -= report.relay.isNone() ? 1 : 0;
    for (const ModelDemandReport& demand : report.demands) {
        auto found = m_wanted.find(demand.key);
        Wanted& wanted = found->second;
        wanted.waiting -= demand.waiting;
        wanted.active -= demand.active;
        if (--wanted.ranks[demand.rank] == 0)
            wanted.ranks.erase(demand.rank);
        if (wanted.ranks.empty())
            m_wanted.erase(found);
    }
    for (const ServerOutstanding& each : report.outstanding) {
        auto found = m_outstanding.find(each.server);
        if (each.load.requests == 0 || found == m_outstanding.end())
            continue;
        found->second = found->second - each.load;
        if (found->second.requests == 0)
            m_outstanding.erase(found);
    }
}

unsigned GatewayTracker::maximumGatewaysPerRelay() const
{
    unsigned most = 0;
    for (const auto& [host, report] : m_reports) {
        if (!report.relay.isNone())
            most = std::max(most, report.gateways);
    }
    return most;
}

std::vector<CoordinatorLocation> GatewayTracker::relays() const
{
    std::vector<CoordinatorLocation> all;
    for (const auto& [host, report] : m_reports) {
        if (!report.relay.isNone())
            all.push_back({ report.relay, report.dataCentre });
    }
    return all;
}

} // namespace hemlockchute
