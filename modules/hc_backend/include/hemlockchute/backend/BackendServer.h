#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/core/Units.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

namespace hemlockchute {

/** A backend server as the platform lists it. */
struct BackendServer {
    enum class Kind {
        Engine,
        Service
    };

    BackendServerName name;
    DataCentreName dataCentre;
    Kind kind = Kind::Engine;
    /** What a plain service serves; empty for an engine. */
    ServiceName service;
    boost::asio::ip::tcp::endpoint endpoint;
    /** The plug-in that speaks to it. */
    std::string protocol = "hemlock-http-1";
    /** True once the platform reports that it is leaving. */
    bool isLeaving = false;

    friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

/** Where a model is in its life on one engine. */
enum class LoadPhase {
    Loading,
    Loaded,
    Unloading
};

/** Where the weights for a load come from. */
enum class LoadSource {
    Memory,
    Disk,
    Store
};

/** A model on an engine, as the engine reports it. */
struct EngineModel {
    ModelName model;
    std::string version;
    LoadPhase phase = LoadPhase::Loading;
    ByteCount memory;
    std::vector<AdapterName> adapters;

    friend bool operator==(const EngineModel&, const EngineModel&) = default;
};

/** An engine's own report of its state; lags behind by up to `lag`. */
struct EngineState {
    BackendServerName name;
    /** Changes whenever the engine's process starts anew. */
    std::string incarnation;
    bool enforcesFencing = false;
    FencingNumber highestFencing;
    ByteCount memory;
    ByteCount memoryUsed;
    std::vector<EngineModel> models;
    /** Checkpoints at hand without the store. */
    std::vector<ModelName> cachedInMemory;
    std::vector<ModelName> cachedOnDisk;
    unsigned running = 0;
    unsigned queued = 0;
    /** Requests it will run at once. */
    unsigned slots = 1;
    bool isLeaving = false;
    /** Orders it has taken in, newest last, at least the last 64. */
    std::vector<OrderId> ordersSeen;
    Duration lag {};
};

/** What an order has an engine do. */
enum class OrderKind {
    LoadModel,
    UnloadModel,
    LoadAdapter,
    UnloadAdapter
};

/** An order to an engine. */
struct EngineOrder {
    OrderId id;
    FencingNumber fencing;
    OrderKind kind = OrderKind::LoadModel;
    ModelName model;
    std::string version;
    AdapterName adapter;
    LoadSource source = LoadSource::Store;
    ByteCount memory;
    /** The engine drops the order when it has not begun by then, counted from its receipt. */
    Duration lifetime = 5s;

    friend bool operator==(const EngineOrder&, const EngineOrder&) = default;
};

} // namespace hemlockchute
