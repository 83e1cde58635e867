#include "hemlockchute/http/HttpClient.h"

#include "hemlockchute/http/BufferBudget.h"
#include "http/BeastMessages.h"
#include "http/ClientConnection.h"
#include "http/ResponseHeadCheck.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdlib>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <vector>

namespace hemlockchute {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr unsigned httpVersion = 11;
constexpr std::size_t maximumPieceBytes = 16U << 10U;
/** How long after the orderly end of a connection a reset may arrive; exceeds the round-trip time between regions. */
constexpr Duration resetTransitTime = 500ms;
/** How long past the deadline bytes that have arrived are still read: an answer that is ready is delivered, also if this process was suspended. */
constexpr Duration arrivedBytesTime = 200ms;
/** Interim responses are discarded; a peer must not keep the caller busy with them. */
constexpr unsigned maximumInterimResponses = 64;
/** Fits into a peer's receive buffer, so that its host acknowledges the request whatever its process does. */
constexpr std::size_t maximumBufferedBodyBytes = 64U << 10U;

HttpClientErrorCode errorCodeFor(beast::error_code error)
{
    if (error == beast::error::timeout)
        return HttpClientErrorCode::TimedOut;
    if (error == http::error::body_limit || error == http::error::header_limit || error == http::error::buffer_overflow)
        return HttpClientErrorCode::TooLarge;
    bool isParseError = error.category() == make_error_code(http::error::bad_version).category();
    bool isEnd = error == http::error::end_of_stream || error == http::error::partial_message;
    return isParseError && !isEnd ? HttpClientErrorCode::Malformed : HttpClientErrorCode::ConnectionLost;
}

using AcknowledgeTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/** Subtracted from the peer's keep-alive time, so that the peer does not close a connection just as it is reused. */
constexpr Duration keepAliveMargin = 500ms;
/** Longer keep-alive times are cut to this one, which exceeds every idle time-out. */
constexpr unsigned long maximumKeepAliveSeconds = 24UL * 60 * 60;

/** The time in "Keep-Alive: timeout=5", if present. */
std::optional<Duration> peerKeepAliveTime(const HttpHeaders& headers)
{
    constexpr std::string_view key = "timeout=";
    auto text = headers.find("Keep-Alive");
    std::size_t at = text ? text->find(key) : std::string::npos;
    if (at == std::string::npos)
        return std::nullopt;
    return std::chrono::seconds(std::min(std::strtoul(text->c_str() + at + key.size(), nullptr, 10), maximumKeepAliveSeconds));
}

} // namespace

//==============================================================================
void HttpCallHandle::cancel()
{
    m_isCancelled = true;
    if (auto close = std::exchange(m_close, nullptr))
        close();
}

/** Connects a handle to a connection, or to an answer, while a call uses it. */
class ScopedHttpCall {
public:
    ScopedHttpCall(std::shared_ptr<HttpCallHandle> handle, ClientConnection& connection)
        : m_handle(std::move(handle))
    {
        if (m_handle)
            m_handle->m_close = [&connection] { connection.stream.close(); };
    }
    ScopedHttpCall(std::shared_ptr<HttpCallHandle> handle, HttpResponseStream& answer)
        : m_handle(std::move(handle))
    {
        if (m_handle)
            m_handle->m_close = [&answer] { answer.close(); };
    }
    ~ScopedHttpCall()
    {
        if (m_handle)
            m_handle->m_close = nullptr;
    }
    ScopedHttpCall(const ScopedHttpCall&) = delete;
    ScopedHttpCall& operator=(const ScopedHttpCall&) = delete;

private:
    std::shared_ptr<HttpCallHandle> m_handle;
};

//==============================================================================
struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
    explicit Impl(Options clientOptions)
        : options(clientOptions)
        , bodies(std::make_shared<BufferBudget>(BufferBudget::Options().withPerHolder(options.maximumBodyBytes).withTotal(options.maximumTotalBodyBytes)))
    {
    }

    /** Takes the most recently used idle connection, preferably one on the executor, since moving one costs system calls. Returns null if there is none. */
    std::unique_ptr<ClientConnection> takeIdle(const tcp::endpoint& endpoint, const asio::any_io_executor& executor, Duration maximumIdleTime)
    {
        std::lock_guard guard(lock);
        auto& connections = idle[endpoint];
        auto isOwn = [&](const auto& connection) { return connection->stream.get_executor() == executor; };
        auto own = std::find_if(connections.rbegin(), connections.rend(), isOwn);
        if (own != connections.rend())
            std::swap(*own, connections.back());
        Instant now = std::chrono::steady_clock::now();
        while (!connections.empty()) {
            auto connection = std::move(connections.back());
            connections.pop_back();
            Duration limit = std::min(maximumIdleTime, connection->keepAliveLimit.value_or(maximumIdleTime));
            if (now - connection->idleSince < limit && isReusable(*connection))
                return connection;
        }
        return nullptr;
    }

    void returnToPool(const tcp::endpoint& endpoint, std::unique_ptr<ClientConnection> connection)
    {
        if (connection->isSingleUse || connection->buffer.size() > 0 || !isReusable(*connection))
            return;
        connection->isUsed = true;
        keepIdle(endpoint, std::move(connection));
    }

    void keepIdle(const tcp::endpoint& endpoint, std::unique_ptr<ClientConnection> connection)
    {
        std::lock_guard guard(lock);
        auto& connections = idle[endpoint];
        connection->idleSince = std::chrono::steady_clock::now();
        if (connections.size() < options.maximumIdleConnections)
            connections.push_back(std::move(connection));
    }

    void closeIdleConnections(const tcp::endpoint& endpoint)
    {
        std::lock_guard guard(lock);
        idle.erase(endpoint);
    }

    void closeBrokenConnections()
    {
        std::lock_guard guard(lock);
        for (auto& [endpoint, connections] : idle)
            std::erase_if(connections, [](const auto& connection) { return !isReusable(*connection); });
        std::erase_if(idle, [](const auto& item) { return item.second.empty(); });
    }

    /** Returns an idle connection, or opens a new one before the deadline. */
    asio::awaitable<Result<std::unique_ptr<ClientConnection>, HttpClientErrorCode>> connect(tcp::endpoint endpoint, Instant deadline, ConnectionUse use, std::shared_ptr<HttpCallHandle> handle)
    {
        auto executor = co_await asio::this_coro::executor;
        if (use == ConnectionUse::Pooled || use == ConnectionUse::RecentlyUsed) {
            auto idleConnection = takeIdle(endpoint, executor, use == ConnectionUse::RecentlyUsed ? options.recentUseWindow : options.idleTimeout);
            if (idleConnection)
                idleConnection = moveToExecutor(executor, std::move(idleConnection));
            if (idleConnection)
                co_return idleConnection;
        }
        auto connection = std::make_unique<ClientConnection>(executor, options.maximumHeaderBytes + maximumPieceBytes);
        connection->isSingleUse = use == ConnectionUse::SingleUse;
        ScopedHttpCall call(handle, *connection);
        connection->stream.expires_at(std::min(deadline, std::chrono::steady_clock::now() + options.connectTimeout));
        beast::error_code error;
        co_await connection->stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return failure(error == asio::error::connection_refused ? HttpClientErrorCode::ConnectionRefused : HttpClientErrorCode::NotConnected, error.message());
        beast::error_code ignored;
        connection->stream.socket().set_option(tcp::no_delay(true), ignored);
        // An abandoned request must not arrive later: with a linger time of 0, closing drops what the peer has not acknowledged and resets the connection.
        connection->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        if (options.acknowledgeTimeout.count() > 0)
            connection->stream.socket().set_option(AcknowledgeTimeout(static_cast<int>(options.acknowledgeTimeout.count())), ignored);
        co_return connection;
    }

    Options options;
    /** For the bodies that send() reads. */
    std::shared_ptr<BufferBudget> bodies;
    std::mutex lock;
    std::map<tcp::endpoint, std::vector<std::unique_ptr<ClientConnection>>> idle;
};

namespace {

/** A response read in pieces. Returns its connection to the pool at the end of the body. */
template <typename ClientImpl>
class BeastResponseStream : public HttpResponseStream {
public:
    BeastResponseStream(std::shared_ptr<ClientImpl> client, tcp::endpoint endpoint, std::unique_ptr<ClientConnection> connection, std::shared_ptr<RequestWrite> write)
        : m_client(std::move(client))
        , m_endpoint(std::move(endpoint))
        , m_connection(std::move(connection))
        , m_write(std::move(write))
        , m_isOnReusedConnection(m_connection->isUsed)
    {
        resetParser();
    }

    asio::awaitable<Result<void, HttpClientErrorCode>> readHead(Instant deadline) override
    {
        while (true) {
            auto read = co_await readNextHead(deadline);
            if (!read)
                co_return read;
            std::string_view fault = responseHeadFault(m_parser->get().base());
            if (!fault.empty())
                co_return fail(HttpClientErrorCode::Malformed, std::string(fault));
            if (!isInterimResponse(m_parser->get().base()))
                break;
            if (++m_interimResponses > maximumInterimResponses)
                co_return fail(HttpClientErrorCode::TooLarge, "too many interim responses");
            resetParser();
        }
        m_headers = headersFromBeast(m_parser->get());
        if (auto time = peerKeepAliveTime(m_headers))
            m_connection->keepAliveLimit = std::max<Duration>(*time - keepAliveMargin, Duration::zero());
        co_return Result<void, HttpClientErrorCode> {};
    }

    unsigned status() const override { return m_parser->get().result_int(); }
    const HttpHeaders& headers() const override { return m_headers; }
    bool endsWithConnection() const override { return m_parser->need_eof(); }
    bool isOnReusedConnection() const override { return m_isOnReusedConnection; }

    asio::awaitable<Result<std::optional<ByteString>, HttpClientErrorCode>> read(Instant deadline) override
    {
        if (!m_connection)
            co_return std::optional<ByteString>();
        if (std::exchange(m_isInterrupted, false))
            co_return failure(HttpClientErrorCode::Interrupted, "interrupted");
        ByteString piece(maximumPieceBytes, '\0');
        while (!m_parser->is_done()) {
            m_parser->get().body().data = piece.data();
            m_parser->get().body().size = piece.size();
            if (isOverdue(deadline))
                co_return fail(beast::error::timeout);
            beast::error_code error;
            m_connection->stream.expires_at(deadline);
            co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, asio::redirect_error(asio::use_awaitable, error));
            bool isInterrupted = std::exchange(m_isInterrupted, false) && error == asio::error::operation_aborted;
            if (isInterrupted)
                co_return failure(HttpClientErrorCode::Interrupted, "interrupted");
            if (error && error != http::error::need_buffer)
                co_return fail(error);
            parseBuffered();
            std::size_t count = piece.size() - m_parser->get().body().size;
            if (count == 0)
                continue;
            co_return std::optional<ByteString>(piece.substr(0, count));
        }
        bool isBroken = co_await hasBrokenBeforeEnd(deadline);
        if (isBroken)
            co_return fail(asio::error::connection_reset);
        releaseConnection();
        co_return std::optional<ByteString>();
    }

    bool isRequestSent() const override { return m_write->isDone; }

    void interrupt() override
    {
        m_isInterrupted = true;
        // Cancels all operations of the connection; the write is complete.
        if (m_connection)
            m_connection->stream.cancel();
    }

    void close() override
    {
        m_isInterrupted = false;
        if (m_connection)
            m_connection->stream.close();
    }

private:
    void resetParser()
    {
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_client->options.maximumHeaderBytes));
        m_parser->body_limit(boost::none);
        m_parser->skip(m_write->isForHead);
    }

    /** Reads one head, of an interim response or the final one. */
    asio::awaitable<Result<void, HttpClientErrorCode>> readNextHead(Instant deadline)
    {
        if (std::exchange(m_isInterrupted, false))
            co_return failure(HttpClientErrorCode::Interrupted, "interrupted");
        if (isOverdue(deadline))
            co_return fail(beast::error::timeout);
        beast::error_code error;
        m_connection->stream.expires_at(deadline);
        co_await http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, asio::redirect_error(asio::use_awaitable, error));
        bool isInterrupted = std::exchange(m_isInterrupted, false) && error == asio::error::operation_aborted;
        if (isInterrupted)
            co_return failure(HttpClientErrorCode::Interrupted, "interrupted");
        if (error && m_write->hasFailed)
            m_client->closeIdleConnections(m_endpoint);
        if (error)
            co_return fail(error);
        co_return Result<void, HttpClientErrorCode> {};
    }

    /** Continues with the bytes that have arrived, as far as there is room in the piece; a body may come in chunks of one byte. The next read meets an error that is found here. */
    void parseBuffered()
    {
        beast::error_code error;
        while (!error && !m_parser->is_done() && m_connection->buffer.size() > 0)
            m_connection->buffer.consume(m_parser->put(m_connection->buffer.data(), error));
    }

    /** True some time after the deadline. The stream's own timer ends only a read that waits: bytes that never pause would be read for ever. */
    bool isOverdue(Instant deadline)
    {
        Instant now = currentTime();
        if (now < deadline) {
            m_overdueSince.reset();
            return false;
        }
        if (!m_overdueSince)
            m_overdueSince = now;
        return now - *m_overdueSince >= arrivedBytesTime;
    }

    /**
        True if a body that ends with its connection may be incomplete, since the connection broke.

        The system reports a reset to one operation only; if that is the write of the request, the
        read sees an orderly end. A reset may also follow an orderly end, when a process has ended.
    */
    asio::awaitable<bool> hasBrokenBeforeEnd(Instant deadline)
    {
        if (!m_parser->need_eof())
            co_return false;
        if (!m_write->isDone)
            co_await m_write->awaitDone(std::min(deadline, std::chrono::steady_clock::now() + resetTransitTime));
        co_return m_write->hasFailed;
    }

    tl::unexpected<Error<HttpClientErrorCode>> fail(beast::error_code error)
    {
        if (error == beast::error::timeout)
            m_client->closeIdleConnections(m_endpoint);
        return fail(errorCodeFor(error), error.message());
    }

    tl::unexpected<Error<HttpClientErrorCode>> fail(HttpClientErrorCode code, std::string detail)
    {
        m_connection.reset();
        return failure(code, std::move(detail));
    }

    /** True if bytes of a body may follow that the status does not allow. */
    bool mayLeaveBytes() const
    {
        constexpr unsigned statusNoContent = 204;
        return status() == statusNoContent && (m_parser->chunked() || m_parser->content_length().value_or(0) > 0);
    }

    void releaseConnection()
    {
        bool isWritten = m_write->isDone && !m_write->hasFailed;
        if (isWritten)
            m_connection->stream.expires_never();
        if (m_parser->keep_alive() && isWritten && !mayLeaveBytes())
            m_client->returnToPool(m_endpoint, std::move(m_connection));
        m_connection.reset();
    }

    std::shared_ptr<ClientImpl> m_client;
    tcp::endpoint m_endpoint;
    std::unique_ptr<ClientConnection> m_connection;
    std::shared_ptr<RequestWrite> m_write;
    bool m_isOnReusedConnection;
    /** True from interrupt() to the end of the read. */
    bool m_isInterrupted = false;
    /** Replaced after each interim response. */
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    unsigned m_interimResponses = 0;
    /** When the first read after the deadline began. */
    std::optional<Instant> m_overdueSince;
    HttpHeaders m_headers;
};

http::request<http::string_body> requestToBeast(HttpRequest request, const tcp::endpoint& endpoint)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(httpVersion);
    headersToBeast(request.headers, message);
    if (message.find(http::field::host) == message.end())
        message.set(http::field::host, endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

} // namespace

HttpClient::HttpClient(Options options)
    : m_impl(std::make_shared<Impl>(options))
{
}

HttpClient::~HttpClient() = default;

asio::awaitable<Result<std::unique_ptr<HttpResponseStream>, HttpClientErrorCode>> HttpClient::open(tcp::endpoint endpoint, HttpRequest request, Instant deadline, ConnectionUse use, std::shared_ptr<HttpCallHandle> handle)
{
    auto stream = co_await begin(endpoint, std::move(request), deadline, use, handle);
    if (!stream)
        co_return tl::unexpected(stream.error());
    ScopedHttpCall call(handle, **stream);
    auto head = co_await (*stream)->readHead(deadline);
    if (!head)
        co_return tl::unexpected(head.error());
    co_return stream;
}

asio::awaitable<Result<std::unique_ptr<HttpResponseStream>, HttpClientErrorCode>> HttpClient::begin(tcp::endpoint endpoint, HttpRequest request, Instant deadline, ConnectionUse use, std::shared_ptr<HttpCallHandle> handle)
{
    auto impl = m_impl;
    if (handle && handle->isCancelled())
        co_return failure(HttpClientErrorCode::NotConnected, "given up before it was sent");
    auto connection = co_await impl->connect(endpoint, deadline, use, handle);
    if (!connection)
        co_return tl::unexpected(connection.error());
    if (handle && !handle->maySend())
        co_return failure(HttpClientErrorCode::NotConnected, "given up before it was sent");
    // The time-out would also count the time for which a sound peer reads nothing of a long request.
    if (impl->options.acknowledgeTimeout.count() > 0 && request.body.size() > maximumBufferedBodyBytes) {
        beast::error_code ignored;
        (*connection)->stream.socket().set_option(AcknowledgeTimeout(0), ignored);
        (*connection)->isSingleUse = true;
    }
    auto write = std::make_shared<RequestWrite>();
    write->isForHead = request.method == "HEAD";
    write->message = requestToBeast(std::move(request), endpoint);
    (*connection)->stream.expires_at(deadline);
    http::async_write((*connection)->stream, write->message, [write](beast::error_code error, std::size_t) { write->noteDone(error); });
    co_return std::make_unique<BeastResponseStream<Impl>>(impl, endpoint, std::move(*connection), write);
}

asio::awaitable<Result<HttpResponse, HttpClientErrorCode>> HttpClient::send(tcp::endpoint endpoint, HttpRequest request, Instant deadline, ConnectionUse use, std::shared_ptr<HttpCallHandle> handle)
{
    auto stream = co_await open(endpoint, std::move(request), deadline, use, std::move(handle));
    if (!stream)
        co_return tl::unexpected(stream.error());
    HttpResponse response { (*stream)->status(), (*stream)->headers(), {} };
    BufferReservation buffered(m_impl->bodies);
    while (true) {
        auto piece = co_await (*stream)->read(deadline);
        if (!piece)
            co_return tl::unexpected(piece.error());
        if (!*piece)
            co_return response;
        response.body += **piece;
        if (!buffered.resize(response.body.size()))
            co_return failure(HttpClientErrorCode::TooLarge, "the body is too large, or all bodies together are");
    }
}

asio::awaitable<Result<void, HttpClientErrorCode>> HttpClient::openIdle(tcp::endpoint endpoint, Instant deadline)
{
    auto impl = m_impl;
    auto connection = co_await impl->connect(endpoint, deadline, ConnectionUse::Fresh, nullptr);
    if (!connection)
        co_return tl::unexpected(connection.error());
    (*connection)->stream.expires_never();
    impl->keepIdle(endpoint, std::move(*connection));
    co_return Result<void, HttpClientErrorCode> {};
}

void HttpClient::closeBrokenConnections()
{
    m_impl->closeBrokenConnections();
}

void HttpClient::closeIdleConnections(const tcp::endpoint& endpoint)
{
    m_impl->closeIdleConnections(endpoint);
}

} // namespace hemlockchute
