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

/** Where the planner may load from; the quickest first. */
enum class PlanSource {
    Memory,
    Disk,
    Store
};

/** A model on an engine, as the planner sees it; what may be true counts as true. */
struct PlannedModel {
    ModelName model;
    ByteCount memory;
    bool isLoaded = false;
    bool isLoading = false;
    bool isUnloading = false;
    std::vector<AdapterName> adapters;
    /** Requests running on it now. */
    unsigned running = 0;
};

/** An engine, as the planner sees it. */
struct PlannedEngine {
    BackendServerName name;
    ByteCount memory;
    /** Memory that may be in use: loaded, loading, unloading and ordered. */
    ByteCount memoryReserved;
    bool takesNewWork = true;
    /** False once its state has not been read for a while: what may load there counts against permits and memory, but no other load waits for it. */
    bool isAnswering = true;
    std::vector<PlannedModel> models;
    std::vector<ModelName> cachedInMemory;
    std::vector<ModelName> cachedOnDisk;
};

/** What is wanted of one model. */
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

/** What the planner decides on. */
struct PlannerInput {
    Instant now;
    DocumentPointer document;
    std::vector<PlannedEngine> engines;
    std::vector<PlannedDemand> demand;
    /** Replicas of each model that this data centre may have, permits included. */
    std::map<ModelName, unsigned> permits;
    /** Loads from the weight store that may begin now. */
    unsigned storeLoadsAllowed = 0;
    /** Adapter loads that may begin now. */
    unsigned adapterLoadsAllowed = 0;
};

/** One step the planner wants taken. */
struct PlanStep {
    enum class Kind {
        LoadModel,
        UnloadModel,
        LoadAdapter,
        /** Ask the keepers for a permit for one more replica. */
        RequestPermit,
        /** Give one permit back. */
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
    Decides what to load and unload.

    "worth-per-load-time" is the project's own, "lru" a baseline. Its cost follows the models in
    use, not all that are declared. Thread safety: one thread at a time.
*/
class PlacementPlanner {
public:
    virtual ~PlacementPlanner() = default;

    /** The steps to take now, most pressing first. */
    virtual std::vector<PlanStep> plan(const PlannerInput&) const = 0;
};

/** A planner by the name of its strategy, or null when there is none of that name. Thread safety: any thread. */
std::unique_ptr<PlacementPlanner> makePlacementPlanner(std::string_view strategy);

} // namespace hemlockchute
