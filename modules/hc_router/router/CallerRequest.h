#pragma once

#include "hemlockchute/document/Document.h"
#include "hemlockchute/http/HttpMessage.h"
#include "router/Problem.h"

#include <optional>

namespace hemlockchute {

/** Parameters common to all requests of callers. */
struct RequestParameters {
    RequestId request;
    RankSpec rank;
    Instant received;
    Instant deadline;
};

/** A validated request for a model. */
struct ModelRequest {
    RequestParameters parameters;
    ModelName model;
    AdapterName adapter;
    bool isStream = false;
    /** The caller's JSON object as it is sent to the engine. */
    ByteString body;
};

/** A validated call of a plain service. */
struct ServiceCallRequest {
    RequestParameters parameters;
    ServiceSpec service;
    std::optional<IdempotencyKey> key;
    /** The request as it is sent to the service. */
    HttpRequest request;
};

/** The caller's X-Request-Id when it is valid, otherwise the generated id. Thread safety: any thread. */
RequestId requestIdOf(const HttpRequest&, const RequestId& generated);
/** Reads rank and deadline. Thread safety: any thread. */
tl::expected<RequestParameters, Problem> readRequestParameters(const HttpRequest&, const RequestId&, const Document&, Instant now);
/** Reads the body of POST /v1/chat/completions. Thread safety: any thread. */
tl::expected<ModelRequest, Problem> readModelRequest(const HttpRequest&, RequestParameters, const Document&);
/** Reads /services/NAME/REST. Thread safety: any thread. */
tl::expected<ServiceCallRequest, Problem> readServiceCall(const HttpRequest&, RequestParameters, const Document&);

} // namespace hemlockchute
