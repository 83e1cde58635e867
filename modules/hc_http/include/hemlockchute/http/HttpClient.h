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
    /** No connection came about: no byte of the request left this process. */
    NotConnected,
    /** The request may have left, wholly or in part; no whole answer came. */
    ConnectionLost,
    /** The request may have left; the deadline passed before a whole answer came. */
    TimedOut,
    /** The answer was not HTTP, or was cut short. */
    Malformed,
    /** The answer passed its bound. */
    TooLarge
};

/** True when no byte of the request can have reached the other side. */
constexpr bool isCertainlyNotSent(HttpClientErrorCode code)
{
    return code == HttpClientErrorCode::NotConnected;
}

//==============================================================================
/**
    An answer whose body is read piece by piece.

    Destroying it before the end closes its connection. Thread safety: one coroutine at a time;
    close() from the same executor.
*/
class HttpResponseStream {
public:
    virtual ~HttpResponseStream() = default;

    virtual unsigned status() const = 0;
    virtual const HttpHeaders& headers() const = 0;
    /** True when the connection carried another request before: bytes may be left of that one's answer. */
    virtual bool isOnReusedConnection() const = 0;
    /** The next piece, or nothing after the body's own end; a body cut short is an error. */
    virtual boost::asio::awaitable<Result<std::optional<ByteString>, HttpClientErrorCode>> read(Instant deadline) = 0;
    /** Gives up; a read in progress fails. */
    virtual void close() = 0;
};

//==============================================================================
/**
    Lets the caller of HttpClient::open() give up while it waits.

    Thread safety: on the executor of the waiting coroutine.
*/
class HttpCallHandle {
public:
    /** Closes the connection; the call fails, as does one that has not begun. */
    void cancel();
    bool isCancelled() const { return m_isCancelled; }
    /** Sets what is asked once the connection stands, just before the first byte: the call is given up unless it is true. */
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

    A pooled connection that went silent is found out by its deadline and closed together with
    every idle connection to that endpoint, so that the next request dials anew. The time that the
    other side says it keeps an idle connection is kept to. A request that is given up is taken back
    as far as the other side's host has not got it: its connection is reset, so that no part of it
    arrives once a link is whole again. The client never repeats a request by itself. Thread safety: every method may be called from any thread; a
    coroutine must run on a strand or on a single thread.
*/
class HttpClient {
public:
    /** Bounds on time and memory. */
    struct Options {
        Duration connectTimeout = 1s;
        /** Idle connections kept per endpoint. */
        std::size_t maximumIdleConnections = 32;
        /** A pooled connection idle for longer is closed instead of used. */
        Duration idleTimeout = 20s;
        /** A connection used within this time counts as known to be open. */
        Duration recentUseWindow = 300ms;
        /** Bytes that the other side's host does not acknowledge for so long end the connection; 0 leaves it to the system. */
        std::chrono::milliseconds acknowledgeTimeout { 0 };
        std::size_t maximumHeaderBytes = 16U << 10U;
        /** For send(); who reads a body piece by piece bounds it. */
        std::size_t maximumBodyBytes = 16U << 20U;

        Options withConnectTimeout(Duration) const;
        Options withAcknowledgeTimeout(std::chrono::milliseconds) const;
        Options withMaximumIdleConnections(std::size_t) const;
        Options withIdleTimeout(Duration) const;
        Options withMaximumBodyBytes(std::size_t) const;
    };

    enum class ConnectionUse {
        Pooled,
        /** An idle connection only if it was used just now: for requests whose loss would leave their outcome unknown. */
        RecentlyUsed,
        /** Dials a connection of its own: for requests that may not be repeated, and to tell a silent connection from a dead host. */
        Fresh,
        /** As Fresh, and closes it after the answer: for answers that do not say which request they belong to. */
        SingleUse
    };

    explicit HttpClient(Options);
    ~HttpClient();

    /** Sends a request and reads the whole answer. */
    boost::asio::awaitable<Result<HttpResponse, HttpClientErrorCode>> send(boost::asio::ip::tcp::endpoint, HttpRequest, Instant deadline, ConnectionUse = ConnectionUse::Pooled, std::shared_ptr<HttpCallHandle> = nullptr);
    /** Sends a request and reads the answer up to the end of its header; the rest of a long request goes on meanwhile. A Host header of the request's own is kept. */
    boost::asio::awaitable<Result<std::unique_ptr<HttpResponseStream>, HttpClientErrorCode>> open(boost::asio::ip::tcp::endpoint, HttpRequest, Instant deadline, ConnectionUse = ConnectionUse::Pooled, std::shared_ptr<HttpCallHandle> = nullptr);
    /** Closes idle connections that the other side has closed, or sent something on that nobody asked for. Call now and then. */
    void closeBrokenConnections();
    /** Closes the idle connections to an endpoint, as when its host has left. */
    void closeIdleConnections(const boost::asio::ip::tcp::endpoint&);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute
