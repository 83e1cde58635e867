#include "coordinator/DemandBook.h"

#include <algorithm>
#include <cmath>

namespace hemlockchute {
namespace {

/** A flow below this is over. */
constexpr double leastFlow = 0.01;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void DemandBook::take(const FollowRequest& request, Instant now)
{
    m_gateways[request.host] = { now, request.demands, request.outstanding };
    for (const ModelDemandReport& report : request.demands) {
        auto [found, isNew] = m_flows.try_emplace(report.key);
        Flow& flow = found->second;
        if (isNew)
            flow.faded = now;
        fade(flow, now);
        flow.arrivalsPerSecond += report.arrivals / seconds(m_options.arrivalsFade);
        flow.refused += report.refused;
        flow.rank = isNew ? report.rank : std::min(flow.rank, report.rank);
    }
}

ModelPlacer::Demands DemandBook::demands(const ServiceName& service, Instant now)
{
    ModelPlacer::Demands demands;
    for (auto& [key, flow] : m_flows) {
        fade(flow, now);
        if (key.service == service)
            demands[{ key.model, key.adapter }] = { 0, 0, flow.rank, flow.arrivalsPerSecond, flow.refused };
    }
    std::erase_if(m_flows, [](const auto& item) { return item.second.arrivalsPerSecond < leastFlow && item.second.refused < leastFlow; });
    for (const auto& [host, gateway] : m_gateways) {
        if (now - gateway.heard >= m_options.gatewayLifetime)
            continue;
        for (const ModelDemandReport& report : gateway.demands) {
            if (report.key.service != service)
                continue;
            auto [found, isNew] = demands.try_emplace({ report.key.model, report.key.adapter });
            CombinedDemand& demand = found->second;
            demand.rank = isNew ? report.rank : std::min(demand.rank, report.rank);
            demand.waiting += report.waiting;
            demand.active += report.active;
        }
    }
    return demands;
}

std::map<BackendServerName, ServerLoad> DemandBook::outstanding(Instant now) const
{
    std::map<BackendServerName, ServerLoad> all;
    for (const auto& [host, gateway] : m_gateways) {
        if (now - gateway.heard >= m_options.gatewayLifetime)
            continue;
        for (const ServerOutstanding& each : gateway.outstanding)
            all[each.server] = all[each.server] + each.load;
    }
    return all;
}

unsigned DemandBook::gateways(Instant now) const
{
    return static_cast<unsigned>(std::count_if(m_gateways.begin(), m_gateways.end(), [&](const auto& item) { return now - item.second.heard < m_options.gatewayLifetime; }));
}

void DemandBook::fade(Flow& flow, Instant now) const
{
    double passed = seconds(now - flow.faded);
    flow.arrivalsPerSecond *= std::exp(-passed / seconds(m_options.arrivalsFade));
    flow.refused *= std::exp(-passed / seconds(m_options.refusalsFade));
    flow.faded = now;
}

} // namespace hemlockchute
