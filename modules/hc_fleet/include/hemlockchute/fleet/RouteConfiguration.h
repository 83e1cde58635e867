#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Errors.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/core/Units.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlockchute {

/** Counts configurations; the highest one is in force. */
using ConfigurationVersion = NumberId<struct ConfigurationVersionTag>;

/** What a route's requests allow. */
enum class RequestKind {
    /** May run more than once. */
    Safe,
    /** Runs at most once for each attempt of a caller. */
    Unsafe,
    /** Answered by a stream of numbered events; runs at most once unless the route is resumable. */
    Stream
};

/** A service that takes a share of a route's requests. */
struct WeightedService {
    ServiceName service;
    unsigned weight = 0;
};

/** Where requests for a host and a path prefix go, and on what terms. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RequestKind kind = RequestKind::Safe;
    /** Longest time a request may be kept waiting. */
    Duration timeout {};
    /** Time within which an answer, or a stream's first event, is on time. */
    Duration target {};
    /** Longest pause between events of a stream that is on time. */
    Duration eventGap {};
    /** Urgency; 0 is the most urgent. */
    unsigned rank = 0;
    /** Backend servers that one attempt may be sent to. */
    unsigned maximumAttempts = 1;
    /** True when a stream may go on at another backend server after its last whole event. */
    bool isResumable = false;
    /** One entry or more; the weights add up to more than 0. */
    std::vector<WeightedService> services;

    /** True when a request may be sent again after it may have run. */
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

/** What the backend servers of a service that runs models have room for. */
struct EngineSpec {
    /** Requests in one batch. */
    unsigned slots = 1;
    std::uint64_t tokenCapacity = 0;
    ByteCount weightsCapacity;
    unsigned adapterSlots = 0;
    /** Room for copies of weights besides those held, in memory and on disk. */
    ByteCount memoryCacheCapacity;
    ByteCount diskCacheCapacity;
    /** Loads that the weight store allows a second, over all servers. */
    double storeLoadsPerSecond = 0;
    std::map<ModelName, EngineModel> models;
};

/** A service and its backend servers' common traits. */
struct RoutedService {
    ServiceName name;
    /** Connections a backend server takes from all callers together. */
    unsigned maximumConnections = 0;
    /** Only for services that run models. */
    std::optional<EngineSpec> engine;
};

/** Bounds on what a caller may send. */
struct CallerLimits {
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 4U << 20U;
    Duration headerTimeout = 10s;
    Duration idleTimeout = 60s;
};

enum class ConfigurationErrorCode {
    /** The text cannot be read in full. */
    Unreadable,
    /** It can be read, and must not come into force. */
    Invalid
};

//==============================================================================
/**
    One complete configuration: routes, services and limits under a version.

    Immutable once made, and shared by pointer. Thread safety: const methods from any thread.
*/
class RouteConfiguration {
public:
    /** What a configuration is made of. */
    struct Parts {
        ConfigurationVersion version;
        std::vector<Route> routes;
        std::map<ServiceName, RoutedService> services;
        CallerLimits limits;
    };

    /** Checks the parts; every route names known services, has a place of its own, a weight and a timeout. */
    static Result<std::shared_ptr<const RouteConfiguration>, ConfigurationErrorCode> make(Parts);

    ConfigurationVersion version() const { return m_parts.version; }
    const std::vector<Route>& routes() const { return m_parts.routes; }
    const std::map<ServiceName, RoutedService>& services() const { return m_parts.services; }
    const CallerLimits& limits() const { return m_parts.limits; }

    /** The route of that host with the longest prefix that begins the path, or null. */
    const Route* findRoute(std::string_view host, std::string_view path) const;
    /** The service of that name, or null. */
    const RoutedService* findService(const ServiceName&) const;

private:
    explicit RouteConfiguration(Parts parts)
        : m_parts(std::move(parts))
    {
    }

    static std::string routeKey(std::string_view host, std::string_view prefix);

    Parts m_parts;
    /** Indices of the routes by host and prefix. */
    std::unordered_map<std::string, std::size_t> m_routesByKey;
};

using RouteConfigurationPointer = std::shared_ptr<const RouteConfiguration>;

} // namespace hemlockchute
