#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Errors.h"
#include "hemlockchute/http/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace hemlockchute {

class RequestBufferBudget;

enum class HttpServerErrorCode {
    ListenFailed
};

//==============================================================================
/**
    One request and the means to answer it.

    Answer with respond(), or with startStream(), any number of write() calls and finish(). Each
    returns false once the connection has failed. Thread safety: only on the coroutine that the
    handler runs in, except for isCallerDisconnected().
*/
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    //==============================================================================
    /** Sends a complete response. Precondition: nothing was sent before. */
    virtual boost::asio::awaitable<bool> respond(HttpResponse) = 0;
    /** Sends the status and header, together with the first chunk unless it is empty. The body follows in chunks. Precondition: nothing was sent before. */
    virtual boost::asio::awaitable<bool> startStream(unsigned status, HttpHeaders, ByteString firstChunk = {}) = 0;
    /** Sends one chunk and waits until the connection has accepted it, at most for the write time-out. */
    virtual boost::asio::awaitable<bool> write(ByteString chunk) = 0;
    /** Completes the stream, after one more chunk unless it is empty. Without this call the caller sees a truncated body. */
    virtual boost::asio::awaitable<bool> finish(ByteString lastChunk = {}) = 0;

    //==============================================================================
    /** Calls back once, on the connection's executor, if the caller disconnects before the answer is complete. */
    virtual void onCallerDisconnect(std::function<void()>) = 0;
    /** True once the caller has closed the connection. */
    virtual bool isCallerDisconnected() const = 0;
};

//==============================================================================
/**
    Accepts connections and runs a handler for each request.

    A header or body above its limit is answered 431 or 413 and a malformed request 400, and the
    connection is closed. A connection without a request is closed after the idle time-out, one whose
    request is incomplete after the read time-out, and one whose caller is too slow to accept a chunk
    after the write time-out. A body is read only as there is memory for it in the budget; a request
    that waits for it longer than the read time-out, or that arrives too slowly while others wait, is
    answered 503. A connection beyond the limit, or for which there is no descriptor, replaces the one that
    has been idle longest, or else requests of which no byte has come for a second; these are answered 503.
    Thread safety: every method may be called from any thread.

    @see HttpExchange, RequestBufferBudget
*/
class HttpServer {
public:
    using Handler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

    /** Limits on time and memory. */
    struct Options {
        std::size_t maximumHeaderBytes = 16U << 10U;
        std::size_t maximumBodyBytes = 4U << 20U;
        std::size_t maximumConnections = 4096;
        Duration idleTimeout = 60s;
        Duration readTimeout = 10s;
        Duration writeTimeout = 10s;
        /** True if the io_context runs on one thread, so that connections need no strands. */
        bool isSingleThreaded = false;

        Options withMaximumHeaderBytes(std::size_t) const;
        Options withMaximumBodyBytes(std::size_t) const;
        Options withMaximumConnections(std::size_t) const;
        Options withIdleTimeout(Duration) const;
        Options withReadTimeout(Duration) const;
        Options withWriteTimeout(Duration) const;
        Options withSingleThread() const;
    };

    /** The servers of a process share a budget for the memory of requests; without one, this server has its own of the default size. */
    HttpServer(boost::asio::io_context&, Options, Handler, std::shared_ptr<RequestBufferBudget> requestMemory = nullptr);
    ~HttpServer();

    /** Listens and starts to accept connections. Port 0 selects any free port. Precondition: not listening yet. */
    Result<boost::asio::ip::tcp::endpoint, HttpServerErrorCode> listen(const boost::asio::ip::tcp::endpoint&);
    /** Sets the limits for requests read from now on. */
    void setOptions(Options);
    /** Closes connections that are idle after a request, and every other one after its answer. Still accepts new connections. */
    void disableKeepAlive();
    /** Stops accepting, closes idle connections, waits for the requests in progress, then calls `done` once. */
    void drain(std::function<void()> done);
    /** Number of open connections. */
    std::size_t connectionCount() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute
