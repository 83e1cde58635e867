#pragma once

#include "hemlockchute/policy/PlacementPlanner.h"

namespace hemlockchute {

//==============================================================================
/**
    Loads what is most urgent and quickest first, and keeps what would cost most to load again.

    Loads go by rank, then by the age of the oldest waiting request over the expected load time,
    and to where the load and the unloads that it forces cost least. What has not been used for a
    multiple of its load time, the longer the more its requests are worth, is unloaded, so that
    accelerators don't hold idle models; a model
    whose requests wait long for its replicas gets another one.

    @see LruPlanner
*/
class WorthPlanner : public PlacementPlanner {
public:
    std::vector<PlanStep> plan(const PlannerInput&) const override;
};

} // namespace hemlockchute
