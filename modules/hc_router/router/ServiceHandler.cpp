#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/http/WatchdogTimer.h"
#include "router/AtMostOnceCall.h"

#include <boost/asio/redirect_error.hpp>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

constexpr unsigned statusUnavailable = 503;
/** Lower bound of the silence after which an attempt looks for another server; otherwise half of its time. */
constexpr Duration minimumSilence = 250ms;
/** How often a silent attempt looks for another server. */
constexpr Duration silenceRecheckInterval = 50ms;

//==============================================================================
/** One call of an idempotent service, retried after failures. */
class IdempotentCall {
public:
    IdempotentCall(std::shared_ptr<RouterCore> core, HttpExchange& exchange, ServiceCallRequest call)
        : m_core(std::move(core))
        , m_call(std::move(call))
        , m_watch(exchange)
        , m_lifecycle(RequestLifecycle::Options().withDeadline(m_call.parameters.deadline))
    {
    }

    /** The response to the caller, or nothing when it has disconnected. */
    asio::awaitable<std::optional<ServiceAnswer>> run()
    {
        asio::any_io_executor executor = co_await asio::this_coro::executor;
        m_silenceTimer.emplace(executor, [this] { checkSilence(); });
        LifecycleDecision decision { LifecycleDecision::Kind::Retry };
        while (decision.kind == LifecycleDecision::Kind::Retry)
            decision = co_await attempt();
        if (decision.kind == LifecycleDecision::Kind::Complete)
            co_return m_response;
        if (decision.kind == LifecycleDecision::Kind::Refuse)
            co_return refusalAnswer(problemFor(decision, m_detail), m_call.parameters.request);
        co_return std::nullopt;
    }

private:
    asio::awaitable<LifecycleDecision> attempt()
    {
        auto server = takeServer();
        if (!server)
            co_return m_lifecycle.refuse(m_lifecycle.mayHaveRun() ? 502 : statusUnavailable);
        AttemptId id = m_core->makeAttemptId();
        auto protocol = m_core->protocol(server->protocol);
        bool mayBegin = protocol && m_lifecycle.begin(id, currentTime());
        if (!mayBegin) {
            recordAttemptOutcome(*server, AttemptOutcome::Unused);
            co_return m_lifecycle.refuse(statusUnavailable);
        }
        ++m_core->counters().attempts;
        // A second attempt uses a new connection, since the first one's may be broken without notice.
        ServiceRequest request { id, m_call.request, m_lifecycle.attemptCount() > 1 };
        Instant attemptEnd = beginAttempt(*server);
        auto response = co_await m_watch.run(protocol->callService(*server, std::move(request), attemptEnd));
        m_silenceTimer->stop();
        if (m_watch.isCallerDisconnected() || (response && *response))
            releaseSuccessor();
        bool isInterrupted = m_successor && (!response || !hasCertainlyNotRun(response->error().code));
        if (isInterrupted)
            co_return co_await handleFailure(*server, id, silenceError());
        if (m_watch.isCallerDisconnected() || !response) {
            recordAttemptOutcome(*server, AttemptOutcome::Unused);
            co_return m_lifecycle.noteCallerDisconnect();
        }
        if (!*response)
            co_return co_await handleFailure(*server, id, response->error());
        recordAttemptOutcome(*server, AttemptOutcome::Answered);
        m_response = forwardedAnswer(**response, m_call.parameters.request);
        co_return m_lifecycle.complete(id);
    }

    /** The server that takes over from a silent one, or else any of the service. */
    std::optional<BackendServer> takeServer()
    {
        if (m_successor)
            return std::exchange(m_successor, std::nullopt);
        std::uint64_t random = m_core->dispatcher().random();
        return m_core->dispatcher().withTable([&](DispatchTable& table) { return table.assignService(m_call.service.name, m_tried, currentTime(), random); });
    }

    /** Starts to watch for silence; returns the time by which the answer must arrive. */
    Instant beginAttempt(const BackendServer& server)
    {
        Instant now = currentTime();
        Duration left = std::min(m_call.parameters.deadline - now, m_call.service.timeout);
        m_currentServer = server;
        m_isSilent = false;
        m_reconnectTime = now + left * 3 / 4;
        m_silenceTimer->restart(now + std::min(left, std::max<Duration>(minimumSilence, left / 2)));
        return now + left;
    }

    /** Replaces a silent attempt once another server is assigned to the call. Until then the attempt continues, since its server may only be slow. */
    void checkSilence()
    {
        bool mayReplace = !m_successor && !m_watch.isCallerDisconnected() && m_lifecycle.mayReplaceAttempt(currentTime());
        if (!mayReplace)
            return;
        if (!std::exchange(m_isSilent, true))
            m_core->protocol(m_currentServer.protocol)->closeIdleConnections(m_currentServer);
        m_successor = assignSuccessor();
        if (m_successor)
            m_watch.interrupt();
        else
            m_silenceTimer->restart(currentTime() + silenceRecheckInterval);
    }

    /** An untried server, once the retry is charged. The first attempt may also move to a new connection, since a pooled one may be broken without notice. */
    std::optional<BackendServer> assignSuccessor()
    {
        Instant now = currentTime();
        bool mayReconnect = m_lifecycle.attemptCount() == 1 && now >= m_reconnectTime;
        std::set<BackendServerName> tried = m_tried;
        tried.insert(m_currentServer.name);
        std::uint64_t random = m_core->dispatcher().random();
        return m_core->dispatcher().withTable([&](DispatchTable& table) -> std::optional<BackendServer> {
            auto server = table.assignService(m_call.service.name, tried, now, random);
            if (!server)
                return std::nullopt;
            bool isBetter = !tried.contains(server->name) || mayReconnect;
            bool isCharged = isBetter && table.takeRetry(m_currentServer.name, m_lifecycle.attemptCount(), random);
            if (isCharged)
                return server;
            table.recordAttemptOutcome(server->name, AttemptOutcome::Unused, now);
            return std::nullopt;
        });
    }

    static Error<BackendErrorCode> silenceError()
    {
        return { BackendErrorCode::TimedOut, "the server was silent and another one has been assigned" };
    }

    void releaseSuccessor()
    {
        if (auto unused = std::exchange(m_successor, std::nullopt))
            recordAttemptOutcome(*unused, AttemptOutcome::Unused);
    }

    asio::awaitable<LifecycleDecision> handleFailure(BackendServer server, AttemptId attempt, Error<BackendErrorCode> error)
    {
        ++m_core->counters().attemptsFailed;
        logEvent(EventId::RouterAttemptFailed, { { "request", m_call.parameters.request.text() }, { "server", server.name.text() }, { "reason", error.detail } });
        m_tried.insert(server.name);
        m_detail = error.detail;
        recordAttemptOutcome(server, error.code == BackendErrorCode::TimedOut ? AttemptOutcome::TimedOut : AttemptOutcome::Failed);
        std::uint64_t random = m_core->dispatcher().random();
        std::optional<Duration> pause = Duration::zero();
        if (!m_successor)
            pause = m_core->dispatcher().withTable([&](DispatchTable& table) { return table.takeRetry(server.name, m_lifecycle.attemptCount(), random); });
        LifecycleDecision decision = m_lifecycle.fail(attempt, error.code, pause.has_value(), currentTime());
        if (decision.kind != LifecycleDecision::Kind::Retry)
            releaseSuccessor();
        else if (!m_successor)
            co_await sleep(std::min(pause.value_or(minimumRetryDelay), m_call.parameters.deadline - currentTime()));
        co_return decision;
    }

    asio::awaitable<void> sleep(Duration duration)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, duration);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    void recordAttemptOutcome(const BackendServer& server, AttemptOutcome end)
    {
        m_core->dispatcher().withTable([&](DispatchTable& table) { table.recordAttemptOutcome(server.name, end, currentTime()); });
    }

    static constexpr Duration minimumRetryDelay = 10ms;

    std::shared_ptr<RouterCore> m_core;
    ServiceCallRequest m_call;
    CallerWatch m_watch;
    RequestLifecycle m_lifecycle;
    std::set<BackendServerName> m_tried;
    std::optional<WatchdogTimer> m_silenceTimer;
    BackendServer m_currentServer;
    /** The server that takes over from the silent one; its slot is reserved. */
    std::optional<BackendServer> m_successor;
    /** When the attempt may move to a new connection to the same server. */
    Instant m_reconnectTime {};
    bool m_isSilent = false;
    ServiceAnswer m_response;
    std::string m_detail = "no backend server of the service is live";
};

asio::awaitable<std::optional<ServiceAnswer>> callAtMostOnce(std::shared_ptr<RouterCore> core, HttpExchange& exchange, ServiceCallRequest request)
{
    CallerWatch watch(exchange);
    auto call = std::make_shared<AtMostOnceCall>(core, std::move(request), co_await asio::this_coro::executor);
    call->start();
    ServiceAnswer response = co_await call->wait(watch);
    if (watch.isCallerDisconnected())
        co_return std::nullopt;
    co_return response;
}

void count(RouterCounters& counters, const std::optional<ServiceAnswer>& answer)
{
    if (!answer)
        ++counters.callersDisconnected;
    else if (!answer->refused)
        ++counters.answered;
    else
        ++(answer->refused == RefusalOutcome::NotRun ? counters.refusedNotRun : counters.refusedUnknown);
}

} // namespace

//==============================================================================
asio::awaitable<void> handleServiceCall(std::shared_ptr<RouterCore> core, HttpExchange& exchange)
{
    RequestId id = requestIdOf(exchange.request(), core->makeRequestId());
    DocumentPointer document = core->document();
    auto parameters = readRequestParameters(exchange.request(), id, *document, currentTime());
    tl::expected<ServiceCallRequest, Problem> request = tl::unexpected(Problem());
    if (parameters)
        request = readServiceCall(exchange.request(), std::move(*parameters), *document);
    else
        request = tl::unexpected(parameters.error());
    if (!request) {
        ++core->counters().refusedNotRun;
        co_await exchange.respond(problemResponse(request.error(), id));
        co_return;
    }
    std::optional<ServiceAnswer> answer;
    if (request->service.idempotent) {
        IdempotentCall call(core, exchange, std::move(*request));
        answer = co_await call.run();
    } else {
        answer = co_await callAtMostOnce(core, exchange, std::move(*request));
    }
    count(core->counters(), answer);
    if (answer)
        co_await exchange.respond(std::move(answer->response));
}

} // namespace hemlockchute
