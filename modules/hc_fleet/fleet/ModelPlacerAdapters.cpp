#include "fleet/ModelPlacerRound.h"
#include "hemlockchute/fleet/EngineHoldings.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace hemlockchute {

/** A candidate server for an adapter, and what has to happen there first. */
struct ModelPlacer::AdapterPlace {
    const PlacedServer* server = nullptr;
    /** Nothing if the place of an adapter that is being loaded or unloaded is awaited. */
    std::optional<PlacementStep::Operation> operation;
    /** What is unloaded; the adapter is empty if it is a model. */
    ModelName victim;
    AdapterName victimAdapter;
    /** The requests that use or want the victim, a second. */
    double lost = 0;
    /** True if requests use the victim, which then keeps its place until they have ended. */
    bool isVictimUsed = false;

    /** Places that are free at once come first. */
    unsigned delay() const
    {
        if (!operation)
            return 1;
        return isVictimUsed ? 2 : 0;
    }

    auto rank() const { return std::tuple(server->rateLimit.has_value(), delay(), server->outstanding); }
};

//==============================================================================
void ModelPlacer::placeAdapters(Round& round)
{
    trackWaitingForAdapters(round);
    // By server, how many adapters wait for places that are about to become free.
    std::map<BackendServerName, std::size_t> awaited;
    for (const auto& [key, demand] : round.demands) {
        bool isWanted = !key.second.isEmpty() && demand.waiting > 0 && round.engine.models.contains(key.first);
        if (isWanted)
            placeAdapter(round, key.first, key.second, awaited);
    }
}

/** Notes since when requests have been waiting for adapters that a server holds: they have just been loaded, unless the server cannot be reached. */
void ModelPlacer::trackWaitingForAdapters(const Round& round)
{
    std::map<std::pair<ModelName, AdapterName>, Instant> since;
    for (const auto& [key, demand] : round.demands) {
        if (key.second.isEmpty() || demand.waiting == 0)
            continue;
        bool isHeld = std::any_of(round.servers.begin(), round.servers.end(), [&key = key](const PlacedServer& server) { return containsAdapter(server.models, key.first, key.second); });
        if (!isHeld)
            continue;
        auto known = m_adapterWaitingSince.find(key);
        since[key] = known == m_adapterWaitingSince.end() ? round.now : known->second;
    }
    m_adapterWaitingSince = std::move(since);
}

/** True if requests that waited for the adapter are about to use it. */
bool ModelPlacer::isAwaited(const Round& round, const ModelName& model, const AdapterName& adapter) const
{
    auto waiting = m_adapterWaitingSince.find({ model, adapter });
    return waiting != m_adapterWaitingSince.end() && round.now - waiting->second < m_options.unreachableAfter;
}

/** Places an adapter on the least loaded server that holds its model, preferably where a place is free or can be made at once. */
void ModelPlacer::placeAdapter(Round& round, const ModelName& model, const AdapterName& adapter, std::map<BackendServerName, std::size_t>& awaited)
{
    std::optional<AdapterPlace> best;
    for (const PlacedServer& server : round.servers) {
        if (containsAdapter(server.models, model, adapter))
            return;
        if (containsAdapter(server.pendingAdapters, model, adapter)) {
            addReport(round, server);
            return;
        }
    }
    for (const PlacedServer& server : round.servers) {
        if (!server.models.contains(model))
            continue;
        // The server would drop it together with the one that is leaving.
        if (containsAdapter(server.leavingAdapters, model, adapter)) {
            addReport(round, server);
            continue;
        }
        auto place = adapterPlaceAt(round, server, model, awaited[server.id]);
        if (place && (!best || place->rank() < best->rank()))
            best = std::move(place);
    }
    if (!best)
        return;
    bool isWaiting = best->operation != PlacementStep::Operation::Load;
    awaited[best->server->id] += isWaiting ? 1 : 0;
    if (!best->operation) {
        addReport(round, *best->server);
        return;
    }
    PlacementStep step;
    step.operation = *best->operation;
    step.server = best->server->id;
    step.model = isWaiting ? best->victim : model;
    step.adapter = isWaiting ? best->victimAdapter : adapter;
    step.waitsForWithdrawal = best->lost > m_options.withdrawalWaitRate;
    round.assigned.insert(best->server->id);
    round.steps.push_back(std::move(step));
}

std::optional<ModelPlacer::AdapterPlace> ModelPlacer::adapterPlaceAt(const Round& round, const PlacedServer& server, const ModelName& model, std::size_t awaited) const
{
    AdapterPlace place { &server, PlacementStep::Operation::Load, {}, {} };
    bool mayTake = server.mayTakeOrder && !round.assigned.contains(server.id);
    std::size_t leaving = countAdapters(server.leavingAdapters);
    std::size_t taken = countAdapters(server.models) + countAdapters(server.pendingAdapters) + leaving;
    ByteCount room = round.engine.weightsCapacity - usedAt(round.engine, server);
    if (taken < round.engine.adapterSlots && room >= round.engine.models.at(model).adapterWeights)
        return mayTake ? std::optional(place) : std::nullopt;
    place.operation = PlacementStep::Operation::Unload;
    findAdapterVictim(round, place);
    bool hasVictim = !place.victim.isEmpty();
    if (mayTake && hasVictim && !place.isVictimUsed)
        return place;
    // A report may show that a place has become free, or that an adapter can be unloaded at once.
    if (leaving + countAdapters(server.unconfirmedAdapters) > awaited) {
        place.operation.reset();
        return place;
    }
    return mayTake && hasVictim ? std::optional(place) : std::nullopt;
}

/** Selects what to unload: a model that the configuration no longer names, or the least requested adapter that is certainly there. */
void ModelPlacer::findAdapterVictim(const Round& round, AdapterPlace& place) const
{
    double least = std::numeric_limits<double>::infinity();
    for (const auto& [held, adapters] : place.server->models) {
        if (!round.engine.models.contains(held)) {
            place.victim = held;
            place.victimAdapter = AdapterName();
            place.lost = 0;
            place.isVictimUsed = false;
            return;
        }
        for (const AdapterName& other : adapters) {
            if (containsAdapter(place.server->unconfirmedAdapters, held, other) || isAwaited(round, held, other))
                continue;
            auto wanted = round.demands.find({ held, other });
            CombinedDemand demand = wanted == round.demands.end() ? CombinedDemand() : wanted->second;
            double value = demand.arrivalsPerSecond + demand.active + demand.waiting;
            if (value >= least)
                continue;
            least = value;
            place.victim = held;
            place.victimAdapter = other;
            place.lost = value;
            place.isVictimUsed = demand.active + demand.waiting > 0;
        }
    }
}

void ModelPlacer::addReport(Round& round, const PlacedServer& server)
{
    bool mayRead = server.mayTakeOrder && server.mayReport && round.assigned.insert(server.id).second;
    if (!mayRead)
        return;
    PlacementStep step;
    step.operation = PlacementStep::Operation::Report;
    step.server = server.id;
    round.steps.push_back(std::move(step));
}

} // namespace hemlockchute
