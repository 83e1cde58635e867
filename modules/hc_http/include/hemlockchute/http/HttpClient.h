#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Errors.h"
#include "hemlockchute/http/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace hemlockchute {

enum class HttpClientErrorCode {
    /** The connection failed before any byte of the request was sent. */
    NotConnected,
    /** The peer's host refused the connection, since no process listens at the port. Nothing was sent. */
    ConnectionRefused,
    /** The connection was lost before a complete answer arrived. All or part of the request may have been sent. */
    ConnectionLost,
    /** The deadline passed before a complete answer arrived. All or part of the request may have been sent. */
    TimedOut,
    /** The answer is not valid HTTP. */
    Malformed,
    /** The answer exceeds its size limit. */
    TooLarge,
    /** A read was interrupted; the next one continues. */
    Interrupted
};

/** True if no byte of the request can have reached the peer. */
constexpr bool isCertainlyNotSent(HttpClientErrorCode code)
{
    return code == HttpClientErrorCode::NotConnected || code == HttpClientErrorCode::ConnectionRefused;
}

//==============================================================================
/**
    A response that is read in pieces, its head first.

    Destroying it before the end of the body closes its connection. Thread safety: one coroutine at
    a time; close() from the same executor.
*/
class HttpResponseStream {
public:
    virtual ~HttpResponseStream() = default;

    /** Reads up to the end of the head; interim responses before it are skipped. Call it before the other methods; HttpClient::open() has done so. */
    virtual boost::asio::awaitable<Result<void, HttpClientErrorCode>> readHead(Instant deadline) = 0;
    virtual unsigned status() const = 0;
    virtual const HttpHeaders& headers() const = 0;
    /** True if neither a length nor chunks delimit the body, which then ends with its connection. Precondition: the head was read. */
    virtual bool endsWithConnection() const = 0;
    /** True if the connection carried another request before, so that bytes of that request's answer may be left on it. */
    virtual bool isOnReusedConnection() const = 0;
    /** The next piece, or std::nullopt at the end of the body. A truncated body is an error; so is one without a length if the connection broke while the request was sent. */
    virtual boost::asio::awaitable<Result<std::optional<ByteString>, HttpClientErrorCode>> read(Instant deadline) = 0;
    /** True once the whole request has been written. */
    virtual bool isRequestSent() const = 0;
    /** Makes the read in progress, or else the next one, fail with Interrupted, and keeps the connection. Precondition: isRequestSent(). */
    virtual void interrupt() = 0;
    /** Closes the connection. A read in progress fails. */
    virtual void close() = 0;
};

//==============================================================================
/**
    Cancels a call of HttpClient::send() or open() until the answer's header has been read.

    Thread safety: on the executor of the waiting coroutine.
*/
class HttpCallHandle {
public:
    /** Closes the connection. The call fails, also if it has not started yet. */
    void cancel();
    bool isCancelled() const { return m_isCancelled; }
    /** Sets a condition that is checked once the connection is established, just before the first byte is sent. If it is false, the call fails with NotConnected. */
    void setSendCondition(std::function<bool()> condition) { m_condition = std::move(condition); }

private:
    friend class HttpClient;
    friend class ScopedHttpCall;
    bool maySend() const { return !m_condition || m_condition(); }

    bool m_isCancelled = false;
    std::function<bool()> m_condition;
    std::function<void()> m_close;
};

//==============================================================================
/**
    Sends requests over pooled connections, one pool per endpoint.

    When a request times out on a pooled connection, every idle connection to that endpoint is closed
    with it, so that the next request opens a new one. An idle connection is not used past the time in
    the peer's Keep-Alive header. When a request is abandoned, its connection is reset: what the peer's
    host has not received yet is dropped, and no part of it arrives later, when a failed link works
    again. The client never retries a request. What is not a valid response is Malformed.

    Thread safety: every method may be called from any thread; a coroutine must run on a strand or on
    a single thread.
*/
class HttpClient {
public:
    /** Limits on time and memory. */
    struct Options {
        Duration connectTimeout = 1s;
        /** Maximum number of idle connections per endpoint. */
        std::size_t maximumIdleConnections = 32;
        /** A pooled connection that has been idle for longer is closed instead of reused. */
        Duration idleTimeout = 20s;
        /** A connection used within this time counts as open; see ConnectionUse::RecentlyUsed. */
        Duration recentUseWindow = 300ms;
        /** TCP_USER_TIMEOUT: closes a connection on which sent bytes stay unacknowledged for this long; 0 uses the system's default. Does not apply to requests with long bodies. */
        std::chrono::milliseconds acknowledgeTimeout { 0 };
        /** Chunk heads and trailers may have about as many bytes. */
        std::size_t maximumHeaderBytes = 16U << 10U;
        /** Applies to send() only; a caller of open() limits the body itself. */
        std::size_t maximumBodyBytes = 16U << 20U;
        /** Applies to all calls of send() together; short bodies are read whatever the others take. */
        std::size_t maximumTotalBodyBytes = 64U << 20U;

        Options withConnectTimeout(Duration) const;
        Options withAcknowledgeTimeout(std::chrono::milliseconds) const;
        Options withMaximumIdleConnections(std::size_t) const;
        Options withIdleTimeout(Duration) const;
        Options withMaximumBodyBytes(std::size_t) const;
        Options withMaximumTotalBodyBytes(std::size_t) const;
    };

    enum class ConnectionUse {
        Pooled,
        /** Reuses an idle connection only within Options::recentUseWindow of its last use: for requests whose loss would leave their outcome unknown. */
        RecentlyUsed,
        /** Opens a new connection: for requests that must not be repeated, and to distinguish a silent connection from a dead host. */
        Fresh,
        /** As Fresh, and closes the connection after the answer: for answers that do not identify their request. */
        SingleUse
    };

    explicit HttpClient(Options);
    ~HttpClient();

    /** Sends a request and reads the complete answer. */
    boost::asio::awaitable<Result<HttpResponse, HttpClientErrorCode>> send(boost::asio::ip::tcp::endpoint, HttpRequest, Instant deadline, ConnectionUse = ConnectionUse::Pooled, std::shared_ptr<HttpCallHandle> = nullptr);
    /** Sends a request and reads the answer up to the end of its header, possibly while a long request is still being sent. Sets the Host header unless the request has one. */
    boost::asio::awaitable<Result<std::unique_ptr<HttpResponseStream>, HttpClientErrorCode>> open(boost::asio::ip::tcp::endpoint, HttpRequest, Instant deadline, ConnectionUse = ConnectionUse::Pooled, std::shared_ptr<HttpCallHandle> = nullptr);
    /** As open(), but returns once the connection stands and the request is being sent. The handle has no effect after that. */
    boost::asio::awaitable<Result<std::unique_ptr<HttpResponseStream>, HttpClientErrorCode>> begin(boost::asio::ip::tcp::endpoint, HttpRequest, Instant deadline, ConnectionUse = ConnectionUse::Pooled, std::shared_ptr<HttpCallHandle> = nullptr);
    /** Opens a connection and keeps it idle for a later request; tells whether the peer still accepts connections. */
    boost::asio::awaitable<Result<void, HttpClientErrorCode>> openIdle(boost::asio::ip::tcp::endpoint, Instant deadline);
    /** Closes idle connections that the peer has closed or on which it has sent unsolicited bytes. Call periodically. */
    void closeBrokenConnections();
    /** Closes the idle connections to an endpoint, for example when its host has left. */
    void closeIdleConnections(const boost::asio::ip::tcp::endpoint&);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute
