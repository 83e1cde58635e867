#pragma once

#include "hemlockchute/fleet/FleetMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace hemlockchute {

/** What all gateways together want of a model or adapter. */
struct CombinedDemand {
    /** Requests that wait for it. */
    unsigned waiting = 0;
    /** Requests that run with it. */
    unsigned active = 0;
    /** The most urgent rank that wants it. */
    unsigned rank = 0;
    /** Requests a second, averaged over some seconds. */
    double arrivalsPerSecond = 0;
    /** Requests refused for want of it, fading over some seconds. */
    double refused = 0;
};

/** A server that runs models, as the placer sees it. */
struct PlacedServer {
    BackendServerName id;
    DataCentreName dataCentre;
    HeldModels models;
    std::set<ModelName> inMemory;
    std::set<ModelName> onDisk;
    /** Adapters ordered and not there yet; they take places. */
    std::map<ModelName, std::set<AdapterName>> pendingAdapters;
    /** True when it may be given an order: its state is known and no order is in progress. */
    bool mayTakeOrder = false;
    /** The model that is being loaded, which takes up room already; empty when it is not known. */
    ModelName loading;
    /** True when the server loads from the weight store, or may do so. */
    bool isLoadingFromStore = false;
    /** When that load is expected to end. */
    Instant loadedAt {};
    /** Requests at it from all gateways. */
    unsigned outstanding = 0;
};

/** One order that the placer wants given. */
struct PlacementStep {
    enum class Operation {
        Load,
        Unload
    };

    Operation operation = Operation::Load;
    BackendServerName server;
    ModelName model;
    /** Empty when the step is about the model itself. */
    AdapterName adapter;
    /** Where a model's weights come from. */
    enum class Source {
        Memory,
        Disk,
        Store
    } source
        = Source::Store;
    /** How long a load takes when nothing delays it. */
    Duration time {};
    /** The model for which room is made by an unload. */
    ModelName makesRoomFor;
    /** True when what goes is asked for so often that gateways must hear of it before the server does. */
    bool waitsForWithdrawal = false;
};

//==============================================================================
/**
    Decides which models the servers of one service hold.

    Answers the load in which far more models are asked for than fit: models that are asked for
    often keep their places, and the others take turns in the rest. A model that nobody holds and
    that requests wait for goes where its weights are at hand and where the least wanted model
    makes way; loads from the weight store, which are slow and few at once, go to the models that
    the most, and the most urgent, requests want. Who waits for a rare model does not wait for every gateway to hear
    that another rare one goes. Models whose servers are full, or cannot be reached
    by those who ask, get another copy. While no request waits for a model that is held, the store gives models of which no
    server has a copy, since from then on they are quick to load there.
    Thread safety: one thread at a time.
*/
class ModelPlacer {
public:
    /** Bounds and weights. */
    struct Options {
        /** Loads from the weight store at once, until loads have shown how many it takes at full speed. */
        unsigned storeLoadsAtOnce = 4;
        /** A model stays at least so long after it was loaded, while it is wanted at all. */
        Duration minimumResidence = 800ms;
        /** A further copy is loaded when requests at the emptiest server pass this part of its slots. */
        double fullThreshold = 0.75;
        /** A model with more requests a second than this gets a copy in each data centre, so that each can serve it when it is cut off. */
        double spreadRate = 3;
        /** What it weighs, in requests a second, that a model could only come back from the store. */
        double storeReloadWeight = 0.4;
        /** Requests a second that may be lost to a load that nobody waits for. */
        double idleLoadValue = 0.5;
        /** Requests that wait for a model for so long although a server holds it cannot reach that server. */
        Duration unreachableAfter = 500ms;
        /** Requests a second from which on a model that goes is withdrawn from gateways first; below it, fewer than one unload in eight meets a request, which is told that it has not run. */
        double withdrawalWaitRate = 0.3;
        /** Delay of a load that weighs as much as losing a model that gets one request a second. */
        Duration evictionCost = 400ms;

        Options withStoreLoadsAtOnce(unsigned) const;
    };

    explicit ModelPlacer(Options options)
        : m_options(options)
        , m_storeLimit(options.storeLoadsAtOnce)
    {
    }

    using Servers = std::vector<PlacedServer>;
    /** By model, and by adapter for requests that need one. */
    using Demands = std::map<std::pair<ModelName, AdapterName>, CombinedDemand>;

    /** The orders to give now, at most one for each server. */
    std::vector<PlacementStep> decide(const EngineSpec&, const Servers&, const Demands&, Instant now);
    /** Notes how long a load from the store took, or has taken so far, and how many were going on once it had begun. */
    void noteStoreLoad(Duration took, Duration declared, unsigned position);
    /** When models that are wanted and not held are expected, as of the last decision. */
    const std::map<ModelName, Instant>& expectedReadyTimes() const { return m_expected; }
    /** Forgets what was meant for servers, as after a change of the order-giver. */
    void reset();

private:
    /** A model that is to be held by a server once room is made. */
    struct Intent {
        ModelName model;
        PlacementStep::Source source = PlacementStep::Source::Store;
        Instant since {};
    };

    struct Round;
    struct Place;

    void prepare(Round&);
    void continueIntents(Round&);
    void placeMissing(Round&);
    void trackWaiting(Round&);
    /** For models that rank 0 wants, or for the others; the former go before models that nobody holds. */
    void addCopies(Round&, bool forUrgent);
    void loadUnrequested(Round&);
    void placeAdapters(Round&);
    bool place(Round&, const ModelName&, double value, bool mayUseStore, const DataCentreName& = {});
    std::optional<Place> bestPlace(const Round&, const ModelName&, double value, bool mayUseStore, const DataCentreName&) const;
    DataCentreName dataCentreWithout(const Round&, const ModelName&) const;
    std::optional<Place> placeAt(const Round&, const PlacedServer&, const ModelName&, double value) const;
    double retentionValue(const Round&, const PlacedServer&, const ModelName&) const;
    void addStep(Round&, const PlacedServer&, const Intent&, const std::vector<ModelName>& victims);
    void estimateUnplaced(Round&, const std::vector<ModelName>& unplaced);
    bool waitsForWithdrawal(const Round&, const ModelName&) const;
    static ByteCount usedAt(const EngineSpec&, const PlacedServer&);

    Options m_options;
    unsigned m_storeLimit;
    std::map<BackendServerName, Intent> m_intents;
    std::map<std::pair<BackendServerName, ModelName>, Instant> m_heldSince;
    /** Since when requests wait for models that are held. */
    std::map<ModelName, Instant> m_waitingSince;
    std::map<ModelName, Instant> m_expected;
};

} // namespace hemlockchute
