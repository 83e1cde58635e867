#include "hemlockchute/policy/PlacementPlanner.h"

#include "policy/LruPlanner.h"
#include "policy/StrategyTable.h"
#include "policy/WorthPlanner.h"

namespace hemlockchute {

std::unique_ptr<PlacementPlanner> makePlacementPlanner(std::string_view strategy)
{
    static constexpr Strategy<PlacementPlanner> strategies[] = {
        { "worth-per-load-time", makeStrategy<PlacementPlanner, WorthPlanner> },
        { "lru", makeStrategy<PlacementPlanner, LruPlanner> },
    };
    return findStrategy<PlacementPlanner>(strategies, strategy);
}

} // namespace hemlockchute
