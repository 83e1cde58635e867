#pragma once

#include "hemlockchute/policy/PlacementPlanner.h"

namespace hemlockchute {

//==============================================================================
/**
    Loads on demand, the longest wait first, and unloads the least recently used models.

    It unloads only to make room, and places a model on the engine with the most free memory.

    @see WorthPlanner
*/
class LruPlanner : public PlacementPlanner {
public:
    std::vector<PlanStep> plan(const PlannerInput&) const override;
};

} // namespace hemlockchute
