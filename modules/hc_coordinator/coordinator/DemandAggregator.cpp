#include "coordinator/DemandAggregator.h"

#include <algorithm>
#include <cmath>

namespace hemlockchute {
namespace {

/** Flows whose arrival rate and refusals are both below this are dropped. */
constexpr double minimumFlow = 0.01;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void DemandAggregator::recordReport(const FollowRequest& request, Instant now)
{
    m_gateways.recordReport(request, now);
    for (const ModelDemandReport& report : request.demands) {
        auto [found, isNew] = m_flows.try_emplace(report.key);
        Flow& flow = found->second;
        if (isNew)
            flow.decayedAt = now;
        decay(flow, now);
        flow.arrivalsPerSecond += report.arrivals / seconds(m_options.arrivalsDecay);
        flow.refused += report.refused;
        flow.rank = isNew ? report.rank : std::min(flow.rank, report.rank);
    }
}

ModelPlacer::Demands DemandAggregator::demands(const ServiceName& service, Instant now)
{
    ModelPlacer::Demands demands;
    for (auto& [key, flow] : m_flows) {
        decay(flow, now);
        if (key.service == service)
            demands[{ key.model, key.adapter }] = { 0, 0, flow.rank, flow.arrivalsPerSecond, flow.refused };
    }
    std::erase_if(m_flows, [](const auto& item) { return item.second.arrivalsPerSecond < minimumFlow && item.second.refused < minimumFlow; });
    m_gateways.expire(now);
    for (const auto& [key, wanted] : m_gateways.wanted()) {
        if (key.service != service)
            continue;
        unsigned rank = wanted.ranks.begin()->first;
        auto [found, isNew] = demands.try_emplace({ key.model, key.adapter });
        CombinedDemand& demand = found->second;
        demand.rank = isNew ? rank : std::min(demand.rank, rank);
        demand.waiting = wanted.waiting;
        demand.active = wanted.active;
    }
    return demands;
}

const GatewayTracker& DemandAggregator::gateways(Instant now)
{
    m_gateways.expire(now);
    return m_gateways;
}

void DemandAggregator::decay(Flow& flow, Instant now) const
{
    double elapsed = seconds(now - flow.decayedAt);
    flow.arrivalsPerSecond *= std::exp(-elapsed / seconds(m_options.arrivalsDecay));
    flow.refused *= std::exp(-elapsed / seconds(m_options.refusalsDecay));
    flow.decayedAt = now;
}

} // namespace hemlockchute
