#include "policy/DataCentreModel.h"

#include <algorithm>
#include <cmath>

namespace hemlockchute::experiment {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr Duration firstTokenTime = 120ms;
constexpr Duration unloadTime = 100ms;
constexpr Duration arrivalRateTimeConstant = 60s;
/** Capacity of the token bucket that limits loads from the store. */
constexpr double storeBurst = 2;
/** A model unused for this long is no longer reported to the planner as in demand. */
constexpr Duration useRetention = 15min;
constexpr std::uint64_t wholePerMille = 1000;

} // namespace

DataCentreModel::DataCentreModel(SharedSimulation& simulation, const StrategySet& strategies, unsigned index, std::map<ModelName, unsigned> permits)
    : m_simulation(simulation)
    , m_name(simulation.deployment.dataCentres.at(index))
    , m_permits(std::move(permits))
    , m_picker(makeServerPicker(strategies.picker))
    , m_planner(makePlacementPlanner(strategies.planner))
    , m_slotReserve(strategies.reservesSlots ? SlotReserve::Options() : SlotReserve::Options().withReservedPercent(0))
    , m_rateShare(simulation.deployment.document->limits.storeLoadsPerSecondPerMille, m_name, simulation.deployment.dataCentres)
    , m_atOnceShare(simulation.deployment.document->limits.storeLoadsAtOnce * wholePerMille, m_name, simulation.deployment.dataCentres,
          RateShare::Options().withGranularity(wholePerMille))
{
    const Deployment& deployment = simulation.deployment;
    unsigned engineCount = deployment.engines.at(index);
    m_queue = makeRequestQueue(strategies.queue, RequestQueueOptions().withParallelism(engineCount * deployment.slotsPerEngine));
    m_queue->setRanks(deployment.document->ranks);
    for (unsigned number = 0; number < engineCount; ++number) {
        BackendServerName name(m_name.text() + '-' + std::to_string(number));
        m_engines.emplace_back(name, deployment.engineMemory, deployment.slotsPerEngine);
    }
    // Checkpoints are distributed unevenly over the disks.
    for (const auto& [model, count] : m_permits)
        m_engines[simulation.random() % engineCount].cacheOnDisk(model);
}

bool DataCentreModel::serves(const ModelName& model) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const EngineModel& engine) { return engine.isLoaded(model); });
}

void DataCentreModel::arrive(const Arrival& arrival, Duration networkDelay, Instant now)
{
    ModelName model = Deployment::modelName(arrival.model);
    const RankSpec& rank = m_simulation.deployment.document->ranks.at(rankNames[arrival.rank]);
    QueuedRequest request;
    request.ticket = m_lastTicket = m_lastTicket.next();
    request.rank = rank.name;
    request.model = model;
    request.adapter = arrival.adapter;
    request.arrival = now - networkDelay;
    request.deadline = request.arrival + rank.longestWait;
    // The queue uses the average cost of requests of that rank.
    static constexpr std::array<Duration, 3> expectedCost { 500ms, 1500ms, 4s };
    request.cost = expectedCost.at(arrival.rank);
    m_pending[request.ticket] = { arrival, !serves(model) };
    recordUse(arrival, now);
    if (m_queue->add(request, now)) {
        refuse(request.ticket);
        return;
    }
    if (!arrival.adapter.isEmpty())
        ++m_uses[model].adapters[arrival.adapter];
}

void DataCentreModel::recordUse(const Arrival& arrival, Instant now)
{
    Use& use = m_uses[Deployment::modelName(arrival.model)];
    double age = Seconds(now - use.last).count() / Seconds(arrivalRateTimeConstant).count();
    double before = use.arrivalRate * std::exp(-age);
    double added = 1 / Seconds(arrivalRateTimeConstant).count();
    double worth = m_simulation.deployment.document->ranks.at(rankNames[arrival.rank]).worth;
    use.worth = (use.worth * before + worth * added) / (before + added);
    use.arrivalRate = before + added;
    use.last = now;
}

void DataCentreModel::refuse(QueueTicket ticket)
{
    auto pending = m_pending.extract(ticket);
    const Arrival& arrival = pending.mapped().arrival;
    m_simulation.measurements.recordRefusal(arrival, pending.mapped().wasCold);
}

//==============================================================================
void DataCentreModel::dispatch(Instant now)
{
    for (const Refusal& refusal : m_queue->expire(now)) {
        const Arrival& arrival = m_pending.at(refusal.ticket).arrival;
        if (!arrival.adapter.isEmpty())
            --m_uses[Deployment::modelName(arrival.model)].adapters[arrival.adapter];
        refuse(refusal.ticket);
    }
    auto canServe = [&](const QueuedRequest& request) {
        return std::any_of(m_engines.begin(), m_engines.end(),
            [&](const EngineModel& engine) { return this->canServe(engine, request); });
    };
    auto hasFreeSlot = [&] {
        return std::any_of(m_engines.begin(), m_engines.end(), [](const EngineModel& engine) { return engine.running() < engine.slots(); });
    };
    while (hasFreeSlot()) {
        std::optional<QueuedRequest> request = m_queue->take(canServe, now);
        if (!request)
            return;
        begin(*request, now);
    }
}

bool DataCentreModel::canServe(const EngineModel& engine, const QueuedRequest& request) const
{
    unsigned moreUrgentRanks = m_simulation.deployment.document->ranks.at(request.rank).order;
    unsigned usable = m_queue->isBelowFloor(request.rank) ? engine.slots() : m_slotReserve.usable(engine.slots(), moreUrgentRanks);
    return engine.canServe(request.model, request.adapter, usable);
}

void DataCentreModel::begin(const QueuedRequest& request, Instant now)
{
    // Prefers engines with slots beyond the reserve for more urgent ranks; a rank below its floor may find none and then uses the reserve.
    std::vector<ServerCandidate> candidates;
    std::vector<EngineModel*> engines;
    for (bool mayUseReservedSlots : { false, true }) {
        for (EngineModel& engine : m_engines) {
            bool isUsable = mayUseReservedSlots ? engine.canServe(request.model, request.adapter, engine.slots()) : canServe(engine, request);
            if (!isUsable)
                continue;
            candidates.push_back({ engine.name(), engine.running(), engine.running(), 0, {}, engine.slots(), 0, {} });
            engines.push_back(&engine);
        }
        if (!engines.empty())
            break;
    }
    EngineModel& engine = *engines.at(m_picker->pick(candidates, m_simulation.random()).value());
    Pending pending = std::move(m_pending.extract(request.ticket).mapped());
    const Arrival& arrival = pending.arrival;
    if (!arrival.adapter.isEmpty())
        --m_uses[request.model].adapters[arrival.adapter];
    m_uses[request.model].last = now;
    engine.beginRequest(request.model);
    m_queue->charge(request, arrival.serviceTime, now);
    m_simulation.measurements.recordFirstToken(arrival, pending.wasCold, now + firstTokenTime - request.arrival);
    m_simulation.measurements.recordService(arrival, now - Instant());
    m_simulation.after(arrival.serviceTime, [&engine, model = request.model] { engine.endRequest(model); });
}

//==============================================================================
void DataCentreModel::plan(Instant now)
{
    for (const PlanStep& step : m_planner->plan(plannerInput(now)))
        apply(step, now);
}

PlannerInput DataCentreModel::plannerInput(Instant now)
{
    PlannerInput input;
    input.now = now;
    input.document = m_simulation.deployment.document;
    for (const EngineModel& engine : m_engines)
        input.engines.push_back(engine.planned());
    input.permits = m_permits;
    input.adapterLoadsAllowed = m_simulation.deployment.document->limits.adaptersInFlight
            / static_cast<unsigned>(m_simulation.deployment.dataCentres.size())
        - m_adapterLoads;

    std::map<ModelName, WaitingModel> waiting;
    for (WaitingModel& model : m_queue->waitingModels())
        waiting[model.model] = model;
    unsigned loadsWanted = 0;
    std::erase_if(m_uses, [&](const auto& entry) { return now - entry.second.last > useRetention && !waiting.contains(entry.first); });
    for (const auto& [name, use] : m_uses) {
        PlannedDemand demand;
        demand.model = name;
        demand.arrivalRate = use.arrivalRate;
        demand.sinceLastUse = now - use.last;
        demand.adapters = use.adapters;
        if (auto found = waiting.find(name); found != waiting.end()) {
            demand.waiting = found->second.waiting;
            demand.bestRankOrder = found->second.bestRankOrder;
            demand.oldestWait = now - found->second.oldestArrival;
            loadsWanted += serves(name) ? 0 : 1;
        }
        demand.worth = static_cast<unsigned>(std::lround(use.worth));
        input.demand.push_back(std::move(demand));
    }
    m_rateShare.setDemand(loadsWanted);
    m_atOnceShare.setDemand(loadsWanted);
    input.storeLoadsAllowed = storeLoadsAllowed(now);
    return input;
}

unsigned DataCentreModel::storeLoadsAllowed(Instant now)
{
    double perSecond = static_cast<double>(m_rateShare.allowed(now)) / wholePerMille;
    m_storeTokens = std::min(storeBurst, m_storeTokens + perSecond * Seconds(now - m_lastRefill).count());
    m_lastRefill = now;
    auto atOnce = static_cast<unsigned>(m_atOnceShare.allowed(now) / wholePerMille);
    unsigned free = atOnce > m_storeLoads ? atOnce - m_storeLoads : 0;
    return std::min(free, static_cast<unsigned>(m_storeTokens));
}

void DataCentreModel::apply(const PlanStep& step, Instant)
{
    switch (step.kind) {
    case PlanStep::Kind::LoadModel:
        return load(engine(step.engine), step);
    case PlanStep::Kind::UnloadModel: {
        EngineModel& target = engine(step.engine);
        target.beginUnload(step.model);
        m_simulation.after(unloadTime, [&target, model = step.model] { target.endUnload(model); });
        return;
    }
    case PlanStep::Kind::LoadAdapter: {
        EngineModel& target = engine(step.engine);
        const AdapterSpec& spec = m_simulation.deployment.document->adapters.at(step.adapter);
        target.beginAdapter(spec);
        ++m_adapterLoads;
        m_simulation.after(m_simulation.adapters.begin(m_simulation.deployment.adapterLoadTime), [this, &target, &spec] {
            --m_adapterLoads;
            m_simulation.adapters.end();
            target.endAdapter(spec);
        });
        return;
    }
    case PlanStep::Kind::RequestPermit:
    case PlanStep::Kind::ReturnPermit:
        // Permits keep their initial assignment.
        return;
    }
}

void DataCentreModel::load(EngineModel& target, const PlanStep& step)
{
    const ModelSpec& spec = m_simulation.deployment.document->models.at(step.model);
    target.beginLoad(spec);
    bool isFromStore = step.source == PlanSource::Store;
    m_simulation.measurements.recordLoad(isFromStore);
    Duration time = step.source == PlanSource::Memory ? spec.loadTimeFromMemory : spec.loadTimeFromDisk;
    if (isFromStore) {
        time = m_simulation.store.begin(spec.loadTimeFromStore);
        m_storeTokens -= 1;
        ++m_storeLoads;
    }
    m_simulation.after(time, [this, &target, isFromStore, model = step.model] {
        target.endLoad(model);
        if (isFromStore) {
            m_simulation.store.end();
            --m_storeLoads;
        }
    });
}

EngineModel& DataCentreModel::engine(const BackendServerName& name)
{
    return *std::find_if(m_engines.begin(), m_engines.end(), [&](const EngineModel& engine) { return engine.name() == name; });
}

//==============================================================================
void DataCentreModel::report(DataCentreModel& to, Instant now)
{
    to.m_rateShare.receive(m_name, m_rateShare.report(to.m_name, now), now);
    to.m_atOnceShare.receive(m_name, m_atOnceShare.report(to.m_name, now), now);
}

void DataCentreModel::recordIdle(Duration time)
{
    double hours = std::chrono::duration<double, std::ratio<3600>>(time).count();
    for (const EngineModel& engine : m_engines)
        m_simulation.measurements.recordIdle(engine.idleShare() * hours);
}

} // namespace hemlockchute::experiment
