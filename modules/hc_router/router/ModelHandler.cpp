#include "hemlockchute/core/EventLog.h"
#include "router/AnswerWriter.h"
#include "router/RouterCore.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

constexpr unsigned statusTooMany = 429;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusTimeout = 504;
/** Lower bound of an attempt's first-token timeout, which is otherwise half the time left until the deadline. */
constexpr Duration minimumFirstTokenTimeout = 250ms;
/** A stream is resumed on another server after a pause of this many times the rank's between-tokens target. */
constexpr int stallFactor = 20;
constexpr Duration minimumStallTimeout = 1s;
/** How long a broken stream may wait for a server to resume on. */
constexpr Duration resumeTimeout = 10s;
constexpr Duration probeTimeout = 500ms;
constexpr MetricDefinition firstToken { "hemlock_router_first_token_seconds", "Time from a request's receipt to its first token." };
constexpr MetricDefinition outcomes { "hemlock_router_model_requests_total", "Requests for models by rank and outcome." };

AttemptOutcome attemptOutcomeFor(BackendErrorCode code)
{
    switch (code) {
    case BackendErrorCode::Refused:
    case BackendErrorCode::Busy:
        return AttemptOutcome::Refused;
    case BackendErrorCode::TimedOut:
        return AttemptOutcome::TimedOut;
    default:
        return AttemptOutcome::Failed;
    }
}

unsigned statusFor(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QueueFull:
    case RefusalReason::WouldMissDeadline:
        return statusTooMany;
    case RefusalReason::DeadlinePassed:
        return statusTimeout;
    case RefusalReason::UnknownRank:
        break;
    }
    return statusUnavailable;
}

std::string detailFor(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QueueFull:
        return "the queue is full";
    case RefusalReason::WouldMissDeadline:
        return "it would not be served by its deadline";
    case RefusalReason::DeadlinePassed:
        return "no backend server was free by the deadline";
    case RefusalReason::UnknownRank:
        break;
    }
    return "the rank is no longer declared";
}

//==============================================================================
/** One request for a model, from the queue to the end of its answer. */
class ModelCall {
public:
    ModelCall(std::shared_ptr<RouterCore> core, HttpExchange& exchange, ModelRequest request)
        : m_core(std::move(core))
        , m_request(std::move(request))
        , m_watch(exchange)
        , m_writer(exchange, m_request)
        , m_lifecycle(RequestLifecycle::Options().withDeadline(m_request.parameters.deadline))
    {
        m_queued.rank = m_request.parameters.rank.name;
        m_queued.model = m_request.model;
        m_queued.adapter = m_request.adapter;
        m_queued.arrival = m_request.parameters.received;
    }

    asio::awaitable<void> run()
    {
        LifecycleDecision decision { LifecycleDecision::Kind::Retry };
        while (decision.kind == LifecycleDecision::Kind::Retry) {
            std::optional<BackendServer> server = co_await findServer();
            if (m_watch.isCallerDisconnected())
                decision = m_lifecycle.noteCallerDisconnect();
            else if (!server)
                decision = m_lifecycle.refuse(m_refusedStatus);
            else
                decision = co_await attemptAt(*server);
        }
        co_await finish(decision);
    }

private:
    asio::awaitable<std::optional<BackendServer>> findServer()
    {
        if (m_lifecycle.mayHaveRun()) {
            auto again = m_core->dispatcher().withTable([&, random = m_core->dispatcher().random()](DispatchTable& table) { return table.assignRetry(m_queued, m_tried, currentTime(), random); });
            if (again)
                co_return again;
        }
        m_queued.ticket = m_core->dispatcher().nextTicket();
        m_queued.deadline = m_lifecycle.tokenCount() == 0 ? m_request.parameters.deadline : currentTime() + resumeTimeout;
        DispatchResult result = co_await m_core->dispatcher().acquireServer(m_queued, m_watch);
        if (result.refusal) {
            m_refusedStatus = statusFor(result.refusal->reason);
            m_retryAfter = result.refusal->retryAfter;
            m_detail = detailFor(result.refusal->reason);
        }
        co_return result.server;
    }

    asio::awaitable<LifecycleDecision> attemptAt(BackendServer server)
    {
        AttemptId attempt = m_core->makeAttemptId();
        auto protocol = m_core->protocol(server.protocol);
        Instant startTime = currentTime();
        bool mayBegin = protocol && m_lifecycle.begin(attempt, startTime);
        if (!mayBegin) {
            recordAttemptOutcome(server, AttemptOutcome::Unused);
            m_detail = "no attempt is left";
            co_return m_lifecycle.refuse(m_lifecycle.mayHaveRun() ? 502 : statusUnavailable);
        }
        ++m_core->counters().attempts;
        if (m_lifecycle.tokenCount() > 0)
            ++m_core->counters().streamsResumed;
        Result<void, BackendErrorCode> read = co_await readAnswer(*protocol, server, attempt);
        if (m_watch.isCallerDisconnected()) {
            recordAttemptOutcome(server, AttemptOutcome::Unused);
            co_return m_lifecycle.noteCallerDisconnect();
        }
        if (!read)
            co_return co_await handleFailure(server, attempt, read.error());
        m_core->dispatcher().update([&](DispatchTable& table) {
            table.recordAttemptOutcome(server.name, AttemptOutcome::Answered, currentTime());
            table.recordDuration(m_queued, currentTime() - startTime, currentTime());
        });
        co_return m_lifecycle.complete(attempt);
    }

    /** Reads one attempt's answer to its end and forwards its tokens. */
    asio::awaitable<Result<void, BackendErrorCode>> readAnswer(BackendProtocol& protocol, BackendServer server, AttemptId attempt)
    {
        InferRequest infer { attempt, m_request.model, m_request.adapter, m_request.parameters.rank.order, m_request.body, m_writer.tokens() };
        auto opened = co_await m_watch.run(protocol.infer(server, std::move(infer), tokenDeadline()));
        if (!opened)
            co_return failure(BackendErrorCode::Lost, "the caller has left");
        if (!*opened)
            co_return tl::unexpected(opened->error());
        std::unique_ptr<TokenStream> stream = std::move(**opened);
        while (true) {
            m_watch.onCallerDisconnect([&] { stream->close(); });
            auto token = co_await stream->next(tokenDeadline());
            m_watch.clear();
            if (m_watch.isCallerDisconnected())
                co_return failure(BackendErrorCode::Lost, "the caller has left");
            if (!token)
                co_return cancelIfTimedOut(std::move(stream), token.error());
            if (!*token)
                co_return Result<void, BackendErrorCode> {};
            bool isNext = m_lifecycle.acceptToken(attempt, (*token)->index);
            if (!isNext)
                co_return failure(BackendErrorCode::Malformed, "a token out of turn");
            recordTokenTime();
            if (m_lifecycle.tokenCount() == 1)
                m_core->metrics().observe(firstToken, currentTime() - m_request.parameters.received, rankLabel());
            bool written = co_await m_writer.token(std::move((*token)->text));
            if (!written)
                co_return failure(BackendErrorCode::Lost, "the caller has left");
        }
    }

    /** Cancels a timed-out stream at the engine over another connection, since closing this one may not reach the engine. */
    tl::unexpected<Error<BackendErrorCode>> cancelIfTimedOut(std::unique_ptr<TokenStream> stream, Error<BackendErrorCode> error)
    {
        if (error.code == BackendErrorCode::TimedOut) {
            std::shared_ptr<TokenStream> shared = std::move(stream);
            m_core->spawn([shared] { return shared->cancel(); });
        }
        return tl::unexpected(std::move(error));
    }

    /** Time by which the current attempt's next token must arrive. */
    Instant tokenDeadline() const
    {
        Instant now = currentTime();
        if (m_lifecycle.tokenCount() > 0)
            return now + std::max<Duration>(minimumStallTimeout, m_request.parameters.rank.betweenTokensTarget * stallFactor);
        Duration left = m_request.parameters.deadline - now;
        return now + std::min(left, std::max<Duration>(minimumFirstTokenTimeout, left / 2));
    }

    asio::awaitable<LifecycleDecision> handleFailure(BackendServer server, AttemptId attempt, Error<BackendErrorCode> error)
    {
        ++m_core->counters().attemptsFailed;
        logEvent(EventId::RouterAttemptFailed, { { "request", m_request.parameters.request.text() }, { "server", server.name.text() }, { "reason", error.detail } });
        m_tried.insert(server.name);
        m_detail = error.detail;
        std::optional<Duration> pause = Duration::zero();
        std::uint64_t random = m_core->dispatcher().random();
        bool mayHaveRun = !hasCertainlyNotRun(error.code);
        m_core->dispatcher().update([&](DispatchTable& table) {
            table.recordAttemptOutcome(server.name, attemptOutcomeFor(error.code), currentTime());
            bool isResumed = m_lifecycle.tokenCount() > 0;
            if (mayHaveRun && !isResumed)
                pause = table.takeRetry(server.name, m_lifecycle.attemptCount(), random);
        });
        if (error.code == BackendErrorCode::TimedOut)
            probe(server);
        LifecycleDecision decision = m_lifecycle.fail(attempt, error.code, pause.has_value(), currentTime());
        bool mustPause = decision.kind == LifecycleDecision::Kind::Retry && pause && *pause > Duration::zero();
        if (mustPause)
            co_await sleep(std::min(*pause, m_request.parameters.deadline - currentTime()));
        co_return decision;
    }

    asio::awaitable<void> sleep(Duration duration)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, duration);
        boost::system::error_code ignored;
        m_watch.onCallerDisconnect([&] { timer.cancel(); });
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_watch.clear();
    }

    /** Distinguishes a dead server from a dead connection: the client has closed its idle connections, so the probe uses a new one. */
    void probe(const BackendServer& server)
    {
        m_core->spawn([core = m_core, server]() -> asio::awaitable<void> {
            auto protocol = core->protocol(server.protocol);
            auto state = co_await protocol->readState(server, currentTime() + probeTimeout);
            core->dispatcher().withTable([&](DispatchTable& table) { table.recordProbe(server.name, state.has_value(), currentTime()); });
        });
    }

    void recordAttemptOutcome(const BackendServer& server, AttemptOutcome end)
    {
        m_core->dispatcher().update([&](DispatchTable& table) { table.recordAttemptOutcome(server.name, end, currentTime()); });
    }

    MetricLabels rankLabel() const
    {
        MetricLabels labels;
        labels.push_back({ "rank", m_request.parameters.rank.name.text() });
        return labels;
    }

    void countOutcome(const LifecycleDecision& decision)
    {
        bool isAnswered = decision.kind == LifecycleDecision::Kind::Complete;
        bool isRefused = decision.kind == LifecycleDecision::Kind::Refuse;
        MetricLabels labels = rankLabel();
        labels.push_back({ "outcome", isAnswered ? "answered" : isRefused ? "refused"
                                                                          : "left" });
        m_core->metrics().add(outcomes, labels);
    }

    void recordTokenTime()
    {
        m_lastToken = currentTime();
        if (m_lifecycle.tokenCount() == 1)
            m_firstToken = m_lastToken;
    }

    /** True when the first token and the mean time between tokens are within the rank's targets. */
    bool isWithinTarget() const
    {
        const RankSpec& rank = m_request.parameters.rank;
        auto pauses = static_cast<std::int64_t>(m_lifecycle.tokenCount()) - 1;
        bool isSteady = pauses <= 0 || (m_lastToken - m_firstToken) / pauses <= rank.betweenTokensTarget;
        return isSteady && m_firstToken - m_request.parameters.received <= rank.firstTokenTarget;
    }

    /** Counts the outcome against the rank's targets; a caller's disconnect says nothing about the service and is not counted. */
    void countBurn(const LifecycleDecision& decision)
    {
        bool isAnswered = decision.kind == LifecycleDecision::Kind::Complete;
        bool isRefused = decision.kind == LifecycleDecision::Kind::Refuse;
        if (!isAnswered && !isRefused)
            return;
        BurnKey key { m_request.parameters.rank.name, m_request.model, m_core->dataCentre() };
        m_core->burn().note(key, isAnswered && isWithinTarget(), SystemClock().wallTime());
    }

    asio::awaitable<void> finish(LifecycleDecision decision)
    {
        countOutcome(decision);
        countBurn(decision);
        RouterCounters& counters = m_core->counters();
        if (decision.kind == LifecycleDecision::Kind::Complete) {
            ++counters.answered;
            co_await m_writer.complete();
        } else if (decision.kind == LifecycleDecision::Kind::Refuse) {
            ++(decision.outcome == RefusalOutcome::NotRun ? counters.refusedNotRun : counters.refusedUnknown);
            Problem problem = problemFor(decision, m_detail);
            problem.retryAfter = m_retryAfter;
            co_await m_writer.refuse(problem);
        } else {
            ++counters.callersDisconnected;
        }
    }

    std::shared_ptr<RouterCore> m_core;
    ModelRequest m_request;
    CallerWatch m_watch;
    AnswerWriter m_writer;
    RequestLifecycle m_lifecycle;
    QueuedRequest m_queued;
    std::set<BackendServerName> m_tried;
    unsigned m_refusedStatus = statusUnavailable;
    Duration m_retryAfter = 1s;
    std::string m_detail;
    Instant m_firstToken {};
    Instant m_lastToken {};
};

} // namespace

//==============================================================================
asio::awaitable<void> handleModelRequest(std::shared_ptr<RouterCore> core, HttpExchange& exchange)
{
    RequestId id = requestIdOf(exchange.request(), core->makeRequestId());
    DocumentPointer document = core->document();
    auto parameters = readRequestParameters(exchange.request(), id, *document, currentTime());
    tl::expected<ModelRequest, Problem> request = tl::unexpected(Problem());
    if (parameters)
        request = readModelRequest(exchange.request(), std::move(*parameters), *document);
    else
        request = tl::unexpected(parameters.error());
    if (!request) {
        ++core->counters().refusedNotRun;
        co_await exchange.respond(problemResponse(request.error(), id));
        co_return;
    }
    ModelCall call(core, exchange, std::move(*request));
    co_await call.run();
}

} // namespace hemlockchute
