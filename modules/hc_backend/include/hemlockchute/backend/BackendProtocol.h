#pragma once

#include "hemlockchute/backend/BackendServer.h"
#include "hemlockchute/core/Errors.h"
#include "hemlockchute/core/PluginRegistry.h"
#include "hemlockchute/http/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

namespace hemlockchute {

enum class BackendErrorCode {
    /** No byte of the request was sent: it has not run. */
    NotSent,
    /** The request may have run. */
    Lost,
    /** The request may have run; its deadline passed. */
    TimedOut,
    /** The server refused it and has not run it. */
    Refused,
    /** The server is full; it has not run it. */
    Busy,
    /** The engine has seen a higher fencing number. */
    StaleFencing,
    /** The engine lacks the memory. */
    OutOfMemory,
    /** The answer did not belong to the attempt, or broke the protocol. */
    Malformed
};

/** True when the request has certainly not run. */
constexpr bool hasCertainlyNotRun(BackendErrorCode code)
{
    return code == BackendErrorCode::NotSent || code == BackendErrorCode::Refused || code == BackendErrorCode::Busy;
}

/** One attempt at an inference request. */
struct InferRequest {
    AttemptId attempt;
    ModelName model;
    AdapterName adapter;
    /** Lower is more urgent. */
    unsigned priority = 0;
    /** The caller's JSON object, forwarded unchanged. */
    ByteString body;
    /** Tokens already forwarded to the caller, when a stream is resumed on another engine. */
    std::vector<std::string> resumeAfter;
};

/** One token of an answer; `index` counts from 0 without gaps. */
struct TokenEvent {
    std::uint64_t index = 0;
    std::string text;
};

//==============================================================================
/**
    The stream of a model's answer. Destroying it before the end cancels the attempt at the engine.

    Thread safety: one coroutine at a time.
*/
class TokenStream {
public:
    virtual ~TokenStream() = default;

    /** The next token, or nothing once the engine's end marker has arrived. A truncated answer, or one of another attempt, is an error. */
    virtual boost::asio::awaitable<Result<std::optional<TokenEvent>, BackendErrorCode>> next(Instant deadline) = 0;
    /** Asks the engine to stop. */
    virtual boost::asio::awaitable<void> cancel() = 0;
    /** Closes the connection at once; a next() in progress fails. Thread safety: from the executor that next() runs on. */
    virtual void close() = 0;
};

/** One call of a plain service. */
struct ServiceRequest {
    AttemptId attempt;
    HttpRequest request;
    /** True when the call must not be repeated: it is sent on a new connection. */
    bool isOnce = false;
};

//==============================================================================
/**
    The client side of one backend server protocol. Plug-ins register under the protocol's name.

    Thread safety: every method may be called from any thread; a coroutine must run on a strand.

    @see PluginRegistry
*/
class BackendProtocol {
public:
    virtual ~BackendProtocol() = default;

    /** Reads an engine's state. */
    virtual boost::asio::awaitable<Result<EngineState, BackendErrorCode>> readState(BackendServer, Instant deadline) = 0;
    /** Sends an order to an engine; success means accepted, not carried out. */
    virtual boost::asio::awaitable<Result<void, BackendErrorCode>> sendOrder(BackendServer, EngineOrder, Instant deadline) = 0;
    /** Starts an inference; completes once the engine has accepted the request. */
    virtual boost::asio::awaitable<Result<std::unique_ptr<TokenStream>, BackendErrorCode>> infer(BackendServer, InferRequest, Instant deadline) = 0;
    /** Calls a plain service and reads the complete answer; an answer of another attempt is an error. */
    virtual boost::asio::awaitable<Result<HttpResponse, BackendErrorCode>> callService(BackendServer, ServiceRequest, Instant deadline) = 0;
    /** Closes the idle connections to a server, so that the next request opens a new one. */
    virtual void closeIdleConnections(const BackendServer&) = 0;
};

} // namespace hemlockchute
