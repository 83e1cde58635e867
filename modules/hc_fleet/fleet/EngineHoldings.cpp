#include "hemlockchute/fleet/EngineHoldings.h"

#include <numeric>

namespace hemlockchute {
namespace {

/** Servers may report their state as it was some hundred milliseconds ago. After this time, a report that counts fewer orders than this host does is right. */
constexpr Duration maximumReportAge = 2s;

} // namespace

bool containsAdapter(const HeldModels& models, const ModelName& model, const AdapterName& adapter)
{
    auto held = models.find(model);
    return held != models.end() && held->second.contains(adapter);
}

std::size_t countAdapters(const HeldModels& models)
{
    return std::accumulate(models.begin(), models.end(), std::size_t(0), [](std::size_t count, const auto& model) { return count + model.second.size(); });
}

//==============================================================================
void EngineHoldings::applyReport(const EngineReport& report, Instant now)
{
    bool isOld = report.ordersAccepted < m_ordersAccepted && m_lastAccepted && now - *m_lastAccepted < maximumReportAge;
    settleOrders(report, !isOld);
    if (isOld)
        return;
    m_models = report.models;
    for (const auto& [key, order] : m_leaving) {
        if (auto held = m_models.find(key.first); held != m_models.end())
            held->second.erase(key.second);
    }
    m_pending = report.pendingAdapters;
    m_ordersAccepted = report.ordersAccepted;
}

/** Drops the orders that are complete by a report. */
void EngineHoldings::settleOrders(const EngineReport& report, bool isCurrent)
{
    auto isReported = [&](std::uint64_t order) { return isCurrent || report.ordersAccepted >= order; };
    std::erase_if(m_leaving, [&](const auto& item) {
        return isReported(item.second) && !containsAdapter(report.models, item.first.first, item.first.second);
    });
    std::erase_if(m_unconfirmed, [&](const auto& item) {
        return isReported(item.second) && !containsAdapter(report.pendingAdapters, item.first.first, item.first.second);
    });
}

void EngineHoldings::noteOrderAccepted(Instant now)
{
    ++m_ordersAccepted;
    m_lastAccepted = now;
}

void EngineHoldings::removeModel(const ModelName& model)
{
    auto isOfModel = [&](const auto& item) { return item.first.first == model; };
    std::erase_if(m_leaving, isOfModel);
    std::erase_if(m_unconfirmed, isOfModel);
    m_pending.erase(model);
    m_models.erase(model);
}

void EngineHoldings::addAdapter(const ModelName& model, const AdapterName& adapter)
{
    auto held = m_models.find(model);
    if (held == m_models.end() || !held->second.insert(adapter).second)
        return;
    m_unconfirmed[{ model, adapter }] = m_ordersAccepted;
}

void EngineHoldings::beginUnload(const ModelName& model, const AdapterName& adapter)
{
    removeAdapter(model, adapter);
    m_leaving[{ model, adapter }] = m_ordersAccepted;
}

void EngineHoldings::removeAdapter(const ModelName& model, const AdapterName& adapter)
{
    m_unconfirmed.erase({ model, adapter });
    if (auto held = m_models.find(model); held != m_models.end())
        held->second.erase(adapter);
}

void EngineHoldings::forgetOrders()
{
    m_leaving.clear();
    m_unconfirmed.clear();
    noteUncertain();
}

HeldModels EngineHoldings::adaptersOf(const Orders& orders)
{
    HeldModels adapters;
    for (const auto& [key, order] : orders)
        adapters[key.first].insert(key.second);
    return adapters;
}

} // namespace hemlockchute
