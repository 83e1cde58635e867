#include "policy/EngineModel.h"

#include <algorithm>
#include <cassert>

namespace hemlockchute::experiment {
namespace {

constexpr std::size_t modelsCachedInMemory = 2;
constexpr std::size_t modelsCachedOnDisk = 8;

} // namespace

EngineModel::EngineModel(BackendServerName name, ByteCount memory, unsigned slots)
    : m_name(std::move(name))
    , m_memory(memory)
    , m_slots(slots)
{
}

void EngineModel::beginLoad(const ModelSpec& spec)
{
    Model& model = m_models[spec.name];
    model.planned.model = spec.name;
    model.planned.memory = spec.memory;
    model.planned.isLoading = true;
    m_reserved += spec.memory;
    assert(m_reserved <= m_memory);
}

void EngineModel::endLoad(const ModelName& name)
{
    PlannedModel& model = m_models.at(name).planned;
    model.isLoading = false;
    model.isLoaded = true;
    cacheOnDisk(name);
}

void EngineModel::beginUnload(const ModelName& name)
{
    assert(m_models.at(name).planned.running == 0);
    m_models.at(name).planned.isUnloading = true;
}

void EngineModel::endUnload(const ModelName& name)
{
    m_reserved -= m_models.at(name).planned.memory;
    m_models.erase(name);
    cache(m_inMemory, name, modelsCachedInMemory);
}

void EngineModel::beginAdapter(const AdapterSpec& spec)
{
    Model& model = m_models.at(spec.model);
    model.planned.adapters.push_back(spec.name);
    model.planned.memory += spec.memory;
    m_reserved += spec.memory;
}

void EngineModel::endAdapter(const AdapterSpec& spec)
{
    if (auto model = m_models.find(spec.model); model != m_models.end())
        model->second.servingAdapters.insert(spec.name);
}

void EngineModel::beginRequest(const ModelName& name)
{
    ++m_running;
    ++m_models.at(name).planned.running;
}

void EngineModel::endRequest(const ModelName& name)
{
    --m_running;
    --m_models.at(name).planned.running;
}

void EngineModel::cacheOnDisk(const ModelName& name)
{
    cache(m_onDisk, name, modelsCachedOnDisk);
}

//==============================================================================
bool EngineModel::isLoaded(const ModelName& name) const
{
    auto found = m_models.find(name);
    return found != m_models.end() && found->second.planned.isLoaded && !found->second.planned.isUnloading;
}

bool EngineModel::canServe(const ModelName& name, const AdapterName& adapter, unsigned usableSlots) const
{
    if (m_running >= usableSlots || !isLoaded(name))
        return false;
    return adapter.isEmpty() || m_models.at(name).servingAdapters.contains(adapter);
}

PlannedEngine EngineModel::planned() const
{
    PlannedEngine engine;
    engine.name = m_name;
    engine.memory = m_memory;
    engine.memoryReserved = m_reserved;
    for (const auto& [name, model] : m_models)
        engine.models.push_back(model.planned);
    engine.cachedInMemory.assign(m_inMemory.begin(), m_inMemory.end());
    engine.cachedOnDisk.assign(m_onDisk.begin(), m_onDisk.end());
    return engine;
}

double EngineModel::idleShare() const
{
    ByteCount idle;
    for (const auto& [name, model] : m_models) {
        if (model.planned.isLoaded && model.planned.running == 0)
            idle += model.planned.memory;
    }
    return static_cast<double>(idle.value()) / static_cast<double>(m_memory.value());
}

void EngineModel::cache(std::deque<ModelName>& cached, const ModelName& name, std::size_t maximum)
{
    std::erase(cached, name);
    cached.push_back(name);
    if (cached.size() > maximum)
        cached.pop_front();
}

} // namespace hemlockchute::experiment
