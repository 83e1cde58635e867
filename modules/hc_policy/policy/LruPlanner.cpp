#include "policy/LruPlanner.h"

#include "policy/PlanBuilder.h"

#include <algorithm>

namespace hemlockchute {
namespace {

using LoadTarget = PlanBuilder::LoadTarget;
using Victim = PlanBuilder::Victim;

Duration sinceLastUse(const Victim& victim)
{
    return victim.demand ? victim.demand->sinceLastUse : Duration::max();
}

/** Unloads the least recently used models until the model fits; false when it cannot fit. */
bool makeRoom(PlanBuilder& builder, const ModelSpec& spec, const LoadTarget& target)
{
    std::vector<Victim> victims = builder.victims(target.engine);
    std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) { return sinceLastUse(a) > sinceLastUse(b); });
    ByteCount room = target.freeSoon;
    std::size_t count = 0;
    while (room < spec.memory && count < victims.size())
        room += victims[count++].memory;
    if (room < spec.memory)
        return false;
    for (std::size_t index = 0; index < count; ++index)
        builder.unload(victims[index].model, target.engine);
    return true;
}

void loadOnEmptiestEngine(PlanBuilder& builder, const ModelSpec& spec)
{
    std::vector<LoadTarget> loadTargets = builder.loadTargets(spec);
    std::sort(loadTargets.begin(), loadTargets.end(), [](const LoadTarget& a, const LoadTarget& b) { return a.freeSoon > b.freeSoon; });
    for (const LoadTarget& target : loadTargets) {
        if (builder.load(spec, target))
            return;
        if (makeRoom(builder, spec, target)) {
            builder.reserveMemory(target, spec.memory);
            return;
        }
    }
}

} // namespace

std::vector<PlanStep> LruPlanner::plan(const PlannerInput& input) const
{
    PlanBuilder builder(input);
    builder.shrinkToPermits();
    std::vector<const PlannedDemand*> waiting;
    for (const PlannedDemand& demand : input.demand) {
        if (demand.waiting > 0)
            waiting.push_back(&demand);
    }
    std::stable_sort(waiting.begin(), waiting.end(),
        [](const PlannedDemand* a, const PlannedDemand* b) { return a->oldestWait > b->oldestWait; });
    for (const PlannedDemand* demand : waiting) {
        builder.loadAdapters(*demand);
        const ModelSpec* spec = builder.spec(demand->model);
        if (!spec || builder.serving(spec->name) > 0 || builder.isLoading(spec->name))
            continue;
        if (builder.replicas(spec->name) >= builder.permits(spec->name))
            builder.requestPermit(*spec);
        else
            loadOnEmptiestEngine(builder, *spec);
    }
    return builder.takeSteps();
}

} // namespace hemlockchute
