#include "backend/EngineMessages.h"
#include "backend/EventStreamParser.h"
#include "hemlockchute/backend/BackendProtocol.h"

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusAccepted = 202;
constexpr Duration cancelTimeout = 1s;
/** How long to wait for the end of a body after the end marker; the connection is reused only if it arrives. */
constexpr Duration bodyEndTimeout = 20ms;
constexpr std::size_t maximumIdleConnectionsPerServer = 128;

BackendErrorCode codeFor(HttpClientErrorCode code)
{
    switch (code) {
    case HttpClientErrorCode::NotConnected:
    case HttpClientErrorCode::ConnectionRefused:
        return BackendErrorCode::NotSent;
    case HttpClientErrorCode::TimedOut:
        return BackendErrorCode::TimedOut;
    case HttpClientErrorCode::ConnectionLost:
        return BackendErrorCode::Lost;
    case HttpClientErrorCode::Malformed:
    case HttpClientErrorCode::Interrupted:
    case HttpClientErrorCode::TooLarge:
        break;
    }
    return BackendErrorCode::Malformed;
}

tl::unexpected<Error<BackendErrorCode>> fromHttp(const Error<HttpClientErrorCode>& error)
{
    return failureBecause(codeFor(error.code), error);
}

/** The error code of an HTTP status other than success (docs/PROTOCOLS.md). */
struct StatusMeaning {
    unsigned status;
    BackendErrorCode code;
};

constexpr StatusMeaning inferStatuses[] = {
    { 404, BackendErrorCode::Refused },
    { 429, BackendErrorCode::Busy },
    { 503, BackendErrorCode::Refused }
};

constexpr StatusMeaning orderStatuses[] = {
    { 400, BackendErrorCode::Refused },
    { 404, BackendErrorCode::Refused },
    { 409, BackendErrorCode::StaleFencing },
    { 507, BackendErrorCode::OutOfMemory }
};

template <std::size_t Count>
tl::unexpected<Error<BackendErrorCode>> fromStatus(const StatusMeaning (&meanings)[Count], unsigned status)
{
    for (const StatusMeaning& meaning : meanings) {
        if (meaning.status == status)
            return failure(meaning.code, "status " + std::to_string(status));
    }
    return failure(BackendErrorCode::Malformed, "unexpected status " + std::to_string(status));
}

HttpRequest jsonPost(std::string target, ByteString body)
{
    HttpRequest request { "POST", std::move(target), {}, std::move(body) };
    request.headers.set("Content-Type", "application/json");
    return request;
}

HttpRequest inferRequest(const InferRequest& request, ByteString body)
{
    HttpRequest http = jsonPost("/v1/infer", std::move(body));
    http.headers.set("X-Attempt-Id", request.attempt.text());
    http.headers.set("X-Priority", std::to_string(request.priority));
    return http;
}

//==============================================================================
/** The streamed answer to POST /v1/infer. */
class HttpTokenStream : public TokenStream {
public:
    HttpTokenStream(std::shared_ptr<HttpClient> client, BackendServer server, const InferRequest& request, std::unique_ptr<HttpResponseStream> stream)
        : m_client(std::move(client))
        , m_server(std::move(server))
        , m_attempt(request.attempt)
        , m_validator(request.attempt, request.resumeAfter.size())
        , m_stream(std::move(stream))
    {
    }

    asio::awaitable<Result<std::optional<TokenEvent>, BackendErrorCode>> next(Instant deadline) override
    {
        std::optional<std::string> event = m_events.next();
        while (!event) {
            auto fed = co_await readChunk(deadline);
            if (!fed)
                co_return tl::unexpected(fed.error());
            event = m_events.next();
        }
        auto token = m_validator.validate(*event);
        if (m_validator.isDone())
            co_await finishBody();
        if (!token)
            m_stream->close();
        co_return token;
    }

    asio::awaitable<void> cancel() override
    {
        m_stream->close();
        ByteString body = "{\"attempt\":\"" + m_attempt.text() + "\"}";
        co_await m_client->send(m_server.endpoint, jsonPost("/v1/cancel", std::move(body)), std::chrono::steady_clock::now() + cancelTimeout);
    }

    void close() override { m_stream->close(); }

private:
    asio::awaitable<Result<void, BackendErrorCode>> readChunk(Instant deadline)
    {
        auto chunk = co_await m_stream->read(deadline);
        if (!chunk)
            co_return fromHttp(chunk.error());
        if (!*chunk)
            co_return failure(BackendErrorCode::Lost, "the answer ended without its end marker");
        if (!m_events.feed(**chunk))
            co_return failure(BackendErrorCode::Malformed, "an event is too long");
        co_return Result<void, BackendErrorCode> {};
    }

    /** Reads the end of the body, so that the connection can be reused. */
    asio::awaitable<void> finishBody()
    {
        co_await m_stream->read(std::chrono::steady_clock::now() + bodyEndTimeout);
    }

    std::shared_ptr<HttpClient> m_client;
    BackendServer m_server;
    AttemptId m_attempt;
    TokenEventValidator m_validator;
    EventStreamParser m_events;
    std::unique_ptr<HttpResponseStream> m_stream;
};

//==============================================================================
/** The protocol "hemlock-http-1" of docs/PROTOCOLS.md, sections 2 and 3. */
class HemlockHttpProtocol : public BackendProtocol {
public:
    asio::awaitable<Result<EngineState, BackendErrorCode>> readState(BackendServer server, Instant deadline) override
    {
        HttpRequest request;
        request.target = "/v1/state";
        auto response = co_await m_client->send(server.endpoint, std::move(request), deadline);
        if (!response)
            co_return fromHttp(response.error());
        if (response->status != statusOk)
            co_return failure(BackendErrorCode::Malformed, "unexpected status " + std::to_string(response->status));
        co_return parseEngineState(response->body);
    }

    asio::awaitable<Result<void, BackendErrorCode>> sendOrder(BackendServer server, EngineOrder order, Instant deadline) override
    {
        auto response = co_await m_client->send(server.endpoint, jsonPost("/v1/orders", encodeEngineOrder(order)), deadline);
        if (!response)
            co_return fromHttp(response.error());
        if (response->status != statusAccepted)
            co_return fromStatus(orderStatuses, response->status);
        co_return Result<void, BackendErrorCode> {};
    }

    asio::awaitable<Result<std::unique_ptr<TokenStream>, BackendErrorCode>> infer(BackendServer server, InferRequest request, Instant deadline) override
    {
        auto client = m_client;
        auto body = encodeInferBody(request);
        if (!body)
            co_return tl::unexpected(body.error());
        auto stream = co_await client->open(server.endpoint, inferRequest(request, std::move(*body)), deadline);
        if (!stream)
            co_return fromHttp(stream.error());
        if ((*stream)->status() != statusOk) {
            // The connection is closed: a faulty engine could repeat the refusal on it for the next request.
            auto attempt = (*stream)->headers().find("X-Attempt-Id");
            if (attempt && *attempt != request.attempt.text())
                co_return failure(BackendErrorCode::Malformed, "the answer belongs to another attempt");
            co_return fromStatus(inferStatuses, (*stream)->status());
        }
        co_return std::make_unique<HttpTokenStream>(client, server, request, std::move(*stream));
    }

    asio::awaitable<Result<HttpResponse, BackendErrorCode>> callService(BackendServer server, ServiceRequest call, Instant deadline) override
    {
        auto client = m_client;
        call.request.headers.set("X-Attempt-Id", call.attempt.text());
        auto use = call.isOnce ? HttpClient::ConnectionUse::Fresh : HttpClient::ConnectionUse::Pooled;
        auto response = co_await client->send(server.endpoint, std::move(call.request), deadline, use);
        if (!response)
            co_return fromHttp(response.error());
        if (response->headers.find("X-Attempt-Id") != call.attempt.text())
            co_return failure(BackendErrorCode::Malformed, "the answer belongs to another attempt");
        co_return std::move(*response);
    }

    void closeIdleConnections(const BackendServer& server) override { m_client->closeIdleConnections(server.endpoint); }

private:
    std::shared_ptr<HttpClient> m_client = std::make_shared<HttpClient>(HttpClient::Options().withMaximumIdleConnections(maximumIdleConnectionsPerServer));
};

const ScopedPluginRegistration<BackendProtocol, HemlockHttpProtocol> registration("hemlock-http-1");

} // namespace
} // namespace hemlockchute
