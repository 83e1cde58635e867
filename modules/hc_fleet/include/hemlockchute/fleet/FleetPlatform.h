#pragma once

#include "hemlockchute/core/Errors.h"
#include "hemlockchute/fleet/ListedServer.h"
#include "hemlockchute/fleet/RequestMetadata.h"
#include "hemlockchute/fleet/RouteConfiguration.h"
#include "hemlockchute/http/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace hemlockchute {

enum class PlatformErrorCode {
    /** A message cannot be read. */
    Malformed,
    /** A request lacks mandatory metadata. */
    Incomplete
};

/** A load or unload order to a server that runs models. */
struct PlacementOrder {
    enum class Operation {
        Load,
        Unload
    };

    Operation operation = Operation::Load;
    BackendServerName server;
    ModelName model;
    /** Empty when the order is about the model itself. */
    AdapterName adapter;
    /** The server refuses the order unless it has accepted exactly this many before. */
    std::uint64_t ordersAcceptedBefore = 0;
    /** The host that sends the order. */
    HostName issuer;
    FencingNumber fence;
};

/** A server's answer to an order. */
enum class OrderOutcome {
    /** The order is in progress. */
    Accepted,
    /** The requested state already holds. */
    AlreadyHolds,
    /** Another order is in progress, or the number of accepted orders does not match. */
    Conflict,
    /** Another server, or another incarnation of it, has the address. */
    WrongServer,
    /** The fencing number is too low. */
    Fenced,
    /** The server does not know the order, or answered otherwise. */
    Rejected
};

//==============================================================================
/**
    Translates between the system's types and a platform's HTTP messages to and from callers,
    operators, backend servers and the platform's list. Makes no decisions.

    Each platform is a plug-in that registers itself in PluginRegistry<FleetPlatform>. Thread safety:
    stateless; every method may be called from any thread.
*/
class FleetPlatform {
public:
    virtual ~FleetPlatform() = default;

    //==============================================================================
    // Callers
    /** True for the path of the readiness probe: whether a host accepts new connections. */
    virtual bool isReadinessPath(std::string_view path) const = 0;
    virtual Result<RequestMetadata, PlatformErrorCode> decodeRequest(const HttpRequest&) const = 0;
    /** The request as forwarded to a backend server. */
    virtual HttpRequest forwardedRequest(const HttpRequest&, const ForwardingTerms&) const = 0;
    virtual AnswerMetadata decodeAnswer(unsigned status, const HttpHeaders&) const = 0;
    /** The headers that tell a caller without a known access key how to send one. */
    virtual HttpHeaders challengeHeaders() const = 0;
    /** An answer's headers as forwarded to the caller. */
    virtual HttpHeaders forwardedAnswerHeaders(const HttpHeaders&) const = 0;

    //==============================================================================
    // Operators
    virtual bool isConfigurationPath(std::string_view path) const = 0;
    virtual Result<RouteConfigurationPointer, ConfigurationErrorCode> decodeConfiguration(std::string_view body) const = 0;

    //==============================================================================
    // The list of backend servers
    virtual HttpRequest listingRequest(const std::optional<std::string>& page) const = 0;
    virtual Result<ListingPage, PlatformErrorCode> decodeListing(std::string_view body) const = 0;

    //==============================================================================
    // Orders to servers that run models
    virtual HttpRequest reportRequest() const = 0;
    virtual Result<EngineReport, PlatformErrorCode> decodeReport(std::string_view body) const = 0;
    virtual HttpRequest orderRequest(const PlacementOrder&) const = 0;
    virtual OrderOutcome decodeOrderAnswer(unsigned status) const = 0;
};

} // namespace hemlockchute
