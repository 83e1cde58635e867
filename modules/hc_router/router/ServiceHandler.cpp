#include "hemlockchute/core/EventLog.h"
#include "router/OnceCall.h"

#include <boost/asio/redirect_error.hpp>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

constexpr unsigned statusUnavailable = 503;
/** An attempt gets at least so long, and otherwise half the time left. */
constexpr Duration shortestPatience = 250ms;

//==============================================================================
/** One call of a service that may be repeated. */
class RepeatableCall {
public:
    RepeatableCall(std::shared_ptr<RouterCore> core, HttpExchange& exchange, ServiceCallRequest call)
        : m_core(std::move(core))
        , m_call(std::move(call))
        , m_watch(exchange)
        , m_life(RequestLifecycle::Options().withDeadline(m_call.terms.deadline))
    {
    }

    /** The answer for the caller, or nothing when it has left. */
    asio::awaitable<std::optional<ServiceAnswer>> run()
    {
        LifecycleVerdict verdict { LifecycleVerdict::Kind::Retry };
        while (verdict.kind == LifecycleVerdict::Kind::Retry)
            verdict = co_await attempt();
        if (verdict.kind == LifecycleVerdict::Kind::Complete)
            co_return m_response;
        if (verdict.kind == LifecycleVerdict::Kind::Refuse)
            co_return refusedWith(problemFor(verdict, m_detail), m_call.terms.request);
        co_return std::nullopt;
    }

private:
    asio::awaitable<LifecycleVerdict> attempt()
    {
        std::uint64_t random = m_core->dispatcher().random();
        auto server = m_core->dispatcher().with([&](DispatchTable& table) { return table.assignService(m_call.service.name, m_tried, currentTime(), random); });
        if (!server)
            co_return m_life.refuse(m_life.mayHaveRun() ? 502 : statusUnavailable);
        AttemptId id = m_core->makeAttemptId();
        auto protocol = m_core->protocol(server->protocol);
        bool mayBegin = protocol && m_life.begin(id, currentTime());
        if (!mayBegin) {
            noteEnd(*server, AttemptEnd::Unused);
            co_return m_life.refuse(statusUnavailable);
        }
        ++m_core->counters().attempts;
        // A second attempt dials anew: the first one's connection may have gone silent.
        ServiceRequest request { id, m_call.request, m_life.attemptCount() > 1 };
        auto response = co_await m_watch.run(protocol->callService(*server, std::move(request), attemptDeadline()));
        if (m_watch.hasLeft() || !response) {
            noteEnd(*server, AttemptEnd::Unused);
            co_return m_life.leave();
        }
        if (!*response)
            co_return co_await noteFailure(*server, id, response->error());
        noteEnd(*server, AttemptEnd::Answered);
        m_response = passedOn(**response, m_call.terms.request);
        co_return m_life.complete(id);
    }

    Instant attemptDeadline() const
    {
        Instant now = currentTime();
        Duration left = std::min(m_call.terms.deadline - now, m_call.service.timeout);
        if (m_life.attemptCount() > 1)
            return now + left;
        return now + std::min(left, std::max<Duration>(shortestPatience, left / 2));
    }

    asio::awaitable<LifecycleVerdict> noteFailure(BackendServer server, AttemptId attempt, Error<BackendErrorCode> error)
    {
        ++m_core->counters().attemptsFailed;
        logEvent(EventId::RouterAttemptFailed, { { "request", m_call.terms.request.text() }, { "server", server.name.text() }, { "reason", error.detail } });
        m_tried.insert(server.name);
        m_detail = error.detail;
        noteEnd(server, error.code == BackendErrorCode::TimedOut ? AttemptEnd::Silent : AttemptEnd::Failed);
        std::uint64_t random = m_core->dispatcher().random();
        auto pause = m_core->dispatcher().with([&](DispatchTable& table) { return table.takeRetry(server.name, m_life.attemptCount(), random); });
        LifecycleVerdict verdict = m_life.fail(attempt, error.code, pause.has_value(), currentTime());
        if (verdict.kind == LifecycleVerdict::Kind::Retry)
            co_await sleep(std::min(pause.value_or(shortestPause), m_call.terms.deadline - currentTime()));
        co_return verdict;
    }

    asio::awaitable<void> sleep(Duration duration)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, duration);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    void noteEnd(const BackendServer& server, AttemptEnd end)
    {
        m_core->dispatcher().with([&](DispatchTable& table) { table.noteEnd(server.name, end, currentTime()); });
    }

    static constexpr Duration shortestPause = 10ms;

    std::shared_ptr<RouterCore> m_core;
    ServiceCallRequest m_call;
    CallerWatch m_watch;
    RequestLifecycle m_life;
    std::set<BackendServerName> m_tried;
    ServiceAnswer m_response;
    std::string m_detail = "no backend server of the service is live";
};

asio::awaitable<std::optional<ServiceAnswer>> callAtMostOnce(std::shared_ptr<RouterCore> core, HttpExchange& exchange, ServiceCallRequest request)
{
    CallerWatch watch(exchange);
    auto call = std::make_shared<OnceCall>(core, std::move(request), co_await asio::this_coro::executor);
    call->start();
    ServiceAnswer response = co_await call->wait(watch);
    if (watch.hasLeft())
        co_return std::nullopt;
    co_return response;
}

void count(RouterCounters& counters, const std::optional<ServiceAnswer>& answer)
{
    if (!answer)
        ++counters.callersLeft;
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
    auto terms = readTerms(exchange.request(), id, *document, currentTime());
    tl::expected<ServiceCallRequest, Problem> request = tl::unexpected(Problem());
    if (terms)
        request = readServiceCall(exchange.request(), std::move(*terms), *document);
    else
        request = tl::unexpected(terms.error());
    if (!request) {
        ++core->counters().refusedNotRun;
        co_await exchange.respond(problemResponse(request.error(), id));
        co_return;
    }
    std::optional<ServiceAnswer> answer;
    if (request->service.idempotent) {
        RepeatableCall call(core, exchange, std::move(*request));
        answer = co_await call.run();
    } else {
        answer = co_await callAtMostOnce(core, exchange, std::move(*request));
    }
    count(core->counters(), answer);
    if (answer)
        co_await exchange.respond(std::move(answer->response));
}

} // namespace hemlockchute
