#include "fleet/ModelPlacerRound.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hemlockchute {
namespace {

/** Ranks from this number on, the least urgent ones, weigh the same. */
constexpr unsigned lastWeightedRank = 2;
/** Weight ratio between a rank and the next less urgent one. */
constexpr double rankWeightRatio = 2;
/** Minimum decayed number of refusals that still counts as demand. */
constexpr double minimumRefused = 0.3;
/** Ratio of actual to declared load time above which the store is overloaded, and below which it has capacity left. */
constexpr double overloadedSlowdown = 1.25;
constexpr double spareSlowdown = 1.1;
/** Upper bound of the adaptive limit of store loads; the users' fleet has 930 servers. */
constexpr unsigned maximumStoreLimit = 64;
/** Loads without demand may use this fraction, 1/n, of the store limit. */
constexpr unsigned idleLoadDivisor = 2;
/** Estimated time of an unload and of sending the next order, if the unloaded model is idle. */
constexpr Duration unloadTime = 150ms;
/** Estimated time of one more round of unload and load, for a model without a server yet. */
constexpr Duration evictionRoundTime = 600ms;
/** An intent that is not fulfilled within this time is dropped. */
constexpr Duration intentTimeout = 15s;

double urgency(unsigned rank)
{
    return std::pow(rankWeightRatio, lastWeightedRank - std::min(rank, lastWeightedRank));
}

} // namespace

ModelPlacer::Options ModelPlacer::Options::withStoreLoadsAtOnce(unsigned value) const
{
    Options copy = *this;
    copy.storeLoadsAtOnce = value;
    return copy;
}

//==============================================================================
/** A candidate server for a model. */
struct ModelPlacer::Place {
    const PlacedServer* server = nullptr;
    PlacementStep::Source source = PlacementStep::Source::Store;
    std::vector<ModelName> victims;
    Duration cost {};
};

//==============================================================================
std::vector<PlacementStep> ModelPlacer::decide(const EngineSpec& engine, const Servers& servers, const Demands& demands, Instant now)
{
    Round round { engine, servers, demands, now };
    rememberSizes(engine, servers);
    m_expected.clear();
    prepare(round);
    continueIntents(round);
    trackWaiting(round);
    addCopies(round, true);
    placeMissing(round);
    addCopies(round, false);
    placeAdapters(round);
    loadUnrequested(round);
    return std::move(round.steps);
}

void ModelPlacer::reset()
{
    m_intents.clear();
    m_heldSince.clear();
    m_waitingSince.clear();
    m_adapterWaitingSince.clear();
    m_expected.clear();
}

/** Sets the limit to the number of concurrent loads divided by the slowdown if a load was slow; raises it by one if a load at the limit ran at about full speed. */
void ModelPlacer::noteStoreLoad(Duration took, Duration declared, unsigned position)
{
    double slowdown = static_cast<double>(took.count()) / static_cast<double>(std::max<Duration>(declared, 1ms).count());
    if (slowdown > overloadedSlowdown)
        m_storeLimit = std::max(1U, static_cast<unsigned>(std::lround(position / slowdown)));
    else if (slowdown < spareSlowdown && position >= m_storeLimit && m_storeLimit < maximumStoreLimit)
        ++m_storeLimit;
}

void ModelPlacer::prepare(Round& round)
{
    for (const auto& [key, demand] : round.demands) {
        auto [entry, isNew] = round.models.emplace(key.first, demand);
        if (isNew)
            continue;
        CombinedDemand& sum = entry->second;
        sum.waiting += demand.waiting;
        sum.active += demand.active;
        sum.rank = std::min(sum.rank, demand.rank);
        sum.arrivalsPerSecond += demand.arrivalsPerSecond;
        sum.refused += demand.refused;
    }
    std::map<std::pair<BackendServerName, ModelName>, Instant> heldSince;
    for (const PlacedServer& server : round.servers) {
        for (const auto& [model, adapters] : server.models) {
            ++round.copies[model];
            auto known = m_heldSince.find({ server.id, model });
            heldSince[{ server.id, model }] = known == m_heldSince.end() ? round.now : known->second;
        }
        round.storeLoads += server.isLoadingFromStore ? 1 : 0;
        if (server.loading.isEmpty())
            continue;
        ++round.pendingCopies[server.loading];
        m_expected[server.loading] = std::max(server.loadedAt, round.now);
    }
    m_heldSince = std::move(heldSince);
}

/** Continues earlier intents first, so that room made for a model goes to that model. */
void ModelPlacer::continueIntents(Round& round)
{
    std::erase_if(m_intents, [&](const auto& item) {
        const BackendServerName& id = item.first;
        const Intent& intent = item.second;
        auto server = std::find_if(round.servers.begin(), round.servers.end(), [&](const PlacedServer& each) { return each.id == id; });
        bool isUnknown = server == round.servers.end() || !round.engine.models.contains(intent.model);
        bool isDone = isUnknown || server->models.contains(intent.model) || server->loading == intent.model;
        return isDone || round.now - intent.since > intentTimeout;
    });
    for (const PlacedServer& server : round.servers) {
        auto intent = m_intents.find(server.id);
        if (intent == m_intents.end())
            continue;
        round.assigned.insert(server.id);
        ++round.pendingCopies[intent->second.model];
        round.storeLoads += intent->second.source == PlacementStep::Source::Store ? 1 : 0;
        const EngineModel& spec = round.engine.models.at(intent->second.model);
        m_expected[intent->second.model] = round.now + unloadTime + (intent->second.source == PlacementStep::Source::Store ? spec.loadFromStore : spec.loadFromDisk);
        if (!server.mayTakeOrder)
            continue;
        auto place = placeAt(round, server, intent->second.model, std::numeric_limits<double>::infinity());
        if (place)
            addStep(round, server, intent->second, place->victims);
    }
}

void ModelPlacer::trackWaiting(Round& round)
{
    std::map<ModelName, Instant> since;
    for (const auto& [model, demand] : round.models) {
        if (demand.waiting == 0 || round.copies[model] == 0)
            continue;
        auto known = m_waitingSince.find(model);
        since[model] = known == m_waitingSince.end() ? round.now : known->second;
    }
    m_waitingSince = std::move(since);
}

void ModelPlacer::placeMissing(Round& round)
{
    std::vector<std::pair<double, ModelName>> missing;
    for (const auto& [model, demand] : round.models) {
        bool isWanted = demand.waiting > 0 || demand.refused > minimumRefused;
        if (isWanted && round.engine.models.contains(model) && round.copies[model] == 0 && round.pendingCopies[model] == 0)
            missing.emplace_back((demand.waiting + demand.refused) * urgency(demand.rank), model);
    }
    std::sort(missing.begin(), missing.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<ModelName> unplaced;
    for (const auto& [value, model] : missing) {
        if (!place(round, model, value, true))
            unplaced.push_back(model);
    }
    estimateUnplaced(round, unplaced);
}

/** Adds as many copies as the requests need, and one more for models whose servers are all full or unreachable, or for busy models that a data centre lacks. */
void ModelPlacer::addCopies(Round& round, bool forUrgent)
{
    for (const auto& [model, demand] : round.models) {
        if (!round.engine.models.contains(model) || round.copies[model] == 0 || (demand.rank == 0) != forUrgent)
            continue;
        double value = demand.arrivalsPerSecond / (round.copies[model] + 1) * urgency(demand.rank);
        auto needed = static_cast<unsigned>(std::ceil((demand.active + demand.waiting) / (m_options.fullThreshold * round.engine.slots)));
        bool isPlaced = true;
        while (isPlaced && needed > round.copies[model] + round.pendingCopies[model])
            isPlaced = place(round, model, value, true);
        if (round.pendingCopies[model] > 0)
            continue;
        unsigned least = std::numeric_limits<unsigned>::max();
        double limited = 0;
        for (const PlacedServer& server : round.servers) {
            if (!server.models.contains(model))
                continue;
            if (server.rateLimit)
                limited += server.rateLimit->perSecond;
            else
                least = std::min(least, server.outstanding);
        }
        bool areAllLimited = least == std::numeric_limits<unsigned>::max();
        auto waiting = m_waitingSince.find(model);
        bool isUnreachable = waiting != m_waitingSince.end() && round.now - waiting->second >= m_options.unreachableAfter;
        if (isUnreachable) {
            place(round, model, demand.waiting * urgency(demand.rank), true);
            continue;
        }
        bool isFull = areAllLimited ? demand.arrivalsPerSecond > limited : least >= m_options.fullThreshold * round.engine.slots && demand.arrivalsPerSecond > 1;
        DataCentreName without = demand.arrivalsPerSecond > m_options.spreadRate ? dataCentreWithout(round, model) : DataCentreName();
        if (isFull || !without.isEmpty())
            place(round, model, value, round.storeLoads + 1 < m_storeLimit, without);
    }
}

/** Loads models that no server has a copy of, where this evicts nothing of value. Not while requests wait for loaded models: these may be unreachable and need the servers. Part of the store capacity is reserved for requests, since a load cannot be cancelled. */
void ModelPlacer::loadUnrequested(Round& round)
{
    if (!m_waitingSince.empty())
        return;
    unsigned most = std::max(1U, m_storeLimit / idleLoadDivisor);
    if (round.storeLoads >= most)
        return;
    std::set<ModelName> known;
    for (const PlacedServer& server : round.servers) {
        known.insert(server.inMemory.begin(), server.inMemory.end());
        known.insert(server.onDisk.begin(), server.onDisk.end());
        for (const auto& [model, adapters] : server.models)
            known.insert(model);
    }
    for (const auto& [model, spec] : round.engine.models) {
        if (round.storeLoads >= most)
            return;
        if (!known.contains(model) && round.pendingCopies[model] == 0)
            place(round, model, m_options.idleLoadValue, true);
    }
}

//==============================================================================
bool ModelPlacer::place(Round& round, const ModelName& model, double value, bool mayUseStore, const DataCentreName& dataCentre)
{
    auto best = bestPlace(round, model, value, mayUseStore, dataCentre);
    if (!best)
        return false;
    Intent intent { model, best->source, round.now };
    m_intents[best->server->id] = intent;
    round.assigned.insert(best->server->id);
    ++round.pendingCopies[model];
    round.storeLoads += best->source == PlacementStep::Source::Store ? 1 : 0;
    m_expected[model] = round.now + best->cost;
    addStep(round, *best->server, intent, best->victims);
    return true;
}

/** Prefers to wait for a busy server with a cached copy that can make room, over loading from the store. */
std::optional<ModelPlacer::Place> ModelPlacer::bestPlace(const Round& round, const ModelName& model, double value, bool mayUseStore, const DataCentreName& dataCentre) const
{
    bool isCached = std::any_of(round.servers.begin(), round.servers.end(), [&](const PlacedServer& server) {
        if (!dataCentre.isEmpty() && server.dataCentre != dataCentre)
            return false;
        bool hasCopy = (server.inMemory.contains(model) || server.onDisk.contains(model)) && !server.models.contains(model);
        return hasCopy && placeAt(round, server, model, value);
    });
    std::optional<Place> best;
    for (const PlacedServer& server : round.servers) {
        bool isElsewhere = !dataCentre.isEmpty() && server.dataCentre != dataCentre;
        if (isElsewhere || !server.mayTakeOrder || round.assigned.contains(server.id) || server.models.contains(model))
            continue;
        auto place = placeAt(round, server, model, value);
        if (!place)
            continue;
        bool isFromStore = place->source == PlacementStep::Source::Store;
        if (isFromStore && (isCached || !mayUseStore || round.storeLoads >= m_storeLimit))
            continue;
        auto rank = [](const Place& each) { return std::pair(each.server->rateLimit.has_value(), each.cost); };
        if (!best || rank(*place) < rank(*best))
            best = std::move(place);
    }
    return best;
}

/** A data centre where no server holds the model; empty if there is none. */
DataCentreName ModelPlacer::dataCentreWithout(const Round& round, const ModelName& model) const
{
    std::map<DataCentreName, bool> holds;
    for (const PlacedServer& server : round.servers)
        holds[server.dataCentre] = holds[server.dataCentre] || server.models.contains(model);
    auto found = std::find_if(holds.begin(), holds.end(), [](const auto& item) { return !item.second; });
    return found == holds.end() ? DataCentreName() : found->first;
}

std::optional<ModelPlacer::Place> ModelPlacer::placeAt(const Round& round, const PlacedServer& server, const ModelName& model, double value) const
{
    const EngineModel& spec = round.engine.models.at(model);
    Place place { &server, PlacementStep::Source::Store, {}, spec.loadFromStore };
    if (server.inMemory.contains(model)) {
        place.source = PlacementStep::Source::Memory;
        place.cost = spec.loadFromMemory;
    } else if (server.onDisk.contains(model)) {
        place.source = PlacementStep::Source::Disk;
        place.cost = spec.loadFromDisk;
    }
    std::vector<std::pair<double, ModelName>> others;
    for (const auto& [held, adapters] : server.models)
        others.emplace_back(retentionValue(round, server, held), held);
    std::sort(others.begin(), others.end());
    ByteCount used = usedAt(round.engine, server);
    double lost = 0;
    for (auto other = others.begin(); used + spec.weights > round.engine.weightsCapacity; ++other) {
        if (other == others.end())
            return std::nullopt;
        used -= usedBy(round.engine, server, other->second);
        lost += other->first;
        place.victims.push_back(other->second);
        place.cost += unloadTime;
    }
    if (lost >= value)
        return std::nullopt;
    if (std::isfinite(lost))
        place.cost += std::chrono::duration_cast<Duration>(m_options.evictionCost * lost);
    return place;
}

/** The cost of evicting a model from a server; infinite while it must stay. */
double ModelPlacer::retentionValue(const Round& round, const PlacedServer& server, const ModelName& model) const
{
    auto found = round.models.find(model);
    if (!round.engine.models.contains(model))
        return 0;
    bool isCached = server.inMemory.contains(model) || server.onDisk.contains(model);
    unsigned copies = round.copies.at(model);
    double reload = isCached || copies > 1 ? 0 : m_options.storeReloadWeight;
    if (copies == 1)
        reload += m_options.lastCopyValue;
    if (found == round.models.end())
        return reload;
    const CombinedDemand& demand = found->second;
    auto since = m_heldSince.find({ server.id, model });
    bool isNew = since != m_heldSince.end() && round.now - since->second < m_options.minimumResidence;
    double wanted = (demand.arrivalsPerSecond + demand.waiting) * urgency(demand.rank);
    if (isNew && wanted > 0)
        return std::numeric_limits<double>::infinity();
    double value = wanted / copies;
    if (isSurplus(round, server, model))
        value *= m_options.surplusCopyWeight;
    return value + (copies == 1 ? demand.active : 0) + reload;
}

/** True if the other copies can serve the demand, with room for a burst. */
bool ModelPlacer::isSurplus(const Round& round, const PlacedServer& server, const ModelName& model) const
{
    const CombinedDemand& demand = round.models.at(model);
    double requests = demand.active + demand.waiting;
    auto needed = 1 + static_cast<unsigned>(requests / (m_options.surplusThreshold * round.engine.slots));
    if (round.copies.at(model) <= needed)
        return false;
    bool isSpread = demand.arrivalsPerSecond > m_options.spreadRate;
    return !isSpread || std::any_of(round.servers.begin(), round.servers.end(), [&](const PlacedServer& other) { return other.id != server.id && other.dataCentre == server.dataCentre && other.models.contains(model); });
}

/** Adds the next step of an intent: unloads the first victim, or loads the model if there is none. */
void ModelPlacer::addStep(Round& round, const PlacedServer& server, const Intent& intent, const std::vector<ModelName>& victims)
{
    PlacementStep step;
    step.server = server.id;
    if (!victims.empty()) {
        step.operation = PlacementStep::Operation::Unload;
        step.model = victims.front();
        step.makesRoomFor = intent.model;
        step.waitsForWithdrawal = waitsForWithdrawal(round, step.model);
        // Other servers must not evict further copies in the same round as if this one were still there.
        if (unsigned& copies = round.copies[step.model]; copies > 1)
            --copies;
    } else {
        const EngineModel& spec = round.engine.models.at(intent.model);
        step.model = intent.model;
        step.source = intent.source;
        static constexpr Duration EngineModel::*times[] = { &EngineModel::loadFromMemory, &EngineModel::loadFromDisk, &EngineModel::loadFromStore };
        step.time = spec.*times[static_cast<std::size_t>(intent.source)];
        if (intent.source == PlacementStep::Source::Store && round.storeLoads > m_storeLimit)
            step.time = step.time * round.storeLoads / m_storeLimit;
    }
    round.steps.push_back(std::move(step));
}

/** Estimates ready times of unplaced models, in the order in which they will be placed. */
void ModelPlacer::estimateUnplaced(Round& round, const std::vector<ModelName>& unplaced)
{
    std::vector<Instant> storeFree;
    for (const PlacedServer& server : round.servers) {
        if (server.isLoadingFromStore && !server.loading.isEmpty())
            storeFree.push_back(std::max(server.loadedAt, round.now));
    }
    std::sort(storeFree.begin(), storeFree.end());
    std::size_t turn = 0;
    std::size_t storeTurn = 0;
    for (const ModelName& model : unplaced) {
        const EngineModel& spec = round.engine.models.at(model);
        bool isCached = std::any_of(round.servers.begin(), round.servers.end(), [&](const PlacedServer& server) { return server.inMemory.contains(model) || server.onDisk.contains(model); });
        if (isCached) {
            m_expected[model] = round.now + evictionRoundTime * (1 + turn++ / std::max<std::size_t>(round.servers.size(), 1)) + spec.loadFromDisk;
            continue;
        }
        std::size_t rounds = storeTurn / m_storeLimit;
        Instant free = storeFree.empty() ? round.now : storeFree[storeTurn % storeFree.size()];
        m_expected[model] = free + spec.loadFromStore * (rounds + 1) + unloadTime;
        ++storeTurn;
    }
}

//==============================================================================
bool ModelPlacer::waitsForWithdrawal(const Round& round, const ModelName& model) const
{
    auto found = round.models.find(model);
    return found != round.models.end() && (found->second.waiting > 0 || found->second.arrivalsPerSecond > m_options.withdrawalWaitRate);
}

void ModelPlacer::rememberSizes(const EngineSpec& engine, const Servers& servers)
{
    std::erase_if(m_sizes, [&](const auto& item) {
        return std::none_of(servers.begin(), servers.end(), [&](const PlacedServer& server) { return server.models.contains(item.first) || server.loading == item.first; });
    });
    for (const auto& [model, spec] : engine.models)
        m_sizes.insert_or_assign(model, spec);
}

ByteCount ModelPlacer::usedAt(const EngineSpec& engine, const PlacedServer& server) const
{
    ByteCount used;
    for (const auto& [model, adapters] : server.models)
        used += usedBy(engine, server, model);
    if (!server.loading.isEmpty() && !server.models.contains(server.loading))
        used += usedBy(engine, server, server.loading);
    return used;
}

/** The memory that the unload of a model frees once it is complete. */
ByteCount ModelPlacer::usedBy(const EngineSpec& engine, const PlacedServer& server, const ModelName& model) const
{
    auto size = m_sizes.find(model);
    // A configuration that this host has not seen named it: it may take any room.
    if (size == m_sizes.end())
        return engine.weightsCapacity;
    std::size_t adapters = 0;
    for (const HeldModels* held : { &server.models, &server.pendingAdapters, &server.leavingAdapters }) {
        if (auto found = held->find(model); found != held->end())
            adapters += found->second.size();
    }
    return size->second.weights + ByteCount(size->second.adapterWeights.value() * adapters);
}

} // namespace hemlockchute
