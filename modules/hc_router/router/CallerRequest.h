#pragma once

#include "hemlockchute/document/Document.h"
#include "hemlockchute/http/HttpMessage.h"
#include "router/Problem.h"

#include <optional>

namespace hemlockchute {

/** What every caller's request says of itself. */
struct RequestParameters {
    RequestId request;
    RankSpec rank;
    Instant received;
    Instant deadline;
};

/** A request for a model, checked. */
struct ModelRequest {
    RequestParameters parameters;
    ModelName model;
    AdapterName adapter;
    bool isStream = false;
    /** The caller's object as the engine gets it. */
    ByteString body;
};

/** A call of a plain service, checked. */
struct ServiceCallRequest {
    RequestParameters parameters;
    ServiceSpec service;
    std::optional<IdempotencyKey> key;
    /** As the service gets it. */
    HttpRequest request;
};

/** The request's own id when it has a usable one, otherwise the one given. Thread safety: any thread. */
RequestId requestIdOf(const HttpRequest&, const RequestId& generated);
/** Reads rank and deadline. Thread safety: any thread. */
tl::expected<RequestParameters, Problem> readRequestParameters(const HttpRequest&, const RequestId&, const Document&, Instant now);
/** Reads the body of POST /v1/chat/completions. Thread safety: any thread. */
tl::expected<ModelRequest, Problem> readModelRequest(const HttpRequest&, RequestParameters, const Document&);
/** Reads /services/NAME/REST. Thread safety: any thread. */
tl::expected<ServiceCallRequest, Problem> readServiceCall(const HttpRequest&, RequestParameters, const Document&);

} // namespace hemlockchute
