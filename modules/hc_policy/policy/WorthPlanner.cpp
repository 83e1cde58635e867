#include "policy/WorthPlanner.h"

#include "policy/PlanBuilder.h"

#include <algorithm>
#include <optional>

namespace hemlockchute {
namespace {

using LoadTarget = PlanBuilder::LoadTarget;
using Victim = PlanBuilder::Victim;
using Seconds = std::chrono::duration<double>;

/** An idle model is kept for this multiple of its load time from disk, and for as many more for each unit of worth. */
constexpr unsigned idleRetentionLoadTimes = 10;
constexpr Duration minimumIdleRetention = 10s;
/** An unused permit is returned after this time. */
constexpr Duration unusedPermitRetention = 10min;
/** Another replica pays when more than this many requests wait for each one that serves. */
constexpr unsigned waitingPerReplica = 4;
/** Every unload costs at least this, so that of two equal targets the one with fewer unloads is chosen. */
constexpr double minimumUnloadCost = 0.01;

/** The expected wait in seconds, weighted by worth, that unloading a model causes. The model stays cached in the host's memory. */
double unloadCost(const PlanBuilder& builder, const Victim& victim)
{
    const ModelSpec* spec = builder.spec(victim.model);
    if (!spec || !victim.demand)
        return minimumUnloadCost;
    double loadTime = Seconds(spec->loadTimeFromMemory).count();
    double reloadProbability = std::min(1.0, victim.demand->arrivalRate * Seconds(spec->loadTimeFromStore).count());
    return minimumUnloadCost + reloadProbability * loadTime * victim.demand->worth;
}

/** A load target and the models that have to be unloaded there. */
struct Option {
    LoadTarget target;
    std::vector<ModelName> unloads;
    double cost = 0;
};

std::optional<Option> optionAt(const PlanBuilder& builder, const ModelSpec& spec, const LoadTarget& target, unsigned worth)
{
    Option option { target, {}, Seconds(target.loadTime).count() * worth };
    if (target.freeSoon >= spec.memory)
        return option;
    std::vector<std::pair<double, Victim>> victims;
    for (Victim& victim : builder.victims(target.engine)) {
        double cost = unloadCost(builder, victim);
        victims.emplace_back(cost, std::move(victim));
    }
    std::sort(victims.begin(), victims.end(),
        [](const auto& a, const auto& b) { return std::tie(a.first, a.second.model) < std::tie(b.first, b.second.model); });
    ByteCount room = target.freeSoon;
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
    for (const LoadTarget& target : builder.loadTargets(spec)) {
        std::optional<Option> option = optionAt(builder, spec, target, std::max(1U, demand.worth));
        if (!option || (!mayUnload && !option->unloads.empty()))
            continue;
        bool isBetter = !best || option->cost < best->cost
            || (option->cost == best->cost && option->target.freeSoon > best->target.freeSoon);
        if (isBetter)
            best = std::move(option);
    }
    if (!best)
        return;
    for (const ModelName& model : best->unloads)
        builder.unload(model, best->target.engine);
    if (!builder.load(spec, best->target))
        builder.reserveMemory(best->target, spec.memory);
}

/** True when the wait for the existing replicas justifies another one. */
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

Duration idleRetention(const ModelSpec& spec, unsigned worth)
{
    return std::max(minimumIdleRetention, spec.loadTimeFromDisk * idleRetentionLoadTimes * (1 + worth));
}

void unloadIdle(PlanBuilder& builder, const PlannerInput& input)
{
    for (std::size_t engine = 0; engine < input.engines.size(); ++engine) {
        for (const Victim& victim : builder.victims(engine)) {
            const ModelSpec* spec = builder.spec(victim.model);
            bool isLeaving = !input.engines[engine].takesNewWork;
            if (isLeaving || !spec || !victim.demand || victim.demand->sinceLastUse > idleRetention(*spec, victim.demand->worth))
                builder.unload(victim.model, engine);
        }
    }
}

std::vector<const PlannedDemand*> sortedByUrgency(const PlanBuilder& builder, const PlannerInput& input)
{
    std::vector<std::pair<double, const PlannedDemand*>> waiting;
    for (const PlannedDemand& demand : input.demand) {
        const ModelSpec* spec = builder.spec(demand.model);
        if (demand.waiting == 0 || !spec)
            continue;
        std::vector<LoadTarget> loadTargets = builder.loadTargets(*spec);
        Duration loadTime = spec->loadTimeFromStore;
        for (const LoadTarget& target : loadTargets)
            loadTime = std::min(loadTime, target.loadTime);
        waiting.emplace_back(Seconds(demand.oldestWait).count() / std::max(1e-6, Seconds(loadTime).count()), &demand);
    }
    std::stable_sort(waiting.begin(), waiting.end(), [](const auto& a, const auto& b) {
        return a.second->bestRankOrder != b.second->bestRankOrder ? a.second->bestRankOrder < b.second->bestRankOrder
                                                                  : a.first > b.first;
    });
    std::vector<const PlannedDemand*> demands;
    demands.reserve(waiting.size());
    for (const auto& [urgency, demand] : waiting)
        demands.push_back(demand);
    return demands;
}

} // namespace

std::vector<PlanStep> WorthPlanner::plan(const PlannerInput& input) const
{
    PlanBuilder builder(input);
    builder.shrinkToPermits();
    for (const PlannedDemand* demand : sortedByUrgency(builder, input))
        serveDemand(builder, *demand);
    unloadIdle(builder, input);
    for (const PlannedDemand& demand : input.demand) {
        if (demand.waiting == 0 && demand.sinceLastUse > unusedPermitRetention)
            builder.returnPermit(demand.model);
    }
    return builder.takeSteps();
}

} // namespace hemlockchute
