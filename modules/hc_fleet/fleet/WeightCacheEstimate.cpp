#include "hemlockchute/fleet/WeightCacheEstimate.h"

#include <algorithm>

namespace hemlockchute {

void WeightCacheEstimate::reset(const std::set<ModelName>& models)
{
    m_models = models;
    m_order.assign(models.begin(), models.end());
}

void WeightCacheEstimate::add(const ModelName& model, const EngineSpec& engine, ByteCount capacity)
{
    remove(model);
    m_models.insert(model);
    m_order.push_back(model);
    ByteCount used;
    for (const ModelName& each : m_order) {
        auto spec = engine.models.find(each);
        used += spec == engine.models.end() ? ByteCount() : spec->second.weights;
    }
    while (used > capacity && m_order.size() > 1) {
        ModelName oldest = m_order.front();
        auto spec = engine.models.find(oldest);
        used -= spec == engine.models.end() ? ByteCount() : spec->second.weights;
        remove(oldest);
    }
}

void WeightCacheEstimate::remove(const ModelName& model)
{
    m_models.erase(model);
    std::erase(m_order, model);
}

} // namespace hemlockchute
