#pragma once

#include "hemlockchute/core/Errors.h"
#include "hemlockchute/core/ServerLife.h"
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

/** A server's number in the messages of one epoch; none while it has not been given one. */
using ServerHandle = NumberId<struct ServerHandleTag>;

/** Requests at a server. */
struct ServerOutstanding {
    ServerHandle server;
    ServerLoad load;
};

/** A server as gateways are told of it. */
struct FleetEntry {
    ListedServer server;
    ServerHandle handle;
    /** When it changed last. */
    std::uint64_t revision = 0;
};

/** A server that left the list, and in which revision. */
struct ServerDeparture {
    BackendServerName server;
    std::uint64_t revision = 0;

    friend bool operator==(const ServerDeparture&, const ServerDeparture&) = default;
};

/** A coordinator that answers gateways, and where it stands. */
struct CoordinatorLocation {
    KeeperId coordinator;
    DataCentreName dataCentre;

    friend bool operator==(const CoordinatorLocation&, const CoordinatorLocation&) = default;
};

/** What a gateway asks a coordinator for, and a relay its leader, again and again. */
struct FollowRequest {
    HostName host;
    /** The coordinator that asks for the gateways that follow it; none when a gateway asks. */
    KeeperId relay;
    /** Where the relay stands. */
    DataCentreName dataCentre;
    /** Gateways for which this is asked. */
    unsigned gateways = 1;
    /** True when the gateway turns to another coordinator; nothing is asked for. */
    bool isLast = false;
    ConfigurationVersion configuration;
    /** What is known of the servers: revisions and handles count within an epoch. */
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    std::vector<ModelDemandReport> demands;
    std::vector<ServerOutstanding> outstanding;
    /** Servers that said that they leave, and do not leave by the list that is known. */
    std::vector<ServerLife> leaving;
};

/** When a model that is wanted and not held is expected. */
struct ModelExpectation {
    ServiceName service;
    ModelName model;
    Duration remaining {};
};

/** What a coordinator says to a gateway. */
struct FollowReply {
    /** True when the coordinator that leads said this, here or to the relay that passes it on. */
    bool isCurrent = false;
    /** How long ago it said so. */
    Duration age {};
    /** Where to ask instead; none when unknown. */
    KeeperId leader;
    /** Every coordinator of the group. */
    std::vector<KeeperId> coordinators;
    /** Coordinators that answer gateways now. */
    std::vector<CoordinatorLocation> relays;
    ConfigurationVersion version;
    /** Empty when the gateway has that version. */
    ByteString configuration;
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    /** True when `servers` begins a list of every server, and does not go on from the revision that the gateway knows. */
    bool isWhole = false;
    /** True when this is a part: the next one is to be asked for at once. */
    bool hasMore = false;
    /** Servers with the models that requests may be sent for. */
    std::vector<FleetEntry> servers;
    /** Servers that left the platform's list since that revision. */
    std::vector<ServerDeparture> gone;
    /** How long ago the platform's list was asked for; nothing when this coordinator has none. */
    std::optional<Duration> listAge;
    std::vector<ModelExpectation> expectations;
    /** Requests at each server from all gateways. */
    std::vector<ServerOutstanding> outstanding;
    /** Gateways heard of lately, by all coordinators and by the one that answers. */
    unsigned gateways = 0;
    unsigned followers = 0;
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
