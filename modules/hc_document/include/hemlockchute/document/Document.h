#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Digest.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/core/Units.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlockchute {

/** A rank (priority class) of requests: its priority, latency targets and guarantees. */
struct RankSpec {
    RankName name;
    TeamName team;
    /** Lower is more urgent; no two ranks share one. */
    unsigned order = 0;
    /** The minimum share of service, in thousandths, that the rank keeps while more urgent ranks are overloaded. */
    unsigned floorPerMille = 0;
    /** Target for the time to the first token. */
    Duration firstTokenTarget = 1s;
    /** Target for the time between two tokens. */
    Duration betweenTokensTarget = 100ms;
    /** A request that has been queued for this time is refused. */
    Duration longestWait = 30s;
    /** Service level objective: the share of requests, in thousandths, that must meet the targets. */
    unsigned objectivePerMille = 990;
    /** Weight of one request served in time, relative to the other ranks. */
    unsigned worth = 1;

    friend bool operator==(const RankSpec&, const RankSpec&) = default;
};

/** A model and how many replicas of it may be loaded in all data centres together. */
struct ModelSpec {
    ModelName name;
    TeamName team;
    unsigned replicas = 1;
    ByteCount memory;
    /** Identifies the checkpoint in the weight store; a new value makes a new version be served. */
    std::string version = "1";
    /** Expected load time from each source; engines report the actual one. */
    Duration loadTimeFromMemory = 200ms;
    Duration loadTimeFromDisk = 2s;
    Duration loadTimeFromStore = 10s;

    friend bool operator==(const ModelSpec&, const ModelSpec&) = default;
};

/** An adapter, which is served on top of its base model. */
struct AdapterSpec {
    AdapterName name;
    TeamName team;
    ModelName model;
    ByteCount memory;
    std::string version = "1";

    friend bool operator==(const AdapterSpec&, const AdapterSpec&) = default;
};

/** A plain service, which is not a model. */
struct ServiceSpec {
    ServiceName name;
    TeamName team;
    /** True when repeating a call has no further effect, so that it may be retried. */
    bool idempotent = false;
    Duration timeout = 10s;

    friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

/** A data centre that the system serves in. */
struct DataCentreSpec {
    DataCentreName name;
    TeamName team;
    std::string region;

    friend bool operator==(const DataCentreSpec&, const DataCentreSpec&) = default;
};

/** A backend server that is to take no new work. */
struct DrainPlan {
    BackendServerName backendServer;
    TeamName team;
    std::string reason;

    friend bool operator==(const DrainPlan&, const DrainPlan&) = default;
};

/** Limits on weight store loads and adapters, over all data centres together. */
struct FleetLimits {
    TeamName team;
    /** Loads from the store that may start per second, in thousandths of a load. */
    unsigned storeLoadsPerSecondPerMille = 3500;
    unsigned storeLoadsAtOnce = 4;
    unsigned adaptersInFlight = 32;

    friend bool operator==(const FleetLimits&, const FleetLimits&) = default;
};

//==============================================================================
/**
    A complete, valid document: one section of TOML per team, and everything that they declare.

    Built only by parseDocument(); shared and immutable after that, so any thread may read it.

    @see parseDocument
*/
struct Document {
    DocumentVersion version;
    /** The source text of each team's section, as submitted. */
    std::map<TeamName, std::string> sections;
    Digest digest;

    std::map<RankName, RankSpec> ranks;
    std::map<ModelName, ModelSpec> models;
    std::map<AdapterName, AdapterSpec> adapters;
    std::map<ServiceName, ServiceSpec> services;
    std::map<DataCentreName, DataCentreSpec> dataCentres;
    std::map<BackendServerName, DrainPlan> drains;
    FleetLimits limits;
};

using DocumentPointer = std::shared_ptr<const Document>;

} // namespace hemlockchute
