#pragma once

#include "hemlockchute/policy/PlacementPlanner.h"

namespace hemlockchute {

//==============================================================================
/**
    Loads on demand, the longest waiting first, and unloads what was used least lately.

    It unloads only to make room, and puts a model on the engine with the most free memory.

    @see WorthPlanner
*/
class LruPlanner : public PlacementPlanner {
public:
    std::vector<PlanStep> plan(const PlannerInput&) const override;
};

} // namespace hemlockchute
