#include "controller/DemandTable.h"

#include <algorithm>
#include <cmath>

namespace hemlockchute {
namespace {

constexpr Duration reportLifetime = 3s;
/** Models not asked for in so long are forgotten. */
constexpr Duration usageLifetime = 1h;
/** Requests of a model are taken to be over so long after the last one came. */
constexpr Duration runningTime = 30s;
/** Time over which the rate of requests is averaged. */
constexpr double rateSeconds = 60;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void DemandTable::report(const DemandReport& report, Instant now)
{
    for (const auto& [model, demand] : report.models) {
        if (demand.arrivals > 0 || demand.waiting > 0)
            noteArrivals(model, demand.arrivals, now);
    }
    m_reports[report.router] = { report, now };
}

void DemandTable::noteArrivals(const ModelName& model, unsigned arrivals, Instant now)
{
    auto [entry, isNew] = m_usage.emplace(model, Usage { now, 0, now });
    Usage& usage = entry->second;
    double decay = std::exp(-secondsOf(now - usage.rateAt) / rateSeconds);
    usage.rate = usage.rate * decay + arrivals / rateSeconds;
    usage.rateAt = now;
    usage.lastUse = now;
}

void DemandTable::noteLoaded(const std::set<ModelName>& models, Instant now)
{
    for (const ModelName& model : models)
        m_usage.emplace(model, Usage { now, 0, now });
}

void DemandTable::dropOld(Instant now)
{
    std::erase_if(m_reports, [&](const auto& entry) { return now - entry.second.at > reportLifetime; });
    std::erase_if(m_usage, [&](const auto& entry) { return now - entry.second.lastUse > usageLifetime; });
}

std::vector<PlannedDemand> DemandTable::demand(const Document& document, Instant now)
{
    dropOld(now);
    std::map<unsigned, unsigned> worthByOrder;
    for (const auto& [name, rank] : document.ranks)
        worthByOrder[rank.order] = rank.worth;
    std::map<ModelName, PlannedDemand> wanted;
    for (const auto& [model, usage] : m_usage) {
        PlannedDemand& entry = wanted[model];
        entry.model = model;
        entry.bestRankOrder = std::numeric_limits<unsigned>::max();
        entry.arrivalRate = usage.rate * std::exp(-secondsOf(now - usage.rateAt) / rateSeconds);
        entry.sinceLastUse = now - usage.lastUse;
    }
    for (const auto& [router, report] : m_reports) {
        for (const auto& [model, demand] : report.report.models) {
            if (demand.waiting == 0)
                continue;
            PlannedDemand& entry = wanted[model];
            entry.model = model;
            entry.waiting += demand.waiting;
            entry.bestRankOrder = std::min(entry.bestRankOrder, demand.bestRankOrder);
            entry.oldestWait = std::max(entry.oldestWait, demand.oldestWait + (now - report.at));
            for (const auto& [adapter, waiting] : demand.adapters)
                entry.adapters[adapter] += waiting;
        }
    }
    std::vector<PlannedDemand> result;
    for (auto& [model, entry] : wanted) {
        auto worth = worthByOrder.find(entry.bestRankOrder);
        entry.worth = worth == worthByOrder.end() ? 1 : worth->second;
        result.push_back(std::move(entry));
    }
    return result;
}

std::set<ModelName> DemandTable::recentlyUsed(Instant now) const
{
    std::set<ModelName> models;
    for (const auto& [model, usage] : m_usage) {
        if (now - usage.lastUse < runningTime)
            models.insert(model);
    }
    return models;
}

bool DemandTable::isAnyWaiting(Instant now) const
{
    return waitingModels(now) > 0;
}

unsigned DemandTable::waitingModels(Instant now) const
{
    std::set<ModelName> models;
    for (const auto& [router, report] : m_reports) {
        for (const auto& [model, demand] : report.report.models) {
            if (demand.waiting > 0 && now - report.at <= reportLifetime)
                models.insert(model);
        }
    }
    return static_cast<unsigned>(models.size());
}

unsigned DemandTable::waitingAdapters(Instant now) const
{
    std::set<AdapterName> adapters;
    for (const auto& [router, report] : m_reports) {
        for (const auto& [model, demand] : report.report.models) {
            for (const auto& [adapter, waiting] : demand.adapters) {
                if (waiting > 0 && now - report.at <= reportLifetime)
                    adapters.insert(adapter);
            }
        }
    }
    return static_cast<unsigned>(adapters.size());
}

} // namespace hemlockchute
