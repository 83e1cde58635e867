#pragma once

#include "hemlockchute/fleet/FleetMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace hemlockchute {

/** The demand of all gateways for a model or adapter. */
struct CombinedDemand {
    /** Waiting requests. */
    unsigned waiting = 0;
    /** Running requests. */
    unsigned active = 0;
    /** The most urgent rank among the requests. */
    unsigned rank = 0;
    /** Arrival rate, averaged over some seconds. */
    double arrivalsPerSecond = 0;
    /** Requests refused because it was not loaded, decaying over some seconds. */
    double refused = 0;
};

/** A server that runs models, as the placer sees it. */
struct PlacedServer {
    BackendServerName id;
    DataCentreName dataCentre;
    HeldModels models;
    std::set<ModelName> inMemory;
    std::set<ModelName> onDisk;
    /** Adapters that are being loaded; they already occupy adapter slots. */
    HeldModels pendingAdapters;
    /** Adapters that are being unloaded; they still occupy adapter slots. */
    HeldModels leavingAdapters;
    /** Adapters of `models` that may still be on their way to the server; unloading them may free nothing. */
    HeldModels unconfirmedAdapters;
    /** True if it can take an order: its state is known and no order is in progress. */
    bool mayTakeOrder = false;
    /** True if its report may be read now, to learn of a place that has become free. */
    bool mayReport = false;
    /** The model that is being loaded, which already occupies memory; empty if none is known. */
    ModelName loading;
    /** True if the server loads from the weight store, or may be doing so. */
    bool isLoadingFromStore = false;
    /** When the load is expected to complete. */
    Instant loadedAt {};
    /** Requests at the server from all gateways. */
    unsigned outstanding = 0;
    /** The rate to which the server limits the requests of all hosts, if it does. */
    std::optional<RequestRate> rateLimit;
};

/** One order that the placer decided on. */
struct PlacementStep {
    enum class Operation {
        Load,
        Unload,
        /** Read what the server holds; nothing is ordered. */
        Report
    };

    Operation operation = Operation::Load;
    BackendServerName server;
    /** Empty for a report. */
    ModelName model;
    /** Empty if the step is about the model itself. */
    AdapterName adapter;
    /** Where a model's weights come from. */
    enum class Source {
        Memory,
        Disk,
        Store
    } source
        = Source::Store;
    /** Expected load time if nothing delays it. */
    Duration time {};
    /** The model that an unload makes room for. */
    ModelName makesRoomFor;
    /** True if the unloaded model or adapter is in demand, so the unload must wait until every gateway has learned of the withdrawal. */
    bool waitsForWithdrawal = false;
};

//==============================================================================
/**
    Decides which models the servers of one service hold.

    Built for far more requested models than fit into memory: frequently requested models stay
    loaded, the others share the remaining capacity in turns.

    - A model that is requested but not loaded is placed where its weights are cached and where
      evicting costs least.
    - Loads from the weight store are slow and few can run at once; they are given to the models with
      the most, and most urgent, requests.
    - Evicting a rarely requested model does not wait until every gateway knows, so that requests for
      another rare model start sooner.
    - An adapter that requests use keeps its place until they have ended. A requested adapter waits for such
      a place if no other is free, and no more adapters are unloaded than wait.
    - A model that the configuration no longer names keeps its room until it is unloaded, and is unloaded
      first.
    - Copies that the demand does not need are evicted before the only copy of a rarely requested model.
    - A model whose servers are full, limit their rate below its demand, or are unreachable for the gateways
      with requests, gets another copy, where possible at a server without a rate limit.
    - While no request waits for a loaded model, models that no server has a copy of are loaded from
      the store, since later loads at that server are then fast.

    Thread safety: one thread at a time.
*/
class ModelPlacer {
public:
    /** Limits and cost weights. */
    struct Options {
        /** Initial limit of concurrent loads from the weight store; adapts to the measured load times. */
        unsigned storeLoadsAtOnce = 4;
        /** A loaded model in demand is not evicted before this time. */
        Duration minimumResidence = 800ms;
        /** Another copy is loaded once the least loaded server holding the model uses this fraction of its slots. */
        double fullThreshold = 0.75;
        /** A model with more requests per second than this gets a copy in each data centre, so that a partitioned data centre can still serve it. */
        double spreadRate = 3;
        /** A copy is surplus if the others are used to less than this fraction of their slots without it; below fullThreshold, so that it is not loaded again soon. */
        double surplusThreshold = 0.5;
        /** The part of its share of the demand that evicting a surplus copy costs: its requests go to other copies, while those for a model without a copy wait for a load. */
        double surplusCopyWeight = 0.02;
        /** Added for the only copy of a model, in requests per second: the averaged demand of a rare model is 0 most of the time. */
        double lastCopyValue = 0.1;
        /** Cost of evicting a model that could only be reloaded from the store, in requests per second. */
        double storeReloadWeight = 0.4;
        /** Upper bound of the eviction cost of a load without demand, in requests per second. */
        double idleLoadValue = 0.5;
        /** If requests wait this long for a model that is loaded, its servers count as unreachable for them. */
        Duration unreachableAfter = 500ms;
        /** Above this rate, in requests per second, an unload waits for the withdrawal to reach all gateways. Below it, fewer than one unload in eight meets a request, which is then answered as not run. */
        double withdrawalWaitRate = 0.3;
        /** Load delay equivalent to evicting a model that gets one request per second. */
        Duration evictionCost = 400ms;

        Options withStoreLoadsAtOnce(unsigned) const;
    };

    explicit ModelPlacer(Options options)
        : m_options(options)
        , m_storeLimit(options.storeLoadsAtOnce)
    {
    }

    using Servers = std::vector<PlacedServer>;
    /** By model and adapter; the adapter is empty for requests without one. */
    using Demands = std::map<std::pair<ModelName, AdapterName>, CombinedDemand>;

    /** The orders to send now, at most one per server. */
    std::vector<PlacementStep> decide(const EngineSpec&, const Servers&, const Demands&, Instant now);
    /** Adapts the limit of store loads to how long a load took, or has taken so far. `position` is the number of concurrent loads when it had started, itself included. */
    void noteStoreLoad(Duration took, Duration declared, unsigned position);
    /** When requested models that are not loaded are expected to be ready, as of the last decision. */
    const std::map<ModelName, Instant>& expectedReadyTimes() const { return m_expected; }
    /** Discards all plans, as after a change of leader. */
    void reset();

private:
    /** A planned load that waits until room is made at the server. */
    struct Intent {
        ModelName model;
        PlacementStep::Source source = PlacementStep::Source::Store;
        Instant since {};
    };

    struct Round;
    struct Place;
    struct AdapterPlace;

    void prepare(Round&);
    void continueIntents(Round&);
    void placeMissing(Round&);
    void trackWaiting(Round&);
    /** For models requested at rank 0, or for the others; the former take precedence over models that are not loaded. */
    void addCopies(Round&, bool forUrgent);
    void loadUnrequested(Round&);
    void placeAdapters(Round&);
    void trackWaitingForAdapters(const Round&);
    bool isAwaited(const Round&, const ModelName&, const AdapterName&) const;
    void placeAdapter(Round&, const ModelName&, const AdapterName&, std::map<BackendServerName, std::size_t>& awaited);
    std::optional<AdapterPlace> adapterPlaceAt(const Round&, const PlacedServer&, const ModelName&, std::size_t awaited) const;
    void findAdapterVictim(const Round&, AdapterPlace&) const;
    static void addReport(Round&, const PlacedServer&);
    bool place(Round&, const ModelName&, double value, bool mayUseStore, const DataCentreName& = {});
    std::optional<Place> bestPlace(const Round&, const ModelName&, double value, bool mayUseStore, const DataCentreName&) const;
    DataCentreName dataCentreWithout(const Round&, const ModelName&) const;
    std::optional<Place> placeAt(const Round&, const PlacedServer&, const ModelName&, double value) const;
    double retentionValue(const Round&, const PlacedServer&, const ModelName&) const;
    bool isSurplus(const Round&, const PlacedServer&, const ModelName&) const;
    void addStep(Round&, const PlacedServer&, const Intent&, const std::vector<ModelName>& victims);
    void estimateUnplaced(Round&, const std::vector<ModelName>& unplaced);
    bool waitsForWithdrawal(const Round&, const ModelName&) const;
    void rememberSizes(const EngineSpec&, const Servers&);
    ByteCount usedAt(const EngineSpec&, const PlacedServer&) const;
    ByteCount usedBy(const EngineSpec&, const PlacedServer&, const ModelName&) const;

    Options m_options;
    unsigned m_storeLimit;
    std::map<BackendServerName, Intent> m_intents;
    std::map<std::pair<BackendServerName, ModelName>, Instant> m_heldSince;
    /** Since when requests have been waiting for models that are loaded. */
    std::map<ModelName, Instant> m_waitingSince;
    std::map<std::pair<ModelName, AdapterName>, Instant> m_adapterWaitingSince;
    std::map<ModelName, Instant> m_expected;
    /** Of the models that the configuration names, and of those of former ones that servers still hold. */
    std::map<ModelName, EngineModel> m_sizes;
};

} // namespace hemlockchute
