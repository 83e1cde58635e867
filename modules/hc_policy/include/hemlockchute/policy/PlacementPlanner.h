#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/core/Units.h"
#include "hemlockchute/document/Document.h"

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace hemlockchute {

/** Where a model's weights are loaded from, fastest first. */
enum class PlanSource {
    Memory,
    Disk,
    Store
};

/** A model on an engine, as the planner sees it. A state that is uncertain counts as true. */
struct PlannedModel {
    ModelName model;
    ByteCount memory;
    bool isLoaded = false;
    bool isLoading = false;
    bool isUnloading = false;
    std::vector<AdapterName> adapters;
    /** Requests that run on it now. */
    unsigned running = 0;
};

/** An engine, as the planner sees it. */
struct PlannedEngine {
    BackendServerName name;
    ByteCount memory;
    /** Memory that may be in use by models that are loaded, loading, unloading or ordered. */
    ByteCount memoryReserved;
    bool takesNewWork = true;
    /** False when its state is stale: loads that may run there count against permits and memory, but do not hold back a load of the same model elsewhere. */
    bool isAnswering = true;
    std::vector<PlannedModel> models;
    std::vector<ModelName> cachedInMemory;
    std::vector<ModelName> cachedOnDisk;
};

/** The demand for one model. */
struct PlannedDemand {
    ModelName model;
    unsigned waiting = 0;
    unsigned bestRankOrder = 0;
    unsigned worth = 1;
    Duration oldestWait {};
    /** Requests a second, averaged over the recent past. */
    double arrivalRate = 0;
    Duration sinceLastUse {};
    std::map<AdapterName, unsigned> adapters;
};

/** The state from which a planner computes a plan. */
struct PlannerInput {
    Instant now;
    DocumentPointer document;
    std::vector<PlannedEngine> engines;
    std::vector<PlannedDemand> demand;
    /** The number of replicas of each model that this data centre holds permits for. */
    std::map<ModelName, unsigned> permits;
    /** Loads from the weight store that may start now. */
    unsigned storeLoadsAllowed = 0;
    /** Adapter loads that may start now. */
    unsigned adapterLoadsAllowed = 0;
};

/** One step of a plan. */
struct PlanStep {
    enum class Kind {
        LoadModel,
        UnloadModel,
        LoadAdapter,
        /** Requests a permit for one more replica from the keepers. */
        RequestPermit,
        /** Returns one permit to the keepers. */
        ReturnPermit
    };

    Kind kind = Kind::LoadModel;
    ModelName model;
    AdapterName adapter;
    BackendServerName engine;
    PlanSource source = PlanSource::Store;
};

//==============================================================================
/**
    Decides which models and adapters to load and unload.

    Strategies are "worth-per-load-time" and, as a baseline for comparison, "lru". The run time
    depends on the models in use, not on all that are declared. Thread safety: one thread at a time.
*/
class PlacementPlanner {
public:
    virtual ~PlacementPlanner() = default;

    /** The steps to take now, most urgent first. */
    virtual std::vector<PlanStep> plan(const PlannerInput&) const = 0;
};

/** Creates the planner for a strategy; null for an unknown name. Thread safety: any thread. */
std::unique_ptr<PlacementPlanner> makePlacementPlanner(std::string_view strategy);

} // namespace hemlockchute
