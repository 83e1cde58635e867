#include "policy/WorthPlanner.h"

#include "policy/PlanBuilder.h"

#include <algorithm>
#include <optional>

namespace hemlockchute {
namespace {

using LoadTarget = PlanBuilder::LoadTarget;
using Victim = PlanBuilder::Victim;
using Seconds = std::chrono::duration<double>;

/** A model is kept for so many times the time it takes to load it again, and for as many more for each unit of worth. */
constexpr unsigned keptLoadTimes = 10;
constexpr Duration leastKept = 10s;
/** A permit that is not used goes back after this time. */
constexpr Duration permitKept = 10min;
/** Another replica is worth while when so many requests wait for each one that serves. */
constexpr unsigned waitingPerReplica = 4;
/** A victim weighs at least this, so that of two places the one with fewer unloads is taken. */
constexpr double leastVictimCost = 0.01;

/** Expected seconds of waiting, weighed by worth, that unloading a model brings; it stays cached in the host's memory. */
double unloadCost(const PlanBuilder& builder, const Victim& victim)
{
    const ModelSpec* spec = builder.spec(victim.model);
    if (!spec || !victim.demand)
        return leastVictimCost;
    double loadTime = Seconds(spec->loadTimeFromMemory).count();
    double returnsWhileLoading = std::min(1.0, victim.demand->arrivalRate * Seconds(spec->loadTimeFromStore).count());
    return leastVictimCost + returnsWhileLoading * loadTime * victim.demand->worth;
}

/** A place and what has to be unloaded there. */
struct Option {
    LoadTarget place;
    std::vector<ModelName> unloads;
    double cost = 0;
};

std::optional<Option> optionAt(const PlanBuilder& builder, const ModelSpec& spec, const LoadTarget& place, unsigned worth)
{
    Option option { place, {}, Seconds(place.loadTime).count() * worth };
    if (place.freeSoon >= spec.memory)
        return option;
    std::vector<std::pair<double, Victim>> victims;
    for (Victim& victim : builder.victims(place.engine)) {
        double cost = unloadCost(builder, victim);
        victims.emplace_back(cost, std::move(victim));
    }
    std::sort(victims.begin(), victims.end(),
        [](const auto& a, const auto& b) { return std::tie(a.first, a.second.model) < std::tie(b.first, b.second.model); });
    ByteCount room = place.freeSoon;
    for (const auto& [cost, victim] : victims) {
        if (room >= spec.memory)
            break;
        room += victim.memory;
        option.cost += cost;
        option.unloads.push_back(victim.model);
    }
    if (room < spec.memory)
        return std::nullopt;
    return option;
}

void loadWhereCheapest(PlanBuilder& builder, const ModelSpec& spec, const PlannedDemand& demand, bool mayUnload)
{
    std::optional<Option> best;
    for (const LoadTarget& place : builder.loadTargets(spec)) {
        std::optional<Option> option = optionAt(builder, spec, place, std::max(1U, demand.worth));
        if (!option || (!mayUnload && !option->unloads.empty()))
            continue;
        bool isBetter = !best || option->cost < best->cost
            || (option->cost == best->cost && option->place.freeSoon > best->place.freeSoon);
        if (isBetter)
            best = std::move(option);
    }
    if (!best)
        return;
    for (const ModelName& model : best->unloads)
        builder.unload(model, best->place.engine);
    if (!builder.load(spec, best->place))
        builder.reserveMemory(best->place, spec.memory);
}

/** Whether requests wait so long for the replicas that there are that another one pays. */
bool needsAnotherReplica(const PlanBuilder& builder, const ModelSpec& spec, const PlannedDemand& demand)
{
    unsigned serving = builder.serving(spec.name);
    return demand.waiting > serving * waitingPerReplica && demand.oldestWait > spec.loadTimeFromMemory;
}

void serveDemand(PlanBuilder& builder, const PlannedDemand& demand)
{
    builder.loadAdapters(demand);
    const ModelSpec* spec = builder.spec(demand.model);
    if (!spec || builder.isLoading(spec->name))
        return;
    bool isCold = builder.serving(spec->name) == 0;
    if (!isCold && !needsAnotherReplica(builder, *spec, demand))
        return;
    if (builder.replicas(spec->name) >= builder.permits(spec->name))
        builder.requestPermit(*spec);
    else
        loadWhereCheapest(builder, *spec, demand, isCold);
}

Duration keepTime(const ModelSpec& spec, unsigned worth)
{
    return std::max(leastKept, spec.loadTimeFromDisk * keptLoadTimes * (1 + worth));
}

void unloadIdle(PlanBuilder& builder, const PlannerInput& input)
{
    for (std::size_t engine = 0; engine < input.engines.size(); ++engine) {
        for (const Victim& victim : builder.victims(engine)) {
            const ModelSpec* spec = builder.spec(victim.model);
            bool isLeaving = !input.engines[engine].takesNewWork;
            if (isLeaving || !spec || !victim.demand || victim.demand->sinceLastUse > keepTime(*spec, victim.demand->worth))
                builder.unload(victim.model, engine);
        }
    }
}

std::vector<const PlannedDemand*> byPressure(const PlanBuilder& builder, const PlannerInput& input)
{
    std::vector<std::pair<double, const PlannedDemand*>> waiting;
    for (const PlannedDemand& demand : input.demand) {
        const ModelSpec* spec = builder.spec(demand.model);
        if (demand.waiting == 0 || !spec)
            continue;
        std::vector<LoadTarget> loadTargets = builder.loadTargets(*spec);
        Duration loadTime = spec->loadTimeFromStore;
        for (const LoadTarget& place : loadTargets)
            loadTime = std::min(loadTime, place.loadTime);
        waiting.emplace_back(Seconds(demand.oldestWait).count() / std::max(1e-6, Seconds(loadTime).count()), &demand);
    }
    std::stable_sort(waiting.begin(), waiting.end(), [](const auto& a, const auto& b) {
        return a.second->bestRankOrder != b.second->bestRankOrder ? a.second->bestRankOrder < b.second->bestRankOrder
                                                                  : a.first > b.first;
    });
    std::vector<const PlannedDemand*> demands;
    demands.reserve(waiting.size());
    for (const auto& [pressure, demand] : waiting)
        demands.push_back(demand);
    return demands;
}

} // namespace

std::vector<PlanStep> WorthPlanner::plan(const PlannerInput& input) const
{
    PlanBuilder builder(input);
    builder.shrinkToPermits();
    for (const PlannedDemand* demand : byPressure(builder, input))
        serveDemand(builder, *demand);
    unloadIdle(builder, input);
    for (const PlannedDemand& demand : input.demand) {
        if (demand.waiting == 0 && demand.sinceLastUse > permitKept)
            builder.returnPermit(demand.model);
    }
    return builder.takeSteps();
}

} // namespace hemlockchute
