#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Errors.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/core/Units.h"
#include "hemlockchute/fleet/Workspace.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlockchute {

/** Version number of a configuration; the highest one is in force. */
using ConfigurationVersion = NumberId<struct ConfigurationVersionTag>;

/** How a route's requests may be repeated. */
enum class RequestKind {
    /** May run more than once. */
    Safe,
    /** Runs at most once for each attempt of a caller. */
    Unsafe,
    /** Answered with a stream of numbered events; runs at most once unless the route is resumable. */
    Stream
};

/** A service that receives a weighted share of a route's requests. */
struct WeightedService {
    ServiceName service;
    unsigned weight = 0;
};

/** The services for requests to a host and a path prefix, and the limits that apply. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RequestKind kind = RequestKind::Safe;
    /** Maximum time that a request may wait. */
    Duration timeout {};
    /** Target time for an answer or a stream's first event. */
    Duration target {};
    /** Target for the longest gap between events of a stream. */
    Duration eventGap {};
    /** Urgency; 0 is the most urgent. */
    unsigned rank = 0;
    /** Maximum number of backend servers that one attempt may be sent to. */
    unsigned maximumAttempts = 1;
    /** True if a stream may be resumed at another backend server after its last complete event. */
    bool isResumable = false;
    /** True if requests need no access key, even where the configuration has workspaces. */
    bool isPublic = false;
    /** One entry or more; the weights add up to more than 0. */
    std::vector<WeightedService> services;

    /** True if a request may be resent even though it may have run. */
    bool isRepeatable() const { return kind == RequestKind::Safe || (kind == RequestKind::Stream && isResumable); }
};

/** The sizes and load times of a model's weights. */
struct EngineModel {
    ByteCount weights;
    ByteCount adapterWeights;
    /** Time to load from the weight store, from the server's own disk, and from its memory. */
    Duration loadFromStore {};
    Duration loadFromDisk {};
    Duration loadFromMemory {};
};

/** The capacity of each backend server of a service that runs models. */
struct EngineSpec {
    /** Requests in one batch. */
    unsigned slots = 1;
    /** The prompt and output tokens for which a server has memory; 0 if unknown. */
    std::uint64_t tokenCapacity = 0;
    ByteCount weightsCapacity;
    unsigned adapterSlots = 0;
    /** Capacity for cached weights besides the loaded models, in memory and on disk. */
    ByteCount memoryCacheCapacity;
    ByteCount diskCacheCapacity;
    /** Loads per second that the weight store allows, over all servers. */
    double storeLoadsPerSecond = 0;
    std::map<ModelName, EngineModel> models;
};

/** A service, and the properties that its backend servers share. */
struct RoutedService {
    ServiceName name;
    /** Maximum number of connections to a backend server from all callers together. */
    unsigned maximumConnections = 0;
    /** Only for services that run models. */
    std::optional<EngineSpec> engine;
};

/** Limits on requests and connections of callers. */
struct CallerLimits {
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 4U << 20U;
    Duration headerTimeout = 10s;
    Duration idleTimeout = 60s;
};

enum class ConfigurationErrorCode {
    /** The text cannot be parsed completely. */
    Unreadable,
    /** The text can be parsed but the configuration is invalid. */
    Invalid
};

//==============================================================================
/**
    A complete, versioned configuration of routes, services and limits.

    Immutable once made, and shared by pointer. Thread safety: const methods from any thread.
*/
class RouteConfiguration {
public:
    struct Parts {
        ConfigurationVersion version;
        std::vector<Route> routes;
        std::map<ServiceName, RoutedService> services;
        CallerLimits limits;
        /** Without a list, requests need no access key. */
        std::optional<std::vector<Workspace>> workspaces;
    };

    /** Validates the parts: every route needs declared services, a unique host and prefix, a positive total weight and a time-out; two workspaces must not share a key. */
    static Result<std::shared_ptr<const RouteConfiguration>, ConfigurationErrorCode> make(Parts);

    ConfigurationVersion version() const { return m_parts.version; }
    const std::vector<Route>& routes() const { return m_parts.routes; }
    const std::map<ServiceName, RoutedService>& services() const { return m_parts.services; }
    const CallerLimits& limits() const { return m_parts.limits; }

    /** The route of the host with the longest matching prefix, or null. */
    const Route* findRoute(std::string_view host, std::string_view path) const;
    /** The service of that name, or null. */
    const RoutedService* findService(const ServiceName&) const;

    /** True if requests need an access key, unless their route is public. */
    bool requiresKeys() const { return m_parts.workspaces.has_value(); }
    /** Empty if the configuration has no workspaces. */
    const std::vector<Workspace>& workspaces() const;
    /** The workspace that holds the access key, or null. Takes constant time. */
    const Workspace* findWorkspace(const std::string& key) const;

private:
    explicit RouteConfiguration(Parts parts)
        : m_parts(std::move(parts))
    {
    }

    Result<void, ConfigurationErrorCode> indexWorkspaces();
    static std::string routeKey(std::string_view host, std::string_view prefix);

    Parts m_parts;
    /** Indices into the routes, by routeKey(). */
    std::unordered_map<std::string, std::size_t> m_routesByKey;
    /** Indices into the workspaces, by access key. */
    std::unordered_map<std::string, std::size_t> m_workspacesByKey;
};

using RouteConfigurationPointer = std::shared_ptr<const RouteConfiguration>;

} // namespace hemlockchute
