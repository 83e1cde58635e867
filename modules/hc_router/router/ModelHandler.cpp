#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/http/WatchdogTimer.h"
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
/** Lower bound of the silence after which an attempt without a token looks for another server; otherwise half the time left until the deadline. */
constexpr Duration minimumFirstTokenSilence = 250ms;
/** A stream looks for another server after a pause of this many times the rank's between-tokens target. */
constexpr int stallFactor = 20;
constexpr Duration minimumStall = 1s;
/** How often a silent attempt looks for another server. */
constexpr Duration silenceRecheckInterval = 50ms;
/** A stream moves to a new connection to the same server after this many times the pause after which it looks for another one. */
constexpr int reconnectFactor = 3;
/** How long a broken stream may wait for a server to resume on, and a silent one for its next token. */
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
        asio::any_io_executor executor = co_await asio::this_coro::executor;
        m_silenceTimer.emplace(executor, [this] { checkSilence(); });
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
        if (m_successor)
            co_return std::exchange(m_successor, std::nullopt);
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
        beginAttempt(server, startTime);
        Result<void, BackendErrorCode> read = co_await readAnswer(*protocol, server, attempt);
        m_silenceTimer->stop();
        if (m_watch.isCallerDisconnected() || read)
            releaseSuccessor();
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
        noteProgress();
        auto opened = co_await m_watch.run(protocol.infer(server, std::move(infer), answerDeadline()));
        bool isInterrupted = m_successor && (!opened || (!*opened && !hasCertainlyNotRun(opened->error().code)));
        if (isInterrupted)
            co_return silenceError();
        if (!opened)
            co_return failure(BackendErrorCode::Lost, "the caller has left");
        if (!*opened)
            co_return tl::unexpected(opened->error());
        std::unique_ptr<TokenStream> stream = std::move(**opened);
        while (true) {
            if (m_successor)
                co_return cancelIfTimedOut(std::move(stream), silenceError().value());
            m_watch.onCallerDisconnect([&] { stream->close(); });
            noteProgress();
            auto token = co_await stream->next(answerDeadline());
            m_silenceTimer->stop();
            m_watch.clear();
            if (m_watch.isCallerDisconnected())
                co_return failure(BackendErrorCode::Lost, "the caller has left");
            if (!token && m_successor)
                co_return cancelIfTimedOut(std::move(stream), silenceError().value());
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

    /** Time by which the current attempt's next token must arrive, whether another server is free or not. */
    Instant answerDeadline() const
    {
        if (m_lifecycle.tokenCount() == 0)
            return m_request.parameters.deadline;
        return std::max(m_request.parameters.deadline, currentTime() + stallLimit() + resumeTimeout);
    }

    //==============================================================================
    // Silent servers

    Duration stallLimit() const
    {
        return std::max<Duration>(minimumStall, m_request.parameters.rank.betweenTokensTarget * stallFactor);
    }

    void beginAttempt(const BackendServer& server, Instant now)
    {
        m_currentServer = server;
        m_lastProgress = now;
        m_isSilent = false;
        m_isReachable = nullptr;
    }

    /** Restarts the time after which the server counts as silent. */
    void noteProgress()
    {
        Instant now = currentTime();
        m_lastProgress = now;
        m_isSilent = false;
        m_isReachable = nullptr;
        if (m_lifecycle.tokenCount() > 0) {
            m_reconnectTime = now + stallLimit() * reconnectFactor;
            m_silenceTimer->restart(now + stallLimit());
            return;
        }
        Duration left = m_request.parameters.deadline - now;
        m_reconnectTime = now + left * 3 / 4;
        m_silenceTimer->restart(now + std::min(left, std::max<Duration>(minimumFirstTokenSilence, left / 2)));
    }

    /** Replaces a silent attempt once another server is assigned to the request. Until then the attempt continues, since its server may only be slow. */
    void checkSilence()
    {
        if (m_successor || m_watch.isCallerDisconnected())
            return;
        noteSilence();
        if (!m_lifecycle.mayReplaceAttempt(currentTime()))
            return;
        m_successor = assignSuccessor();
        if (!m_successor) {
            m_silenceTimer->restart(currentTime() + silenceRecheckInterval);
            return;
        }
        logEvent(EventId::RouterTakeover, { { "request", m_request.parameters.request.text() }, { "from", m_currentServer.name.text() }, { "to", m_successor->name.text() }, { "tokens", m_lifecycle.tokenCount() }, { "silent_ms", silentMilliseconds() } });
        m_watch.interrupt();
    }

    /** A server with a free slot, once the retry is charged to the silent one's budget. Resuming a stream is not charged. */
    std::optional<BackendServer> assignSuccessor()
    {
        bool mayReconnect = isReachableOnNewConnection();
        std::uint64_t random = m_core->dispatcher().random();
        return m_core->dispatcher().withTable([&](DispatchTable& table) -> std::optional<BackendServer> {
            Instant now = currentTime();
            auto server = table.assignTakeover(m_queued, m_currentServer.name, m_tried, now, random);
            if (!server && mayReconnect)
                server = table.assignReconnect(m_queued, m_currentServer.name, now);
            if (!server)
                return std::nullopt;
            bool isCharged = m_lifecycle.tokenCount() > 0 || table.takeRetry(m_currentServer.name, m_lifecycle.attemptCount(), random);
            if (isCharged)
                return server;
            table.recordAttemptOutcome(server->name, AttemptOutcome::Unused, now);
            return std::nullopt;
        });
    }

    /** True if the connection seems to be dead rather than the server, which has been silent for long but answers on a new one. */
    bool isReachableOnNewConnection()
    {
        if (m_hasReconnected || currentTime() < m_reconnectTime)
            return false;
        if (!m_isReachable)
            m_isReachable = probe(m_currentServer);
        return m_isReachable->load();
    }

    /** New requests use new connections to the server, and the probe shows whether it is dead. */
    void noteSilence()
    {
        if (std::exchange(m_isSilent, true))
            return;
        logEvent(EventId::RouterServerSilent, { { "request", m_request.parameters.request.text() }, { "server", m_currentServer.name.text() }, { "tokens", m_lifecycle.tokenCount() }, { "silent_ms", silentMilliseconds() } });
        m_core->protocol(m_currentServer.protocol)->closeIdleConnections(m_currentServer);
        probe(m_currentServer);
    }

    std::uint64_t silentMilliseconds() const
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(currentTime() - m_lastProgress).count());
    }

    void releaseSuccessor()
    {
        if (auto unused = std::exchange(m_successor, std::nullopt))
            recordAttemptOutcome(*unused, AttemptOutcome::Unused);
    }

    static tl::unexpected<Error<BackendErrorCode>> silenceError()
    {
        return failure(BackendErrorCode::TimedOut, "the server was silent and another one has been assigned");
    }

    //==============================================================================

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
            if (mayHaveRun && !isResumed && !m_successor)
                pause = table.takeRetry(server.name, m_lifecycle.attemptCount(), random);
        });
        if (error.code == BackendErrorCode::TimedOut && !m_isSilent)
            probe(server);
        LifecycleDecision decision = m_lifecycle.fail(attempt, error.code, pause.has_value(), currentTime());
        if (decision.kind != LifecycleDecision::Kind::Retry)
            releaseSuccessor();
        else if (m_successor && m_successor->name == server.name)
            m_hasReconnected = true;
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

    /** Distinguishes a dead server from a dead connection: idle connections have been closed, so the probe uses a new one. The result becomes true if the server answers. */
    std::shared_ptr<const std::atomic<bool>> probe(const BackendServer& server)
    {
        auto isReachable = std::make_shared<std::atomic<bool>>(false);
        m_core->spawn([core = m_core, server, isReachable]() -> asio::awaitable<void> {
            auto protocol = core->protocol(server.protocol);
            auto state = co_await protocol->readState(server, currentTime() + probeTimeout);
            isReachable->store(state.has_value());
            core->dispatcher().withTable([&](DispatchTable& table) { table.recordProbe(server.name, state.has_value(), currentTime()); });
        });
        return isReachable;
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
    std::optional<WatchdogTimer> m_silenceTimer;
    BackendServer m_currentServer;
    /** The server that takes over from the silent one; its slot is reserved. */
    std::optional<BackendServer> m_successor;
    Instant m_lastProgress {};
    /** When the attempt may move to a new connection to the same server. */
    Instant m_reconnectTime {};
    bool m_isSilent = false;
    bool m_hasReconnected = false;
    std::shared_ptr<const std::atomic<bool>> m_isReachable;
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
