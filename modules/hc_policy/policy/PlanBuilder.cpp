#include "policy/PlanBuilder.h"

#include <algorithm>
#include <cassert>

namespace hemlockchute {

PlanBuilder::PlanBuilder(const PlannerInput& input)
    : m_input(input)
    , m_storeLoadsLeft(input.storeLoadsAllowed)
    , m_adapterLoadsLeft(input.adapterLoadsAllowed)
{
    for (const PlannedDemand& wanted : input.demand)
        m_demand[wanted.model] = &wanted;
    for (const PlannedEngine& engine : input.engines) {
        EngineState state;
        state.free = engine.memory - engine.memoryReserved;
        state.freeSoon = state.free;
        state.inMemory.insert(engine.cachedInMemory.begin(), engine.cachedInMemory.end());
        state.onDisk.insert(engine.cachedOnDisk.begin(), engine.cachedOnDisk.end());
        for (const PlannedModel& model : engine.models) {
            ModelState& known = m_models[model.model];
            ++known.replicas;
            known.loading += model.isLoading && engine.isAnswering ? 1 : 0;
            bool serves = model.isLoaded && !model.isUnloading && engine.takesNewWork;
            known.serving += serves ? 1 : 0;
            if (model.isUnloading)
                state.freeSoon += model.memory;
        }
        m_engines.push_back(std::move(state));
    }
}

//==============================================================================
const PlannedDemand* PlanBuilder::demand(const ModelName& model) const
{
    auto found = m_demand.find(model);
    return found == m_demand.end() ? nullptr : found->second;
}

const ModelSpec* PlanBuilder::spec(const ModelName& model) const
{
    auto found = m_input.document->models.find(model);
    return found == m_input.document->models.end() ? nullptr : &found->second;
}

unsigned PlanBuilder::replicas(const ModelName& model) const
{
    auto found = m_models.find(model);
    return found == m_models.end() ? 0 : found->second.replicas;
}

unsigned PlanBuilder::serving(const ModelName& model) const
{
    auto found = m_models.find(model);
    return found == m_models.end() ? 0 : found->second.serving;
}

bool PlanBuilder::isLoading(const ModelName& model) const
{
    auto found = m_models.find(model);
    return found != m_models.end() && found->second.loading > 0;
}

unsigned PlanBuilder::permits(const ModelName& model) const
{
    auto found = m_input.permits.find(model);
    return found == m_input.permits.end() ? 0 : found->second;
}

std::vector<PlanBuilder::LoadTarget> PlanBuilder::loadTargets(const ModelSpec& spec) const
{
    std::vector<LoadTarget> loadTargets;
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        const PlannedEngine& engine = m_input.engines[index];
        const EngineState& state = m_engines[index];
        bool hasIt = std::any_of(engine.models.begin(), engine.models.end(),
            [&](const PlannedModel& model) { return model.model == spec.name; });
        if (!engine.takesNewWork || hasIt || engine.memory < spec.memory)
            continue;
        LoadTarget target { index, PlanSource::Store, spec.loadTimeFromStore, state.free, state.freeSoon };
        if (state.inMemory.contains(spec.name)) {
            target.source = PlanSource::Memory;
            target.loadTime = spec.loadTimeFromMemory;
        } else if (state.onDisk.contains(spec.name)) {
            target.source = PlanSource::Disk;
            target.loadTime = spec.loadTimeFromDisk;
        } else if (m_storeLoadsLeft == 0) {
            continue;
        }
        loadTargets.push_back(target);
    }
    return loadTargets;
}

bool PlanBuilder::isUnloadable(std::size_t engine, const PlannedModel& model) const
{
    bool isIdle = model.isLoaded && !model.isLoading && !model.isUnloading && model.running == 0;
    return isIdle && !m_engines[engine].unloading.contains(model.model);
}

std::vector<PlanBuilder::Victim> PlanBuilder::victims(std::size_t engine) const
{
    std::vector<Victim> victims;
    for (const PlannedModel& model : m_input.engines[engine].models) {
        const PlannedDemand* wanted = demand(model.model);
        bool isWanted = wanted && wanted->waiting > 0 && m_input.engines[engine].takesNewWork;
        if (isUnloadable(engine, model) && !isWanted)
            victims.push_back({ model.model, model.memory, wanted });
    }
    return victims;
}

//==============================================================================
bool PlanBuilder::load(const ModelSpec& spec, const LoadTarget& target)
{
    EngineState& engine = m_engines[target.engine];
    if (isLoading(spec.name) || replicas(spec.name) >= permits(spec.name) || engine.free < spec.memory)
        return false;
    if (target.source == PlanSource::Store) {
        if (m_storeLoadsLeft == 0)
            return false;
        --m_storeLoadsLeft;
    }
    engine.free -= spec.memory;
    engine.freeSoon -= spec.memory;
    ModelState& state = m_models[spec.name];
    ++state.replicas;
    ++state.loading;
    m_steps.push_back({ PlanStep::Kind::LoadModel, spec.name, {}, m_input.engines[target.engine].name, target.source });
    return true;
}

void PlanBuilder::reserveMemory(const LoadTarget& target, ByteCount memory)
{
    EngineState& engine = m_engines[target.engine];
    engine.free -= memory;
    engine.freeSoon -= memory;
}

void PlanBuilder::requestPermit(const ModelSpec& spec)
{
    if (permits(spec.name) < spec.replicas)
        m_steps.push_back({ PlanStep::Kind::RequestPermit, spec.name, {}, {}, PlanSource::Store });
}

void PlanBuilder::unload(const ModelName& model, std::size_t engine)
{
    EngineState& state = m_engines[engine];
    for (const PlannedModel& planned : m_input.engines[engine].models) {
        if (planned.model != model || !isUnloadable(engine, planned))
            continue;
        state.unloading.insert(model);
        state.freeSoon += planned.memory;
        if (m_input.engines[engine].takesNewWork)
            --m_models[model].serving;
        m_steps.push_back({ PlanStep::Kind::UnloadModel, model, {}, m_input.engines[engine].name, PlanSource::Store });
        return;
    }
    assert(!"the model cannot be unloaded there");
}

void PlanBuilder::loadAdapters(const PlannedDemand& wanted)
{
    for (const auto& [adapter, waiting] : wanted.adapters) {
        if (waiting > 0 && m_input.document->adapters.contains(adapter))
            loadAdapter(wanted.model, adapter);
    }
}

void PlanBuilder::loadAdapter(const ModelName& wanted, const AdapterName& adapter)
{
    std::optional<std::size_t> best;
    unsigned leastRunning = 0;
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        const PlannedEngine& engine = m_input.engines[index];
        auto model = std::find_if(engine.models.begin(), engine.models.end(),
            [&](const PlannedModel& candidate) { return candidate.model == wanted; });
        bool serves = engine.takesNewWork && model != engine.models.end() && model->isLoaded && !model->isUnloading;
        if (!serves || m_engines[index].unloading.contains(wanted))
            continue;
        if (std::find(model->adapters.begin(), model->adapters.end(), adapter) != model->adapters.end())
            return;
        bool fits = m_engines[index].free >= m_input.document->adapters.at(adapter).memory;
        if (fits && (!best || model->running < leastRunning)) {
            best = index;
            leastRunning = model->running;
        }
    }
    if (!best || m_adapterLoadsLeft == 0)
        return;
    --m_adapterLoadsLeft;
    reserveMemory({ *best, PlanSource::Store, {}, {}, {} }, m_input.document->adapters.at(adapter).memory);
    m_steps.push_back({ PlanStep::Kind::LoadAdapter, wanted, adapter, m_input.engines[*best].name, PlanSource::Store });
}

//==============================================================================
void PlanBuilder::shrinkToPermits()
{
    std::map<ModelName, unsigned> staying;
    for (const PlannedEngine& engine : m_input.engines) {
        for (const PlannedModel& model : engine.models)
            staying[model.model] += model.isUnloading ? 0 : 1;
    }
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        for (const PlannedModel& model : m_input.engines[index].models) {
            const ModelSpec* declared = spec(model.model);
            unsigned most = declared ? std::min(permits(model.model), declared->replicas) : 0;
            if (staying[model.model] <= most || !isUnloadable(index, model))
                continue;
            --staying[model.model];
            unload(model.model, index);
        }
    }
}

void PlanBuilder::returnPermit(const ModelName& model)
{
    if (permits(model) > replicas(model))
        m_steps.push_back({ PlanStep::Kind::ReturnPermit, model, {}, {}, PlanSource::Store });
}

} // namespace hemlockchute
