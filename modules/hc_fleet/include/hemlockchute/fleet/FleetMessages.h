#pragma once

#include "hemlockchute/core/Errors.h"
#include "hemlockchute/core/ServerIncarnation.h"
#include "hemlockchute/core/Units.h"
#include "hemlockchute/fleet/ListedServer.h"
#include "hemlockchute/fleet/PromptPartQuarantine.h"
#include "hemlockchute/fleet/QuotaPool.h"
#include "hemlockchute/fleet/RateGrantPool.h"
#include "hemlockchute/fleet/RouteConfiguration.h"
#include "hemlockchute/fleet/ServerChooser.h"

#include <string_view>
#include <vector>

namespace hemlockchute {

/** A model of a service, or one of the model's adapters. */
struct ModelKey {
    ServiceName service;
    ModelName model;
    /** Empty for the model itself. */
    AdapterName adapter;

    friend auto operator<=>(const ModelKey&, const ModelKey&) = default;
};

/** A gateway's demand for a model or adapter. */
struct ModelDemandReport {
    ModelKey key;
    /** Requests waiting at the gateway for the model. */
    unsigned waiting = 0;
    /** Requests at a server. */
    unsigned active = 0;
    /** Requests that arrived, and those refused because the model was not loaded, since the last report. */
    unsigned arrivals = 0;
    unsigned refused = 0;
    /** The most urgent rank among the waiting and arrived requests. */
    unsigned rank = 0;
};

/** A server's short number in the messages of one epoch; none until one is assigned. */
using ServerHandle = NumberId<struct ServerHandleTag>;

/** Requests at a server. */
struct ServerOutstanding {
    ServerHandle server;
    ServerLoad load;
};

/** A server as published to gateways. */
struct FleetEntry {
    ListedServer server;
    ServerHandle handle;
    /** The revision of its last change. */
    std::uint64_t revision = 0;
};

/** A server that was removed from the list, and in which revision. */
struct ServerDeparture {
    BackendServerName server;
    std::uint64_t revision = 0;

    friend bool operator==(const ServerDeparture&, const ServerDeparture&) = default;
};

/** A coordinator that answers gateways, and its data centre. */
struct CoordinatorLocation {
    KeeperId coordinator;
    DataCentreName dataCentre;

    friend bool operator==(const CoordinatorLocation&, const CoordinatorLocation&) = default;
};

/** The poll of a gateway at its coordinator, or of a relay at the leader; also reports demand. */
struct FollowRequest {
    HostName host;
    /** The relay that polls on behalf of its gateways; none if a gateway polls itself. */
    KeeperId relay;
    /** The data centre of the relay. */
    DataCentreName dataCentre;
    /** Number of gateways that the request stands for. */
    unsigned gateways = 1;
    /** True if the gateway switches to another coordinator; the request then only ends its reports. */
    bool isLast = false;
    /** The version in force at the sender. */
    ConfigurationVersion configuration;
    /** The version of which parts have arrived, none between transfers, and how many of its compressed bytes. */
    ConfigurationVersion configurationPartOf;
    std::uint64_t configurationOffset = 0;
    /** The state of the server list known to the sender; revisions and handles are valid within an epoch. */
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    std::vector<ModelDemandReport> demands;
    std::vector<ServerOutstanding> outstanding;
    /** Servers that announced that they leave, while the known list does not show it yet. */
    std::vector<ServerIncarnation> leaving;
    /** Listed servers that refuse connections. */
    std::vector<ServerIncarnation> ended;
    /** Times are sent as ages. */
    PromptPartReport promptParts;
    /** The rate limits of servers that are known to the sender, in force or ended recently. */
    std::vector<RateLimitNotice> rateLimits;
    std::vector<RateDemand> rateDemands;
    /** One for each workspace with a quota of which the host holds or needs units. */
    std::vector<QuotaReport> quotaReports;
};

/** Time until a requested model that no server holds is expected to be loaded. */
struct ModelExpectation {
    ServiceName service;
    ModelName model;
    Duration remaining {};
};

/** A coordinator's reply to a gateway, or the leader's to a relay. */
struct FollowReply {
    /** True if the content comes from the leader, directly or through a relay. */
    bool isCurrent = false;
    /** Time since the leader produced it. */
    Duration age {};
    /** The leader; none if unknown. */
    KeeperId leader;
    /** Every coordinator of the group. */
    std::vector<KeeperId> coordinators;
    /** Coordinators that gateways should follow; empty if they should follow the leader. */
    std::vector<CoordinatorLocation> relays;
    ConfigurationVersion version;
    /** The whole body, or a part of the compressed one; empty if the gateway already has that version, or further servers come first. */
    ByteString configuration;
    /** The size of the whole compressed body, 0 if it is sent uncompressed, and where the part begins in it. */
    std::uint64_t configurationSize = 0;
    std::uint64_t configurationOffset = 0;
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    /** True if `servers` starts a full list instead of continuing from the revision that the gateway knows. */
    bool isWhole = false;
    /** True if more parts of the list or of the configuration follow; the next one should be requested at once. */
    bool hasMore = false;
    /** Servers, with the models for which requests may be sent to them. */
    std::vector<FleetEntry> servers;
    /** Servers removed from the platform's list since that revision. */
    std::vector<ServerDeparture> gone;
    /** Time since the platform's list was requested; nothing if the coordinator has no list. */
    std::optional<Duration> listAge;
    std::vector<ModelExpectation> expectations;
    /** Requests at each server from all gateways. */
    std::vector<ServerOutstanding> outstanding;
    /** Gateways that reported recently, to all coordinators and to the one that replies. */
    unsigned gateways = 0;
    unsigned followers = 0;
    /** All prompt parts that are quarantined or likely to be soon. */
    std::vector<SuspectPart> suspectParts;
    /** Quarantined parts of which the receiver may let one request through. */
    std::vector<PromptPartKey> trialParts;
    /** The rate limits of servers, in force or ended recently. */
    std::vector<RateLimitNotice> rateLimits;
    /** One for each demand of the request. */
    std::vector<RateGrant> rateGrants;
    /** Time since a leader was certain that no configuration newer than `version` had been acknowledged, including the time that a relay was suspended; nothing if it was not. */
    std::optional<Duration> confirmedAge;
    /** One for each report of the request. */
    std::vector<QuotaGrant> quotaGrants;

    /** True if `configuration` is a part and not the last one. */
    bool hasMoreConfiguration() const { return configurationOffset + configuration.size() < configurationSize; }
    /** True if more servers follow: a part of the configuration other than the last one is sent only with the end of the list. */
    bool hasMoreServers() const { return hasMore && !hasMoreConfiguration(); }
};

/** A configuration and its version, as replicated by the coordinators. */
struct ConfigurationBody {
    ConfigurationVersion version;
    ByteString body;
};

enum class FleetMessageErrorCode {
    Malformed
};

template <typename T>
using FleetMessageResult = Result<T, FleetMessageErrorCode>;

/** Messages between gateways and coordinators, in Cap'n Proto. Thread safety: any thread. */
ByteString encodeFollowRequest(const FollowRequest&);
FleetMessageResult<FollowRequest> decodeFollowRequest(std::string_view bytes);
ByteString encodeFollowReply(const FollowReply&);
FleetMessageResult<FollowReply> decodeFollowReply(std::string_view bytes);
ByteString encodeConfigurationBody(const ConfigurationBody&);
FleetMessageResult<ConfigurationBody> decodeConfigurationBody(std::string_view bytes);

} // namespace hemlockchute
