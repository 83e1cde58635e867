#pragma once

#include "hemlockchute/fleet/ModelPlacer.h"

namespace hemlockchute {

/** Inputs and intermediate results of one decide() call. */
struct ModelPlacer::Round {
    const EngineSpec& engine;
    const Servers& servers;
    const Demands& demands;
    Instant now;
    /** The demand for each model, including its adapters. */
    std::map<ModelName, CombinedDemand> models {};
    std::map<ModelName, unsigned> copies {};
    std::map<ModelName, unsigned> pendingCopies {};
    unsigned storeLoads = 0;
    std::vector<PlacementStep> steps {};
    std::set<BackendServerName> assigned {};
};

} // namespace hemlockchute
