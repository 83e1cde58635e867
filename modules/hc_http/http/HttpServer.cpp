#include "hemlockchute/http/HttpServer.h"

#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/core/ListenSocket.h"
#include "http/BeastMessages.h"
#include "http/ConnectionTable.h"
#include "http/ReloadableOptions.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_cat.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

namespace hemlockchute {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr Duration acceptRetryDelay = 50ms;
/** While draining, the time for the first request of a connection to start arriving; longer than the latency between regions. */
constexpr Duration firstRequestTimeout = 500ms;
constexpr unsigned httpVersion = 11;

unsigned statusForReadError(beast::error_code error)
{
    static const std::pair<beast::error_code, unsigned> statuses[] = {
        { http::error::header_limit, 431 }, { http::error::body_limit, 413 }, { http::error::buffer_overflow, 431 }
    };
    for (const auto& [code, status] : statuses) {
        if (error == code)
            return status;
    }
    return 400;
}

HttpResponse readErrorResponse(beast::error_code error)
{
    std::string body = "{\"title\":\"the request cannot be read: " + error.message() + "\",\"outcome\":\"not-run\"}";
    return { statusForReadError(error), { { "Content-Type", "application/problem+json" } }, body };
}

std::string headerText(const http::response<http::empty_body>& message)
{
    std::ostringstream text;
    text << message.base();
    return text.str();
}

//==============================================================================
using Connections = ConnectionTable<class Connection>;

/** An accepted connection. Reads requests one after the other and runs the handler for each. */
class Connection : public HttpExchange, public std::enable_shared_from_this<Connection> {
public:
    Connection(tcp::socket socket, std::shared_ptr<const ReloadableOptions> options, HttpServer::Handler handler, std::shared_ptr<Connections> table)
        : m_stream(std::move(socket))
        , m_reloadableOptions(std::move(options))
        , m_handler(std::move(handler))
        , m_table(std::move(table))
    {
    }

    asio::awaitable<void> run()
    {
        bool mayContinue = true;
        while (mayContinue && (m_isUnused || !m_table->isDraining())) {
            mayContinue = co_await readRequest();
            m_isUnused = false;
            if (mayContinue)
                mayContinue = co_await handleRequest();
        }
    }

    /** Closes the connection and removes it from the table. */
    void end()
    {
        close();
        m_table->remove(shared_from_this());
    }

    /** Closes the connection unless a request is in progress or arriving. A connection that has not had a request yet stays open; when the server drains, it stays open until the first-request time-out. Thread safety: any thread. */
    void closeIfIdle(bool isStop)
    {
        asio::post(m_stream.get_executor(), [self = shared_from_this(), isStop] {
            if (!self->m_isUnused)
                self->closeUnlessBusy();
            else if (isStop)
                self->closeAfterFirstRequestTimeout();
        });
    }

    //==============================================================================
    const HttpRequest& request() const override { return m_request; }

    asio::awaitable<bool> respond(HttpResponse response) override
    {
        http::response<http::string_body> message(static_cast<http::status>(response.status), httpVersion);
        headersToBeast(response.headers, message);
        message.body() = std::move(response.body);
        message.keep_alive(mayKeepAlive());
        message.prepare_payload();
        m_isAnswered = true;
        m_stream.expires_after(m_options.writeTimeout);
        beast::error_code error;
        co_await http::async_write(m_stream, message, asio::redirect_error(asio::use_awaitable, error));
        co_return finishAnswer(error);
    }

    asio::awaitable<bool> startStream(unsigned status, HttpHeaders headers, ByteString firstChunk) override
    {
        http::response<http::empty_body> message(static_cast<http::status>(status), httpVersion);
        headersToBeast(headers, message);
        message.keep_alive(mayKeepAlive());
        message.chunked(true);
        m_isAnswered = true;
        std::string header = headerText(message);
        beast::error_code error;
        if (firstChunk.empty())
            error = co_await send(asio::const_buffer(asio::buffer(header)));
        else
            error = co_await send(beast::buffers_cat(asio::const_buffer(asio::buffer(header)), http::make_chunk(asio::const_buffer(asio::buffer(firstChunk)))));
        co_return completeWrite(error);
    }

    asio::awaitable<bool> write(ByteString chunk) override
    {
        if (m_isBroken || chunk.empty())
            co_return !m_isBroken;
        m_stream.expires_after(m_options.writeTimeout);
        beast::error_code error;
        co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(chunk)), asio::redirect_error(asio::use_awaitable, error));
        co_return completeWrite(error);
    }

    asio::awaitable<bool> finish(ByteString lastChunk) override
    {
        if (m_isBroken)
            co_return false;
        beast::error_code error;
        if (lastChunk.empty())
            error = co_await send(http::make_chunk_last());
        else
            error = co_await send(beast::buffers_cat(http::make_chunk(asio::const_buffer(asio::buffer(lastChunk))), http::make_chunk_last()));
        co_return finishAnswer(error);
    }

    void onCallerDisconnect(std::function<void()> callback) override
    {
        if (isCallerDisconnected())
            asio::post(m_stream.get_executor(), std::move(callback));
        else
            m_onCallerDisconnect = std::move(callback);
    }

    bool isCallerDisconnected() const override { return m_isCallerDisconnected; }

private:
    bool mayKeepAlive() const { return m_keepAlive && !m_table->isKeepAliveDisabled(); }

    void closeUnlessBusy()
    {
        beast::error_code error;
        bool isArriving = m_isReading || m_stream.socket().available(error) > 0;
        if (m_isHandlingRequest || isArriving)
            return;
        m_isClosed = true;
        close();
    }

    void closeAfterFirstRequestTimeout()
    {
        auto timer = std::make_shared<asio::steady_timer>(m_stream.get_executor(), firstRequestTimeout);
        timer->async_wait([self = shared_from_this(), timer](beast::error_code) {
            if (self->m_isUnused)
                self->closeUnlessBusy();
        });
    }

    template <typename Buffers>
    asio::awaitable<beast::error_code> send(Buffers buffers)
    {
        m_stream.expires_after(m_options.writeTimeout);
        beast::error_code error;
        co_await asio::async_write(m_stream, buffers, asio::redirect_error(asio::use_awaitable, error));
        co_return error;
    }

    bool completeWrite(beast::error_code error)
    {
        m_stream.expires_never();
        if (error)
            handleCallerDisconnect();
        return !error;
    }

    bool finishAnswer(beast::error_code error)
    {
        m_isFinished = true;
        return completeWrite(error);
    }

    void handleCallerDisconnect()
    {
        m_isBroken = true;
        m_isCallerDisconnected = true;
        if (auto callback = std::exchange(m_onCallerDisconnect, nullptr); callback && !m_isFinished)
            callback();
    }

    void close()
    {
        beast::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        m_stream.close();
    }

    asio::awaitable<bool> readRequest()
    {
        m_options = m_reloadableOptions->load();
        m_buffer.max_size(m_options.maximumHeaderBytes + m_options.maximumBodyBytes + readSizeBytes);
        bool hasBytes = m_buffer.size() > 0;
        if (!hasBytes)
            hasBytes = co_await waitForFirstByte();
        if (!hasBytes)
            co_return false;
        m_isReading = true;
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(m_options.maximumHeaderBytes));
        parser.body_limit(m_options.maximumBodyBytes);
        beast::error_code error;
        m_stream.expires_after(m_options.readTimeout);
        co_await http::async_read(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        m_stream.expires_never();
        m_isReading = false;
        // A request that arrived before this side closed the connection is not handled, since it could not be answered.
        if (m_isClosed)
            co_return false;
        if (error) {
            co_await refuse(error);
            co_return false;
        }
        storeRequest(parser);
        co_return true;
    }

    asio::awaitable<bool> waitForFirstByte()
    {
        m_stream.expires_after(m_options.idleTimeout);
        beast::error_code error;
        std::size_t count = co_await m_stream.async_read_some(m_buffer.prepare(readSizeBytes), asio::redirect_error(asio::use_awaitable, error));
        m_buffer.commit(count);
        co_return !error;
    }

    void storeRequest(http::request_parser<http::string_body>& parser)
    {
        auto message = parser.release();
        m_keepAlive = message.keep_alive();
        m_request.method = std::string(message.method_string());
        m_request.target = std::string(message.target());
        m_request.headers = headersFromBeast(message);
        m_request.body = std::move(message.body());
        m_isAnswered = m_isFinished = m_isBroken = false;
        m_onCallerDisconnect = nullptr;
    }

    asio::awaitable<void> refuse(beast::error_code error)
    {
        if (error == http::error::end_of_stream || error == beast::error::timeout || error == asio::error::operation_aborted || error == asio::error::connection_reset)
            co_return;
        m_keepAlive = false;
        co_await respond(readErrorResponse(error));
    }

    asio::awaitable<bool> handleRequest()
    {
        m_isHandlingRequest = true;
        watchForDisconnect();
        try {
            co_await m_handler(*this);
        } catch (const std::exception& error) {
            logHandlerFailed(error.what());
        }
        if (!m_isAnswered && !m_isBroken)
            co_await respond(HttpResponse::text(500, "no answer was made\n"));
        m_isHandlingRequest = false;
        beast::error_code ignored;
        m_stream.socket().cancel(ignored);
        co_return m_isFinished && !m_isBroken && mayKeepAlive();
    }

    // Coroutines hold no braced lists (docs/STYLE.md), so their log lines are written here.
    void logHandlerFailed(std::string_view reason) const
    {
        logEvent(EventId::DaemonHandlerFailed, { { "request", m_request.target }, { "reason", reason } });
    }

    /** Detects a caller that disconnects while its request is in progress, or has done so while it was read. */
    void watchForDisconnect()
    {
        m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
            bool isWatched = !error && self->m_isHandlingRequest;
            if (isWatched && self->checkForDisconnect() == asio::error::would_block) {
                // The notification was for bytes that had been read before the wait began.
                self->watchForDisconnect();
            }
        });
        // A close that came before the wait began causes no further notification.
        checkForDisconnect();
    }

    /** Returns the result of looking for bytes from the caller. */
    beast::error_code checkForDisconnect()
    {
        char byte = 0;
        beast::error_code error;
        if (!m_stream.socket().non_blocking())
            m_stream.socket().non_blocking(true, error);
        std::size_t count = m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        bool isClosed = (error && error != asio::error::would_block) || (!error && count == 0);
        if (isClosed)
            handleCallerDisconnect();
        return error;
    }

    static constexpr std::size_t readSizeBytes = 8192;

    beast::tcp_stream m_stream;
    std::shared_ptr<const ReloadableOptions> m_reloadableOptions;
    HttpServer::Options m_options;
    HttpServer::Handler m_handler;
    std::shared_ptr<Connections> m_table;
    beast::flat_buffer m_buffer;
    HttpRequest m_request;
    std::function<void()> m_onCallerDisconnect;
    std::atomic<bool> m_isCallerDisconnected { false };
    bool m_isHandlingRequest = false;
    /** True while a request is being read, from its first byte to its last. */
    bool m_isReading = false;
    /** True until the first request has been read. */
    bool m_isUnused = true;
    /** True once this side has closed the connection between two requests. */
    bool m_isClosed = false;
    bool m_keepAlive = true;
    bool m_isAnswered = false;
    bool m_isFinished = false;
    bool m_isBroken = false;
};

} // namespace

//==============================================================================
struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    Impl(asio::io_context& ioContext, Options serverOptions, Handler requestHandler)
        : context(ioContext)
        , options(std::make_shared<ReloadableOptions>(serverOptions))
        , handler(std::move(requestHandler))
        , acceptor(asio::make_strand(ioContext))
    {
    }

    asio::awaitable<void> acceptLoop()
    {
        auto self = shared_from_this();
        while (acceptor.is_open()) {
            beast::error_code error;
            asio::any_io_executor executor = context.get_executor();
            if (!options->load().isSingleThreaded)
                executor = asio::make_strand(context);
            tcp::socket socket = co_await acceptor.async_accept(executor, asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
                co_return;
            if (error) {
                co_await pause();
                continue;
            }
            startConnection(std::move(socket));
        }
    }

    asio::awaitable<void> pause()
    {
        asio::steady_timer timer(acceptor.get_executor(), acceptRetryDelay);
        beast::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    /** Accepts the connections that are in the listen queue, since closing the listening socket would reset them. */
    void acceptPending()
    {
        beast::error_code error;
        acceptor.non_blocking(true, error);
        while (!error) {
            asio::any_io_executor executor = context.get_executor();
            if (!options->load().isSingleThreaded)
                executor = asio::make_strand(context);
            tcp::socket socket(executor);
            acceptor.accept(socket, error);
            if (!error)
                startConnection(std::move(socket));
        }
    }

    void startConnection(tcp::socket socket)
    {
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto executor = socket.get_executor();
        auto connection = std::make_shared<Connection>(std::move(socket), options, handler, table);
        if (!table->add(connection, options->load().maximumConnections))
            return;
        asio::co_spawn(
            executor, [connection] { return connection->run(); }, [connection](const std::exception_ptr&) { connection->end(); });
    }

    asio::io_context& context;
    std::shared_ptr<ReloadableOptions> options;
    Handler handler;
    tcp::acceptor acceptor;
    std::shared_ptr<Connections> table = std::make_shared<Connections>();
};

HttpServer::HttpServer(asio::io_context& context, Options options, Handler handler)
    : m_impl(std::make_shared<Impl>(context, options, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    beast::error_code ignored;
    m_impl->acceptor.close(ignored);
}

Result<tcp::endpoint, HttpServerErrorCode> HttpServer::listen(const tcp::endpoint& endpoint)
{
    tcp::acceptor& acceptor = m_impl->acceptor;
    beast::error_code error = openListeningSocket(acceptor, endpoint);
    if (error)
        return failure(HttpServerErrorCode::ListenFailed, endpoint.address().to_string() + ":" + std::to_string(endpoint.port()) + ": " + error.message());
    asio::co_spawn(
        acceptor.get_executor(), [impl = m_impl] { return impl->acceptLoop(); }, asio::detached);
    return acceptor.local_endpoint();
}

void HttpServer::setOptions(Options options)
{
    m_impl->options->store(options);
}

void HttpServer::disableKeepAlive()
{
    for (const auto& connection : m_impl->table->disableKeepAlive())
        connection->closeIfIdle(false);
}

void HttpServer::drain(std::function<void()> done)
{
    asio::post(m_impl->acceptor.get_executor(), [impl = m_impl, done = std::move(done)]() mutable {
        impl->acceptPending();
        beast::error_code ignored;
        impl->acceptor.close(ignored);
        // Posted, so that a connection accepted just before is added to the table first.
        asio::post(impl->acceptor.get_executor(), [impl, done = std::move(done)]() mutable {
            for (const auto& connection : impl->table->drain(std::move(done)))
                connection->closeIfIdle(true);
        });
    });
}

std::size_t HttpServer::connectionCount() const
{
    return m_impl->table->size();
}

} // namespace hemlockchute
