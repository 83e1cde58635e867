#pragma once

#include "hemlockchute/policy/PlacementPlanner.h"

namespace hemlockchute {

//==============================================================================
/**
    Loads the most urgent and fastest-loading models first, and keeps those that are most expensive
    to reload.

    Loads are ordered by rank, then by the wait of the oldest request divided by the expected load
    time. A load goes to the engine where it and the unloads that it requires cost least. A model
    that has been idle for a multiple of its load time is unloaded, so that accelerators do not hold
    idle models; the multiple grows with the worth of its requests. A model whose requests wait too
    long for its replicas gets another one.

    @see LruPlanner
*/
class WorthPlanner : public PlacementPlanner {
public:
    std::vector<PlanStep> plan(const PlannerInput&) const override;
};

} // namespace hemlockchute
