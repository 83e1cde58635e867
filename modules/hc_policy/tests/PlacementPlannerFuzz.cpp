#include "Property.h"
#include "hemlockchute/policy/PlacementPlanner.h"

#include <algorithm>
#include <array>
#include <set>

using namespace hemlockchute;

namespace {

constexpr unsigned modelCount = 6;
constexpr unsigned engineCount = 3;

ModelName modelName(unsigned index) { return ModelName("m" + std::to_string(index)); }
AdapterName adapterName(unsigned index) { return AdapterName("a" + std::to_string(index)); }

DocumentPointer anyDocument()
{
    auto document = std::make_shared<Document>();
    for (unsigned index = 0; index < modelCount; ++index) {
        if (*rc::gen::inRange(0, 8) == 0)
            continue;
        ModelSpec spec;
        spec.name = modelName(index);
        spec.replicas = *rc::gen::inRange(0U, 4U);
        spec.memory = ByteCount(*rc::gen::inRange<std::uint64_t>(1, 60));
        document->models[spec.name] = spec;
        AdapterSpec adapter;
        adapter.name = adapterName(index);
        adapter.model = spec.name;
        adapter.memory = ByteCount(*rc::gen::inRange<std::uint64_t>(1, 30));
        document->adapters[adapter.name] = adapter;
    }
    return document;
}

PlannedModel anyModel(unsigned index, const Document& document)
{
    PlannedModel model;
    model.model = modelName(index);
    auto spec = document.models.find(model.model);
    model.memory = spec == document.models.end() ? ByteCount(10) : spec->second.memory;
    auto phase = *rc::gen::inRange(0, 4);
    model.isLoading = phase == 0;
    model.isLoaded = phase != 0;
    model.isUnloading = phase == 1;
    model.running = model.isLoaded ? *rc::gen::inRange(0U, 3U) : 0;
    if (model.isLoaded && *rc::gen::arbitrary<bool>())
        model.adapters.push_back(adapterName(index));
    return model;
}

PlannedEngine anyEngine(unsigned number, const Document& document)
{
    PlannedEngine engine;
    engine.name = BackendServerName("e" + std::to_string(number));
    engine.memory = ByteCount(*rc::gen::inRange<std::uint64_t>(0, 120));
    engine.takesNewWork = *rc::gen::inRange(0, 4) != 0;
    for (unsigned index = 0; index < modelCount; ++index) {
        if (*rc::gen::inRange(0, 3) == 0) {
            engine.models.push_back(anyModel(index, document));
            engine.memoryReserved += engine.models.back().memory;
        }
        if (*rc::gen::inRange(0, 4) == 0)
            engine.cachedInMemory.push_back(modelName(index));
        if (*rc::gen::inRange(0, 3) == 0)
            engine.cachedOnDisk.push_back(modelName(index));
    }
    // An order that the engine's state does not show yet may also hold memory.
    engine.memoryReserved += ByteCount(*rc::gen::inRange<std::uint64_t>(0, 20));
    return engine;
}

PlannerInput anyInput()
{
    PlannerInput input;
    input.now = Instant(1h);
    input.document = anyDocument();
    for (unsigned number = 0; number < engineCount; ++number)
        input.engines.push_back(anyEngine(number, *input.document));
    for (unsigned index = 0; index < modelCount; ++index) {
        input.permits[modelName(index)] = *rc::gen::inRange(0U, 4U);
        if (*rc::gen::inRange(0, 4) == 0)
            continue;
        PlannedDemand demand;
        demand.model = modelName(index);
        demand.waiting = *rc::gen::inRange(0U, 20U);
        demand.bestRankOrder = *rc::gen::inRange(0U, 3U);
        demand.oldestWait = std::chrono::milliseconds(*rc::gen::inRange(0, 9000));
        demand.sinceLastUse = std::chrono::seconds(*rc::gen::inRange(0, 900));
        demand.arrivalRate = *rc::gen::inRange(0, 10) / 10.0;
        demand.adapters[adapterName(index)] = *rc::gen::inRange(0U, 3U);
        input.demand.push_back(demand);
    }
    input.storeLoadsAllowed = *rc::gen::inRange(0U, 4U);
    input.adapterLoadsAllowed = *rc::gen::inRange(0U, 3U);
    return input;
}

//==============================================================================
/** Applies the steps of a plan to a model of the fleet, and asserts the invariants that hold for every strategy. */
class PlanOracle {
public:
    explicit PlanOracle(const PlannerInput& input)
        : m_input(input)
    {
        for (const PlannedEngine& engine : input.engines) {
            m_reserved[engine.name] = engine.memoryReserved;
            for (const PlannedModel& model : engine.models) {
                ++m_replicas[model.model];
                m_loading[model.model] += model.isLoading ? 1 : 0;
            }
        }
    }

    void check(const PlanStep& step)
    {
        switch (step.kind) {
        case PlanStep::Kind::LoadModel:
            return checkLoad(step);
        case PlanStep::Kind::UnloadModel:
            return checkUnload(step);
        case PlanStep::Kind::LoadAdapter:
            return checkAdapter(step);
        case PlanStep::Kind::RequestPermit:
            RC_ASSERT(m_input.permits.at(step.model) < m_input.document->models.at(step.model).replicas);
            return;
        case PlanStep::Kind::ReturnPermit:
            RC_ASSERT(m_input.permits.at(step.model) > m_replicas[step.model]);
            return;
        }
    }

private:
    const PlannedEngine& engine(const PlanStep& step) const
    {
        return *std::find_if(m_input.engines.begin(), m_input.engines.end(), [&](const auto& engine) { return engine.name == step.engine; });
    }

    static const PlannedModel* find(const PlannedEngine& engine, const ModelName& name)
    {
        auto found = std::find_if(engine.models.begin(), engine.models.end(), [&](const auto& model) { return model.model == name; });
        return found == engine.models.end() ? nullptr : &*found;
    }

    static bool has(const std::vector<ModelName>& names, const ModelName& name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

    void checkLoad(const PlanStep& step)
    {
        const PlannedEngine& target = engine(step);
        RC_ASSERT(target.takesNewWork);
        RC_ASSERT(find(target, step.model) == nullptr);
        RC_ASSERT(++m_replicas[step.model] <= m_input.permits.at(step.model));
        RC_ASSERT(++m_loading[step.model] <= 1U);
        m_reserved[step.engine] += m_input.document->models.at(step.model).memory;
        RC_ASSERT((m_reserved[step.engine] <= target.memory));
        if (step.source == PlanSource::Store)
            RC_ASSERT(++m_storeLoads <= m_input.storeLoadsAllowed);
        if (step.source == PlanSource::Memory)
            RC_ASSERT(has(target.cachedInMemory, step.model));
        if (step.source == PlanSource::Disk)
            RC_ASSERT(has(target.cachedOnDisk, step.model));
    }

    void checkUnload(const PlanStep& step)
    {
        const PlannedModel* model = find(engine(step), step.model);
        RC_ASSERT(model != nullptr);
        RC_ASSERT(model->isLoaded && !model->isUnloading && model->running == 0);
        RC_ASSERT(m_unloads.emplace(step.engine, step.model).second);
    }

    void checkAdapter(const PlanStep& step)
    {
        const PlannedEngine& target = engine(step);
        const PlannedModel* model = find(target, step.model);
        RC_ASSERT(target.takesNewWork);
        RC_ASSERT(model != nullptr);
        RC_ASSERT(model->isLoaded && !model->isUnloading);
        RC_ASSERT(!m_unloads.contains({ step.engine, step.model }));
        RC_ASSERT(++m_adapterLoads <= m_input.adapterLoadsAllowed);
        m_reserved[step.engine] += m_input.document->adapters.at(step.adapter).memory;
        RC_ASSERT((m_reserved[step.engine] <= target.memory));
    }

    const PlannerInput& m_input;
    std::map<BackendServerName, ByteCount> m_reserved;
    std::map<ModelName, unsigned> m_replicas;
    std::map<ModelName, unsigned> m_loading;
    std::set<std::pair<BackendServerName, ModelName>> m_unloads;
    unsigned m_storeLoads = 0;
    unsigned m_adapterLoads = 0;
};

void checkPlans(const std::string& strategy)
{
    auto planner = makePlacementPlanner(strategy);
    checkProperty([&] {
        PlannerInput input = anyInput();
        PlanOracle oracle(input);
        for (const PlanStep& step : planner->plan(input))
            oracle.check(step);
    },
        2000);
}

//==============================================================================
/** One empty engine, and one model that a request waits for. */
PlannerInput simpleInput()
{
    auto document = std::make_shared<Document>();
    ModelSpec spec;
    spec.name = modelName(0);
    spec.memory = ByteCount(10);
    document->models[spec.name] = spec;
    PlannerInput input;
    input.document = document;
    PlannedEngine engine;
    engine.name = BackendServerName("e0");
    engine.memory = ByteCount(10);
    input.engines.push_back(engine);
    PlannedDemand demand;
    demand.model = spec.name;
    demand.waiting = 1;
    input.demand.push_back(demand);
    input.permits[spec.name] = 1;
    input.storeLoadsAllowed = 1;
    return input;
}

std::string describe(const std::vector<PlanStep>& steps)
{
    static constexpr std::array names { "load", "unload", "adapter", "request", "return" };
    static constexpr std::array sources { "memory", "disk", "store" };
    std::string text;
    for (const PlanStep& step : steps) {
        text += std::string(names.at(static_cast<std::size_t>(step.kind))) + ' ' + step.model.text() + ' ' + step.engine.text();
        if (step.kind == PlanStep::Kind::LoadModel)
            text += std::string(" from ") + sources.at(static_cast<std::size_t>(step.source));
        text += ';';
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementPlannerFuzz)

BOOST_AUTO_TEST_CASE(worthPlannerKeepsPlanInvariants) { checkPlans("worth-per-load-time"); }
BOOST_AUTO_TEST_CASE(lruPlannerKeepsPlanInvariants) { checkPlans("lru"); }

BOOST_AUTO_TEST_CASE(aModelThatRequestsWaitForIsLoaded)
{
    for (const char* strategy : { "worth-per-load-time", "lru" }) {
        auto planner = makePlacementPlanner(strategy);
        PlannerInput input = simpleInput();
        BOOST_TEST(describe(planner->plan(input)) == "load m0 e0 from store;");
        input.storeLoadsAllowed = 0;
        BOOST_TEST(describe(planner->plan(input)).empty());
        input.engines[0].cachedOnDisk.push_back(modelName(0));
        BOOST_TEST(describe(planner->plan(input)) == "load m0 e0 from disk;");
        input.permits.clear();
        BOOST_TEST(describe(planner->plan(input)) == "request m0 ;");
    }
}

BOOST_AUTO_TEST_CASE(unloadThatMakesRoomIsPlannedOnce)
{
    for (const char* strategy : { "worth-per-load-time", "lru" }) {
        auto planner = makePlacementPlanner(strategy);
        PlannerInput input = simpleInput();
        PlannedModel old;
        old.model = modelName(1);
        old.memory = ByteCount(10);
        old.isLoaded = true;
        input.engines[0].models.push_back(old);
        input.engines[0].memoryReserved = ByteCount(10);
        auto document = std::make_shared<Document>(*input.document);
        document->models[old.model] = document->models.at(modelName(0));
        document->models[old.model].name = old.model;
        input.document = document;
        input.permits[old.model] = 1;
        BOOST_TEST(describe(planner->plan(input)) == "unload m1 e0;");
        input.engines[0].models[0].isUnloading = true;
        BOOST_TEST(describe(planner->plan(input)).empty());
    }
}

BOOST_AUTO_TEST_CASE(idleModelsOfALeavingEngineAreUnloaded)
{
    PlannerInput input = simpleInput();
    PlannedModel loaded;
    loaded.model = modelName(0);
    loaded.memory = ByteCount(10);
    loaded.isLoaded = true;
    loaded.running = 1;
    input.engines[0].models.push_back(loaded);
    input.engines[0].takesNewWork = false;
    auto planner = makePlacementPlanner("worth-per-load-time");
    BOOST_TEST(describe(planner->plan(input)).empty());
    input.engines[0].models[0].running = 0;
    BOOST_TEST(describe(planner->plan(input)) == "unload m0 e0;");
}

BOOST_AUTO_TEST_SUITE_END()
