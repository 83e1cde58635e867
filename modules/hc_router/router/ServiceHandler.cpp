#include "hemlockchute/core/EventLog.h"
#include "router/AtMostOnceCall.h"

#include <boost/asio/redirect_error.hpp>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

constexpr unsigned statusUnavailable = 503;
/** Lower bound of an attempt's timeout, which is otherwise half the time left until the deadline. */
constexpr Duration minimumAttemptTimeout = 250ms;

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
        std::uint64_t random = m_core->dispatcher().random();
        auto server = m_core->dispatcher().withTable([&](DispatchTable& table) { return table.assignService(m_call.service.name, m_tried, currentTime(), random); });
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
        auto response = co_await m_watch.run(protocol->callService(*server, std::move(request), attemptDeadline()));
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

    Instant attemptDeadline() const
    {
        Instant now = currentTime();
        Duration left = std::min(m_call.parameters.deadline - now, m_call.service.timeout);
        if (m_lifecycle.attemptCount() > 1)
            return now + left;
        return now + std::min(left, std::max<Duration>(minimumAttemptTimeout, left / 2));
    }

    asio::awaitable<LifecycleDecision> handleFailure(BackendServer server, AttemptId attempt, Error<BackendErrorCode> error)
    {
        ++m_core->counters().attemptsFailed;
        logEvent(EventId::RouterAttemptFailed, { { "request", m_call.parameters.request.text() }, { "server", server.name.text() }, { "reason", error.detail } });
        m_tried.insert(server.name);
        m_detail = error.detail;
        recordAttemptOutcome(server, error.code == BackendErrorCode::TimedOut ? AttemptOutcome::TimedOut : AttemptOutcome::Failed);
        std::uint64_t random = m_core->dispatcher().random();
        auto pause = m_core->dispatcher().withTable([&](DispatchTable& table) { return table.takeRetry(server.name, m_lifecycle.attemptCount(), random); });
        LifecycleDecision decision = m_lifecycle.fail(attempt, error.code, pause.has_value(), currentTime());
        if (decision.kind == LifecycleDecision::Kind::Retry)
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
