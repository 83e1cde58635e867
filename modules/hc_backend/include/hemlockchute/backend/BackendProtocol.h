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
    /** No byte of the request left: it has not run. */
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

/** One attempt to have a model answer. */
struct InferRequest {
    AttemptId attempt;
    ModelName model;
    AdapterName adapter;
    /** Lower is more urgent. */
    unsigned priority = 0;
    /** The caller's own JSON object, passed on untouched. */
    ByteString body;
    /** Tokens already passed on, when a stream is resumed elsewhere. */
    std::vector<std::string> resumeAfter;
};

/** One token of an answer; `index` counts from 0 and never skips. */
struct TokenEvent {
    std::uint64_t index = 0;
    std::string text;
};

//==============================================================================
/**
    A model's answer as it comes. Destroying it before the end cancels the attempt at the engine.

    Thread safety: one coroutine at a time.
*/
class TokenStream {
public:
    virtual ~TokenStream() = default;

    /** The next token, or nothing once the engine's own end marker has come. An answer cut short, or another attempt's, is an error. */
    virtual boost::asio::awaitable<Result<std::optional<TokenEvent>, BackendErrorCode>> next(Instant deadline) = 0;
    /** Asks the engine to stop. */
    virtual boost::asio::awaitable<void> cancel() = 0;
    /** Gives up at once; a next() in progress fails. Thread safety: from the executor that next() runs on. */
    virtual void close() = 0;
};

/** One call of a plain service. */
struct ServiceRequest {
    AttemptId attempt;
    HttpRequest request;
    /** True when the call may not be repeated: it goes out on a connection of its own. */
    bool isOnce = false;
};

//==============================================================================
/**
    Speaks one protocol of backend servers. Plug-ins register under the protocol's name.

    Thread safety: every method may be called from any thread; a coroutine must run on a strand.

    @see PluginRegistry
*/
class BackendProtocol {
public:
    virtual ~BackendProtocol() = default;

    /** Reads an engine's state. */
    virtual boost::asio::awaitable<Result<EngineState, BackendErrorCode>> readState(BackendServer, Instant deadline) = 0;
    /** Gives an engine an order; success means taken in, not carried out. */
    virtual boost::asio::awaitable<Result<void, BackendErrorCode>> sendOrder(BackendServer, EngineOrder, Instant deadline) = 0;
    /** Starts an answer; comes back once the engine has accepted the request. */
    virtual boost::asio::awaitable<Result<std::unique_ptr<TokenStream>, BackendErrorCode>> infer(BackendServer, InferRequest, Instant deadline) = 0;
    /** Calls a plain service and reads its whole answer; an answer of another attempt is an error. */
    virtual boost::asio::awaitable<Result<HttpResponse, BackendErrorCode>> callService(BackendServer, ServiceRequest, Instant deadline) = 0;
};

} // namespace hemlockchute
