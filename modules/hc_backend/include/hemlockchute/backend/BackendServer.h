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
    /** The service that a plain service provides; may be empty for an engine. */
    ServiceName service;
    boost::asio::ip::tcp::endpoint endpoint;
    /** Name of the BackendProtocol plug-in. */
    std::string protocol = "hemlock-http-1";
    /** True once the platform reports that it is leaving. */
    bool isLeaving = false;

    friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

/** Load state of a model on one engine. */
enum class LoadPhase {
    Loading,
    Loaded,
    Unloading
};

/** Where the engine reads the weights from. */
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

/** An engine's report of its state; may be out of date by up to `lag`. */
struct EngineState {
    BackendServerName name;
    /** Changes whenever the engine's process restarts. */
    std::string incarnation;
    bool enforcesFencing = false;
    FencingNumber highestFencing;
    ByteCount memory;
    ByteCount memoryUsed;
    std::vector<EngineModel> models;
    /** Models whose checkpoints are cached locally, so that a load needs no access to the store. */
    std::vector<ModelName> cachedInMemory;
    std::vector<ModelName> cachedOnDisk;
    unsigned running = 0;
    unsigned queued = 0;
    /** Number of requests that run concurrently. */
    unsigned slots = 1;
    bool isLeaving = false;
    /** Orders that the engine has received, newest last; at least the last 64. */
    std::vector<OrderId> ordersSeen;
    Duration lag {};
};

enum class OrderKind {
    LoadModel,
    UnloadModel,
    LoadAdapter,
    UnloadAdapter
};

/** A command to an engine to load or unload a model or adapter. */
struct EngineOrder {
    OrderId id;
    FencingNumber fencing;
    OrderKind kind = OrderKind::LoadModel;
    ModelName model;
    std::string version;
    AdapterName adapter;
    LoadSource source = LoadSource::Store;
    ByteCount memory;
    /** The engine drops the order if it has not started it within this time of receipt. */
    Duration lifetime = 5s;

    friend bool operator==(const EngineOrder&, const EngineOrder&) = default;
};

} // namespace hemlockchute
