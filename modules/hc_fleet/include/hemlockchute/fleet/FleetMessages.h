#pragma once

#include "hemlockchute/core/Errors.h"
#include "hemlockchute/core/Units.h"
#include "hemlockchute/fleet/ListedServer.h"
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

/** What a gateway's callers want of a model. */
struct ModelDemandReport {
    ModelKey key;
    /** Requests that wait here for the model. */
    unsigned waiting = 0;
    /** Requests that are at a server. */
    unsigned active = 0;
    /** Requests that came, and those that were refused for want of the model, since the last report. */
    unsigned arrivals = 0;
    unsigned refused = 0;
    /** The most urgent rank among those that wait or came. */
    unsigned rank = 0;
};

/** Requests at a server. */
struct ServerOutstanding {
    BackendServerName server;
    ServerLoad load;
};

/** What a gateway asks a coordinator for, again and again. */
struct FollowRequest {
    HostName host;
    ConfigurationVersion configuration;
    /** What the gateway knows of the servers: revisions count within an epoch. */
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    std::vector<ModelDemandReport> demands;
    std::vector<ServerOutstanding> outstanding;
};

/** When a model that is wanted and not held is expected. */
struct ModelExpectation {
    ServiceName service;
    ModelName model;
    Duration remaining {};
};

/** What a coordinator says to a gateway. */
struct FollowReply {
    /** True when the coordinator led, for certain, when it answered. */
    bool isCurrent = false;
    /** Where to ask instead; none when unknown. */
    KeeperId leader;
    /** Every coordinator of the group. */
    std::vector<KeeperId> coordinators;
    ConfigurationVersion version;
    /** Empty when the gateway has that version. */
    ByteString configuration;
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    /** True when `servers` holds every server, and not only those that changed since the revision that the gateway knows. */
    bool isWhole = false;
    /** Servers with the models that requests may be sent for. */
    std::vector<ListedServer> servers;
    /** Servers that left the platform's list since that revision. */
    std::vector<BackendServerName> gone;
    /** How long ago the platform's list was asked for; nothing when this coordinator has none. */
    std::optional<Duration> listAge;
    std::vector<ModelExpectation> expectations;
    /** Requests at each server from all gateways. */
    std::vector<ServerOutstanding> outstanding;
    /** Gateways heard of lately. */
    unsigned gateways = 0;
};

/** A configuration under its version, as it is agreed on. */
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
