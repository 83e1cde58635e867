#include "hemlockchute/http/HttpServer.h"

#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/core/ListenSocket.h"
#include "hemlockchute/http/RequestBufferBudget.h"
#include "http/BeastMessages.h"
#include "http/ConnectionTable.h"
#include "http/ReloadableOptions.h"

#include <algorithm>
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
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
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
/** While there is no room for another connection, requests of which no byte has come for this time are given up. */
constexpr Duration stallTime = 1s;
/** How many of them are given up at once, for each connection that finds no descriptor. */
constexpr std::size_t stalledClosedAtOnce = 32;
constexpr unsigned httpVersion = 11;
constexpr unsigned statusUnavailable = 503;
/** A request that waits for memory looks for slow ones at this interval. */
constexpr Duration memoryCheckInterval = 250ms;
/** Chunk headers may add this share to the largest body, and a little for small ones. Chunks of 64 bytes need less; those of a few bytes cost more time and memory than their content. */
constexpr std::size_t chunkOverheadDivisor = 8;
constexpr std::size_t minimumChunkOverhead = 1024;
/** The memory of a header field in Beast's and in our form besides its text, and the terminators of its strings. */
constexpr std::size_t bytesPerField = 192;

bool isBodyTooLarge(beast::error_code error)
{
    return error == http::error::body_limit;
}

bool isHeaderTooLarge(beast::error_code error)
{
    return error == http::error::header_limit || error == http::error::buffer_overflow;
}

unsigned statusForReadError(beast::error_code error)
{
    if (isBodyTooLarge(error))
        return 413;
    return isHeaderTooLarge(error) ? 431 : 400;
}

HttpResponse readErrorResponse(beast::error_code error)
{
    std::string body = "{\"title\":\"the request cannot be read: " + error.message() + "\",\"outcome\":\"not-run\"}";
    return { statusForReadError(error), { { "Content-Type", "application/problem+json" } }, body };
}

HttpResponse overloadResponse(RequestRefusal refusal)
{
    std::string title = refusal == RequestRefusal::TooSlow ? "the request arrives too slowly while others wait" : "no memory for the request";
    std::string body = "{\"title\":\"" + title + "\",\"outcome\":\"not-run\"}";
    return { statusUnavailable, { { "Content-Type", "application/problem+json" }, { "Retry-After", "1" } }, body };
}

/** Bounds the memory of a header from its text, before it is parsed. */
std::size_t headerMemory(const beast::flat_buffer& buffer)
{
    const auto* text = static_cast<const char*>(buffer.data().data());
    auto lines = static_cast<std::size_t>(std::count(text, text + buffer.size(), '\n'));
    return 2 * buffer.size() + lines * bytesPerField;
}

std::size_t headerMemory(const HttpRequest& request)
{
    std::size_t bytes = request.target.capacity();
    for (const auto& [name, value] : request.headers.fields())
        bytes += name.capacity() + value.capacity() + sizeof(std::pair<std::string, std::string>);
    return bytes;
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
    Connection(tcp::socket socket, std::shared_ptr<const ReloadableOptions> options, HttpServer::Handler handler, std::shared_ptr<Connections> table, std::shared_ptr<RequestBufferBudget> budget)
        : m_stream(std::move(socket))
        , m_reloadableOptions(std::move(options))
        , m_handler(std::move(handler))
        , m_table(std::move(table))
        , m_budget(std::move(budget))
        , m_memoryTimer(m_stream.get_executor())
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
            releaseMemory();
        }
    }

    /** Since when a request that has begun to arrive has waited for its next bytes; Instant::max() if it doesn't. Thread safety: any thread. */
    Instant waitsForBytesSince() const { return m_waitsForBytesSince; }

    /** Closes the connection, which was idle or stalled when it was chosen, so that another one can have its descriptor. Thread safety: any thread. */
    void closeForAnother()
    {
        asio::post(m_stream.get_executor(), [self = shared_from_this()] {
            if (self->waitsForBytesSince() != Instant::max()) {
                self->abortStalled();
                return;
            }
            std::string caller = self->callerAddress();
            self->closeUnlessBusy();
            if (self->m_isClosed)
                self->countRefusal(RequestRefusal::IdleClosed, caller);
        });
    }

    /** Closes the connection and removes it from the table. */
    void end()
    {
        releaseMemory();
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
        message.keep_alive(mayKeepAlive());
        if (!isHeadRequest()) {
            message.body() = std::move(response.body);
            message.prepare_payload();
        }
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
        if (firstChunk.empty() || isHeadRequest())
            error = co_await send(asio::const_buffer(asio::buffer(header)));
        else
            error = co_await send(beast::buffers_cat(asio::const_buffer(asio::buffer(header)), http::make_chunk(asio::const_buffer(asio::buffer(firstChunk)))));
        co_return completeWrite(error);
    }

    asio::awaitable<bool> write(ByteString chunk) override
    {
        if (m_isBroken || chunk.empty() || isHeadRequest())
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
        if (isHeadRequest())
            co_return finishAnswer(error);
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
    /** An answer to it has no body (RFC 9110, section 9.3.2). */
    bool isHeadRequest() const { return m_request.method == "HEAD"; }
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

    //==============================================================================
    using Parser = http::request_parser<http::buffer_body>;

    asio::awaitable<bool> readRequest()
    {
        m_options = m_reloadableOptions->load();
        m_buffer.max_size(m_options.maximumHeaderBytes + readSizeBytes);
        bool hasBytes = m_buffer.size() > 0;
        if (!hasBytes)
            hasBytes = co_await waitForFirstByte();
        if (!hasBytes)
            co_return false;
        m_isReading = true;
        beginMemory();
        Parser parser;
        parser.header_limit(static_cast<std::uint32_t>(m_options.maximumHeaderBytes));
        parser.body_limit(m_options.maximumBodyBytes);
        beast::error_code error = co_await readHeader(parser);
        if (!error && !m_refusal && !parser.is_done())
            error = co_await readBody(parser);
        m_stream.expires_never();
        m_isReading = false;
        // A request that arrived before this side closed the connection is not handled, since it could not be answered.
        if (m_isClosed)
            co_return false;
        if (m_refusal || error) {
            co_await refuse(error);
            co_return false;
        }
        completeMemory();
        m_isAnswered = m_isFinished = m_isBroken = false;
        m_onCallerDisconnect = nullptr;
        co_return true;
    }

    asio::awaitable<bool> waitForFirstByte()
    {
        // Thousands of connections may be idle; their buffers are not part of the budget.
        m_buffer = beast::flat_buffer(m_buffer.max_size());
        m_table->markIdle(shared_from_this());
        m_stream.expires_after(m_options.idleTimeout);
        beast::error_code error;
        std::size_t count = co_await m_stream.async_read_some(m_buffer.prepare(firstReadSizeBytes), asio::redirect_error(asio::use_awaitable, error));
        m_buffer.commit(count);
        m_table->markBusy(shared_from_this());
        co_return !error;
    }

    /** Reads until the header is complete, and stores it. Sets m_refusal if there is no memory for it. */
    asio::awaitable<beast::error_code> readHeader(Parser& parser)
    {
        std::size_t parsedBytes = 0;
        while (true) {
            bool hasRoom = co_await reserve(m_buffer.capacity() + 2 * parsedBytes + headerMemory(m_buffer));
            if (!hasRoom)
                co_return beast::error_code();
            beast::error_code error = http::error::need_more;
            if (m_buffer.size() > 0) {
                error = {};
                std::size_t used = parser.put(m_buffer.data(), error);
                m_buffer.consume(used);
                parsedBytes += used;
            }
            if (!error && parser.is_header_done()) {
                storeHeader(parser);
                co_return error;
            }
            if (error == http::error::need_more)
                error = co_await readMore(2 * parsedBytes + headerMemory(m_buffer), http::error::buffer_overflow);
            if (error || m_refusal)
                co_return error;
        }
    }

    /** Reads until the request is complete. Sets m_refusal if there is no memory for it. */
    asio::awaitable<beast::error_code> readBody(Parser& parser)
    {
        parser.eager(true);
        std::size_t wireBytes = 0;
        std::size_t bodyBytes = 0;
        std::size_t wireLimit = m_options.maximumBodyBytes + std::max(minimumChunkOverhead, m_options.maximumBodyBytes / chunkOverheadDivisor);
        std::size_t announced = std::min<std::uint64_t>(parser.content_length().value_or(0), m_options.maximumBodyBytes);
        beast::error_code error;
        while (!parser.is_done()) {
            if (m_request.body.size() == bodyBytes && bodyBytes < m_options.maximumBodyBytes) {
                bool hasRoom = co_await extendBody(announced);
                if (!hasRoom)
                    co_return beast::error_code();
            }
            auto& piece = parser.get().body();
            piece.data = m_request.body.data() + bodyBytes;
            piece.size = m_request.body.size() - bodyBytes;
            piece.more = true;
            error = http::error::need_more;
            if (m_buffer.size() > 0) {
                error = {};
                std::size_t used = parser.put(m_buffer.data(), error);
                m_buffer.consume(used);
                wireBytes += used;
            }
            bodyBytes = m_request.body.size() - piece.size;
            if (wireBytes > wireLimit)
                error = http::error::body_limit;
            if (error == http::error::need_more && !parser.is_done())
                error = co_await readMore(bodyMemory(), http::error::body_limit);
            if (m_refusal)
                co_return beast::error_code();
            if (error == http::error::need_buffer)
                error = {};
            if (error)
                break;
        }
        m_request.body.resize(bodyBytes);
        co_return error;
    }

    /** Lengthens the body's string by a piece, after its capacity has been reserved. An announced body is reserved whole, so that it is never copied and never waits while it holds a part. */
    asio::awaitable<bool> extendBody(std::size_t announced)
    {
        std::size_t size = m_request.body.size();
        if (size == m_request.body.capacity() || size == 0) {
            std::size_t wanted = announced;
            if (announced == 0)
                wanted = std::min(std::max(2 * size, bodyPieceBytes), m_options.maximumBodyBytes);
            // Both strings exist while the content is copied.
            bool hasRoom = co_await reserve(m_buffer.capacity() + bodyMemory() + wanted + 1);
            if (!hasRoom)
                co_return false;
            m_request.body.reserve(wanted);
            hasRoom = co_await reserve(m_buffer.capacity() + bodyMemory());
            if (!hasRoom)
                co_return false;
        }
        std::size_t most = announced == 0 ? m_options.maximumBodyBytes : announced;
        m_request.body.resize(std::min(std::min(m_request.body.capacity(), most), size + bodyPieceBytes));
        co_return true;
    }

    /** The memory of a request whose header has been stored, besides the read buffer. */
    std::size_t bodyMemory() const { return m_headerMemory + m_request.body.capacity(); }

    /** Reads more bytes into the buffer, after its growth has been reserved together with the request's other memory. Returns the given error if the buffer may not grow any more. */
    asio::awaitable<beast::error_code> readMore(std::size_t otherMemory, http::error errorIfFull)
    {
        std::size_t size = m_buffer.size();
        if (size >= m_buffer.max_size())
            co_return beast::error_code(errorIfFull);
        std::size_t count = std::min(m_buffer.max_size() - size, readSizeBytes);
        std::size_t capacity = m_buffer.capacity();
        if (count > capacity - size)
            capacity = std::min(m_buffer.max_size(), std::max(2 * size, size + count));
        bool hasRoom = co_await reserve(otherMemory + capacity);
        if (!hasRoom)
            co_return beast::error_code();
        beast::error_code error;
        m_stream.expires_at(m_readDeadline);
        m_waitsForBytesSince = currentTime();
        count = co_await m_stream.async_read_some(m_buffer.prepare(count), asio::redirect_error(asio::use_awaitable, error));
        m_waitsForBytesSince = Instant::max();
        m_buffer.commit(count);
        m_budget->noteReceived(*m_memoryId, count, currentTime());
        if (m_isAborted)
            m_refusal = RequestRefusal::TooSlow;
        if (error == asio::error::eof)
            error = http::error::partial_message;
        co_return error;
    }

    void storeHeader(Parser& parser)
    {
        auto& message = parser.get();
        m_keepAlive = parser.keep_alive();
        m_request.method = std::string(message.method_string());
        m_request.target = std::string(message.target());
        m_request.headers = headersFromBeast(message);
        m_headerMemory = headerMemory(m_request);
        // The fields are not needed twice.
        static_cast<http::fields&>(message.base()).clear();
    }

    //==============================================================================
    // Memory of the request

    void beginMemory()
    {
        Instant now = currentTime();
        m_readDeadline = now + m_options.readTimeout;
        m_memoryDeadline = m_readDeadline;
        m_isAborted = false;
        m_refusal.reset();
        m_headerMemory = 0;
        auto wake = [weak = weak_from_this(), executor = m_stream.get_executor()] {
            asio::post(executor, [weak] {
                if (auto self = weak.lock())
                    self->m_memoryTimer.cancel();
            });
        };
        auto abort = [weak = weak_from_this(), executor = m_stream.get_executor(), id = m_requestNumber] {
            asio::post(executor, [weak, id] {
                if (auto self = weak.lock(); self && self->m_requestNumber == id)
                    self->abortReading();
            });
        };
        RequestBufferBudget::Callbacks callbacks { wake, abort };
        m_memoryId = m_budget->begin(std::move(callbacks), now);
    }

    /** The request is complete: only what is needed to handle it stays reserved. */
    void completeMemory()
    {
        m_budget->complete(*m_memoryId);
        m_reservedBytes = std::min(m_buffer.capacity() + bodyMemory(), m_reservedBytes);
        m_budget->tryResize(*m_memoryId, m_reservedBytes, currentTime());
    }

    /** Frees the request, after it has been handled or refused. */
    void releaseMemory()
    {
        ++m_requestNumber;
        m_request = HttpRequest();
        m_reservedBytes = 0;
        if (auto id = std::exchange(m_memoryId, std::nullopt))
            m_budget->end(*id);
    }

    void abortReading()
    {
        if (!m_isReading || !m_memoryId)
            return;
        beast::error_code ignored;
        // After this process was suspended, a fast request looks slow.
        bool isUnread = m_stream.socket().available(ignored) > 0;
        if (isUnread && m_budget->spare(*m_memoryId, currentTime()))
            return;
        m_isAborted = true;
        m_memoryTimer.cancel();
        m_stream.cancel();
    }

    /** Refuses a request that does not go on. */
    void abortStalled()
    {
        beast::error_code ignored;
        // After this process was suspended, every request looks stalled.
        bool isUnread = m_stream.socket().available(ignored) > 0;
        if (isUnread)
            return;
        m_isAborted = true;
        m_stream.cancel();
    }

    /** Waits until the budget has room for the request, at most for the read time-out in total. Sets m_refusal and returns false if the request has to be refused. */
    asio::awaitable<bool> reserve(std::size_t bytes)
    {
        if (bytes == m_reservedBytes)
            co_return true;
        Instant start = currentTime();
        Instant now = start;
        auto grant = m_budget->tryResize(*m_memoryId, bytes, now);
        while (grant == RequestBufferBudget::Grant::Waiting && now < m_memoryDeadline && !m_isAborted && !m_isClosed) {
            m_budget->abortSlow(now);
            m_memoryTimer.expires_after(memoryCheckInterval);
            beast::error_code ignored;
            co_await m_memoryTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            now = currentTime();
            grant = m_budget->tryResize(*m_memoryId, bytes, now);
        }
        // The client is not responsible for the wait.
        m_readDeadline += now - start;
        if (m_isAborted)
            m_refusal = RequestRefusal::TooSlow;
        else if (grant == RequestBufferBudget::Grant::Impossible)
            m_refusal = RequestRefusal::BodyTooLarge;
        else if (grant == RequestBufferBudget::Grant::Waiting)
            m_refusal = RequestRefusal::NoMemory;
        else
            m_reservedBytes = bytes;
        co_return !m_refusal;
    }

    //==============================================================================
    asio::awaitable<void> refuse(beast::error_code error)
    {
        if (!m_refusal && isBodyTooLarge(error))
            m_refusal = RequestRefusal::BodyTooLarge;
        else if (!m_refusal && isHeaderTooLarge(error))
            m_refusal = RequestRefusal::HeaderTooLarge;
        if (m_refusal)
            countRefusal(*m_refusal, callerAddress());
        bool isMemoryRefusal = m_refusal == RequestRefusal::TooSlow || m_refusal == RequestRefusal::NoMemory;
        bool isBroken = error == http::error::end_of_stream || error == beast::error::timeout || error == asio::error::operation_aborted || error == asio::error::connection_reset;
        if (isBroken && !isMemoryRefusal)
            co_return;
        // The answer takes up to the write time-out, and the request is not needed for it.
        releaseMemory();
        m_keepAlive = false;
        if (isMemoryRefusal)
            co_await respond(overloadResponse(*m_refusal));
        else
            co_await respond(readErrorResponse(error ? error : http::error::body_limit));
    }

    std::string callerAddress()
    {
        beast::error_code ignored;
        return m_stream.socket().remote_endpoint(ignored).address().to_string();
    }

    // Coroutines hold no braced lists (docs/STYLE.md), so their log lines are written here.
    void countRefusal(RequestRefusal refusal, const std::string& caller)
    {
        m_budget->countRefusal(refusal);
        static constexpr EventId events[] = { EventId::DaemonRequestTooLarge, EventId::DaemonRequestTooLarge, EventId::DaemonRequestTooSlow, EventId::DaemonRequestMemoryFull, EventId::DaemonIdleConnectionClosed };
        auto index = static_cast<std::size_t>(refusal);
        logEvent(events[index], { { "cause", requestRefusalNames.at(index) }, { "caller", caller }, { "held_bytes", m_reservedBytes }, { "all_held_bytes", m_budget->reservedBytes() } });
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

    static constexpr std::size_t firstReadSizeBytes = 1024;
    static constexpr std::size_t readSizeBytes = 8192;
    static constexpr std::size_t bodyPieceBytes = 16384;

    beast::tcp_stream m_stream;
    std::shared_ptr<const ReloadableOptions> m_reloadableOptions;
    HttpServer::Options m_options;
    HttpServer::Handler m_handler;
    std::shared_ptr<Connections> m_table;
    std::shared_ptr<RequestBufferBudget> m_budget;
    /** Expires while a request waits for memory. */
    asio::steady_timer m_memoryTimer;
    std::optional<RequestBufferBudget::Id> m_memoryId;
    std::size_t m_reservedBytes = 0;
    std::size_t m_headerMemory = 0;
    /** When the request has to be complete, and when there has to be memory for it. */
    Instant m_readDeadline;
    Instant m_memoryDeadline;
    /** Why the request is refused; errors of its syntax are not included. */
    std::optional<RequestRefusal> m_refusal;
    std::uint64_t m_requestNumber = 0;
    /** True once the request has to give up its memory, or its descriptor. */
    bool m_isAborted = false;
    std::atomic<Instant> m_waitsForBytesSince { Instant::max() };
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
    Impl(asio::io_context& ioContext, Options serverOptions, Handler requestHandler, std::shared_ptr<RequestBufferBudget> requestMemory)
        : context(ioContext)
        , options(std::make_shared<ReloadableOptions>(serverOptions))
        , handler(std::move(requestHandler))
        , budget(std::move(requestMemory))
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
                // The process may have no descriptor left.
                makeRoom();
                co_await pause();
                continue;
            }
            startConnection(std::move(socket));
        }
    }

    /** Closes the connection that has been idle longest, or those whose requests have stalled. */
    void makeRoom()
    {
        if (auto idle = table->takeLongestIdle()) {
            idle->closeForAnother();
            return;
        }
        for (const auto& stalled : table->takeStalled(currentTime() - stallTime, stalledClosedAtOnce))
            stalled->closeForAnother();
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
        auto connection = std::make_shared<Connection>(std::move(socket), options, handler, table, budget);
        std::shared_ptr<Connection> displaced;
        if (!table->add(connection, options->load().maximumConnections, currentTime() - stallTime, displaced))
            return;
        if (displaced)
            displaced->closeForAnother();
        asio::co_spawn(
            executor, [connection] { return connection->run(); }, [connection](const std::exception_ptr&) { connection->end(); });
    }

    asio::io_context& context;
    std::shared_ptr<ReloadableOptions> options;
    Handler handler;
    std::shared_ptr<RequestBufferBudget> budget;
    tcp::acceptor acceptor;
    std::shared_ptr<Connections> table = std::make_shared<Connections>();
};

HttpServer::HttpServer(asio::io_context& context, Options options, Handler handler, std::shared_ptr<RequestBufferBudget> requestMemory)
    : m_impl(std::make_shared<Impl>(context, options, std::move(handler), requestMemory ? std::move(requestMemory) : RequestBufferBudget::withBytes(RequestBufferBudget::defaultTotal())))
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
