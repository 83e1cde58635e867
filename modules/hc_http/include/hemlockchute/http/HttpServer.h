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

enum class HttpServerErrorCode {
    ListenFailed
};

//==============================================================================
/**
    One request and the way to answer it.

    Answer with respond(), or with startStream(), any number of write() and finish(). Each returns
    false once the connection is of no more use. Thread safety: only on the coroutine that the
    handler runs in, except for isCallerDisconnected().
*/
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    //==============================================================================
    /** Sends a whole response. Precondition: nothing was sent before. */
    virtual boost::asio::awaitable<bool> respond(HttpResponse) = 0;
    /** Sends status and header, and the first chunk with them if there is one; the body follows in chunks. Precondition: nothing was sent before. */
    virtual boost::asio::awaitable<bool> startStream(unsigned status, HttpHeaders, ByteString firstChunk = {}) = 0;
    /** Sends one chunk and waits until the connection took it, at most the write timeout. */
    virtual boost::asio::awaitable<bool> write(ByteString chunk) = 0;
    /** Ends the stream in good order, after one more chunk if there is one; without it the caller sees a broken body. */
    virtual boost::asio::awaitable<bool> finish(ByteString lastChunk = {}) = 0;

    //==============================================================================
    /** Calls back once, on the connection's executor, if the caller closes before the answer is complete. */
    virtual void onCallerDisconnect(std::function<void()>) = 0;
    /** True once the caller has closed. */
    virtual bool isCallerDisconnected() const = 0;
};

//==============================================================================
/**
    Accepts connections and runs a handler for each request.

    A header or body above its bound is answered 431 or 413, a malformed request 400, and the
    connection closed; a silent connection is closed after the idle timeout, and a reader too slow
    to take a chunk within the write timeout is cut off. Thread safety: every method may be called
    from any thread.

    @see HttpExchange
*/
class HttpServer {
public:
    using Handler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

    /** Bounds on time and memory. */
    struct Options {
        std::size_t maximumHeaderBytes = 16U << 10U;
        std::size_t maximumBodyBytes = 4U << 20U;
        std::size_t maximumConnections = 4096;
        Duration idleTimeout = 60s;
        Duration readTimeout = 10s;
        Duration writeTimeout = 10s;
        /** True when the io_context runs one thread, so that connections need no strands. */
        bool isSingleThreaded = false;

        Options withMaximumHeaderBytes(std::size_t) const;
        Options withMaximumBodyBytes(std::size_t) const;
        Options withMaximumConnections(std::size_t) const;
        Options withIdleTimeout(Duration) const;
        Options withReadTimeout(Duration) const;
        Options withWriteTimeout(Duration) const;
        Options withSingleThread() const;
    };

    HttpServer(boost::asio::io_context&, Options, Handler);
    ~HttpServer();

    /** Listens and begins to accept. Port 0 takes any free port. Precondition: not listening yet. */
    Result<boost::asio::ip::tcp::endpoint, HttpServerErrorCode> listen(const boost::asio::ip::tcp::endpoint&);
    /** Sets the bounds for requests read from now on. */
    void setOptions(Options);
    /** Closes idle connections, and every other one after its answer; goes on accepting. */
    void disableKeepAlive();
    /** Accepts no more, lets the requests in progress end, closes idle connections, then calls `done` once. */
    void drain(std::function<void()> done);
    /** Connections open now. */
    std::size_t connectionCount() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute
