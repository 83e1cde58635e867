#include "gateway/RequestForwarder.h"

#include "gateway/ForwardingTimes.h"
#include "hemlockchute/core/EventLog.h"

#include <algorithm>

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusWrongServer = 421;

/** A server responds at the deadline by itself; its response may take this much longer to arrive. */
constexpr Duration responseSlack = 100ms;
constexpr Duration configurationRetryAfter = 1s;
/** Allows for an election and the leader's first replies after it. */
constexpr Duration maximumReadinessWait = 1500ms;

constexpr MetricDefinition waitMetric { "hemlock_gateway_wait_seconds", "Time from a request to its first attempt at a server." };

std::string_view pathOf(const HttpRequest& request)
{
    return std::string_view(request.target).substr(0, request.target.find('?'));
}

/** The Host header without the port. */
std::string hostOf(const HttpRequest& request)
{
    std::string host = request.headers.find("Host").value_or("");
    return host.substr(0, host.find(':'));
}

} // namespace

//==============================================================================
RequestForwarder::RequestForwarder(GatewayCore& core, HttpExchange& exchange)
    : m_core(core)
    , m_exchange(exchange)
    , m_received(currentTime())
    , m_configuration(core.configuration)
    , m_call(std::make_shared<CallState>())
    , m_requests(core.requests)
    , m_quotas(core.quotas)
    , m_waiting(core.waiting)
{
    m_requests->insert(this);
}

RequestForwarder::~RequestForwarder()
{
    m_call->answer = nullptr;
    m_call->silentAnswer = nullptr;
    // Its coroutine ends by itself.
    if (auto hedge = std::exchange(m_call->hedge, nullptr)) {
        hedge->onHead = nullptr;
        hedge->onEnd = nullptr;
    }
    settleQuota();
    m_waiting->remove(*this);
    m_requests->erase(this);
}

void RequestForwarder::abort()
{
    m_isAborted = true;
    m_call->cancel();
}

asio::awaitable<void> RequestForwarder::run()
{
    m_exchange.onCallerDisconnect([call = m_call, &stateChanged = m_core.stateChanged] {
        call->noteCallerDisconnect();
        stateChanged.notifyAll();
    });
    auto metadata = m_core.platform.decodeRequest(m_exchange.request());
    if (!metadata) {
        co_await refuse(statusBadRequest, metadata.error().detail);
        co_return;
    }
    m_metadata = std::move(*metadata);
    if (!isReadyToRoute())
        co_await awaitReadiness();
    if (m_call->isCallerDisconnected) {
        logCallerDisconnect();
        co_return;
    }
    if (!m_configuration) {
        co_await refuse(statusUnavailable, "no configuration is known yet", configurationRetryAfter);
        co_return;
    }
    m_route = m_configuration->findRoute(hostOf(m_exchange.request()), pathOf(m_exchange.request()));
    if (!m_route) {
        co_await refuse(statusNotFound, "no route matches");
        co_return;
    }
    bool isAllowed = co_await checkAccess();
    if (!isAllowed)
        co_return;
    if (!prepare()) {
        co_await refuse(statusUnavailable, "the service does not declare the model", minimumRetryAfter);
        co_return;
    }
    if (outlastsProcess()) {
        co_await refuse(statusUnavailable, "the gateway stops before the request's deadline", minimumRetryAfter);
        co_return;
    }
    bool isAdmitted = co_await admitToQuota();
    if (!isAdmitted)
        co_return;
    if (hasModel())
        m_core.demand.noteArrival(m_key, rank());
    co_await forward();
}

/** True for a request that comes when others were to be finished only, and may still be in progress when the process exits. */
bool RequestForwarder::outlastsProcess() const
{
    return m_core.isDraining && m_deadline > *m_core.stopDeadline - abortLeadTime;
}

bool RequestForwarder::isReadyToRoute() const
{
    return m_core.configuration && m_core.servers.hasListing();
}

/** Waits for the configuration and the servers after a start, since a caller that waits is served sooner than one that retries. */
asio::awaitable<void> RequestForwarder::awaitReadiness()
{
    Duration wait = std::min<Duration>(maximumReadinessWait, m_metadata.deadline.value_or(maximumReadinessWait) / fullWaitDivisor);
    Instant end = m_received + wait;
    while (!isReadyToRoute() && !m_call->isCallerDisconnected && !m_isAborted && currentTime() < end)
        co_await m_core.stateChanged.wait(end);
    m_configuration = m_core.configuration;
}

/** Draws the service by weight and sets the deadline; false when the service does not declare the model. */
bool RequestForwarder::prepare()
{
    unsigned total = 0;
    for (const WeightedService& share : m_route->services)
        total += share.weight;
    unsigned drawn = std::uniform_int_distribution<unsigned>(0, total - 1)(m_core.random);
    for (const WeightedService& share : m_route->services) {
        m_key.service = share.service;
        if (drawn < share.weight)
            break;
        drawn -= share.weight;
    }
    Duration timeout = std::min(m_route->timeout, m_metadata.deadline.value_or(m_route->timeout));
    m_deadline = m_received + timeout;
    m_core.retries.noteRequest(m_key.service, m_received);
    m_core.hedging.noteRequest(m_key.service, m_received);
    m_suspectKeys = { requestKeyOf(m_exchange.request()) };
    const RoutedService* service = m_configuration->findService(m_key.service);
    if (!service->engine)
        return true;
    m_key.model = m_metadata.model;
    m_key.adapter = m_metadata.adapter;
    if (!service->engine->models.contains(m_key.model))
        return false;
    std::vector<PromptPartKey> parts = sharedPartKeys(m_metadata);
    m_suspectKeys.insert(m_suspectKeys.end(), parts.begin(), parts.end());
    return true;
}

asio::awaitable<void> RequestForwarder::forward()
{
    auto executor = co_await asio::this_coro::executor;
    m_silenceTimer.emplace(executor, [this] { checkSilence(); });
    m_overlapTimer.emplace(executor, [this] { leaveSilentServer(); });
    m_hedgeTimer.emplace(executor, [this] { considerHedge(); });
    m_executor = executor;
    bool again = true;
    while (again)
        again = co_await tryOnce();
    releaseSuccessor();
}

/** Makes one attempt; true when another one is to follow. */
asio::awaitable<bool> RequestForwarder::tryOnce()
{
    auto server = takeSuccessor();
    bool isRefused = !server && checkQuarantine();
    if (isRefused && m_isTrialDue)
        isRefused = !co_await awaitTrial();
    if (!server && !isRefused)
        server = co_await awaitServer();
    // The verdict, or a configuration without the key, may have come while the request waited.
    bool isRefusedNow = server && (checkQuarantine() || isAccessRevoked());
    if (isRefusedNow)
        release(*std::exchange(server, std::nullopt));
    if (m_call->isCallerDisconnected) {
        if (server)
            release(*server);
        logCallerDisconnect();
        co_return false;
    }
    if (!server) {
        co_await respondWithFailure();
        co_return false;
    }
    Outcome outcome = co_await attemptAt(*server);
    if (m_call->isCallerDisconnected && outcome != Outcome::Answered)
        outcome = Outcome::CallerDisconnected;
    if (outcome == Outcome::CallerDisconnected)
        logCallerDisconnect();
    if (outcome == Outcome::CallerDisconnected || outcome == Outcome::Answered)
        co_return false;
    bool again = m_successor.has_value() || mayResend(outcome);
    if (!again)
        co_await respondWithFailure();
    co_return again;
}

/** Makes an attempt at a reserved server. */
asio::awaitable<RequestForwarder::Outcome> RequestForwarder::attemptAt(const BackendServerName& server)
{
    if (m_tries == 0)
        m_core.metrics.observe(waitMetric, elapsed());
    ++m_tries;
    m_currentServer = server;
    m_activeServers.insert(server);
    m_brokenServer.reset();
    if (hasModel())
        m_core.demand.addActive(m_key, 1);
    Outcome outcome = co_await sendTo(server);
    m_silenceTimer->stop();
    m_hedgeTimer->stop();
    endSilence();
    notePromptRead(server);
    noteAttemptEnded(server);
    m_mayHaveRun = m_mayHaveRun || outcome == Outcome::Unknown || outcome == Outcome::Failed;
    co_await checkBrokenServer();
    if (m_call->hedge)
        outcome = co_await awaitHedge(outcome);
    m_brokenServer = std::exchange(m_brokenHedgeServer, std::nullopt);
    co_await checkBrokenServer();
    co_return outcome;
}

//==============================================================================
// One attempt

Instant RequestForwarder::answerDeadline() const
{
    return m_deadline + responseSlack;
}

asio::awaitable<RequestForwarder::Outcome> RequestForwarder::sendTo(const BackendServerName& name)
{
    const ListedServer* server = m_core.servers.find(name);
    HttpRequest request = m_core.platform.forwardedRequest(m_exchange.request(), termsFor(name));
    HttpClient::ConnectionUse use = m_route->isRepeatable() ? HttpClient::ConnectionUse::Pooled : HttpClient::ConnectionUse::RecentlyUsed;
    // On a kept connection, a faulty server could repeat its refusal of the earlier attempt, which has the same id.
    if (m_refusedBy.contains(name))
        use = HttpClient::ConnectionUse::Fresh;
    ServerIncarnation incarnation = lifeOf(*server);
    ++m_sends;
    noteQuotaSent();
    m_isReading = true;
    m_hasHead = false;
    Instant sent = currentTime();
    m_attemptSent = sent;
    m_attemptStartedAt = incarnation.startedAt;
    m_eventBatches = 0;
    noteProgress();
    scheduleHedge();
    auto answer = co_await m_core.client.begin(server->address, std::move(request), answerDeadline(), use, m_call->handle);
    if (!answer && isCertainlyNotSent(answer.error().code))
        returnRateGrant(name);
    m_rateGrants.erase(name);
    if (m_call->isCallerDisconnected)
        co_return Outcome::CallerDisconnected;
    if (!answer)
        co_return noteLostAttempt(name, answer.error());
    m_call->answer = answer->get();
    Outcome outcome = co_await receive(incarnation, **answer, sent);
    m_call->answer = nullptr;
    co_return outcome;
}

RequestForwarder::Outcome RequestForwarder::noteLostAttempt(const BackendServerName& name, const Error<HttpClientErrorCode>& error)
{
    bool isNotSent = isCertainlyNotSent(error.code);
    if (isNotSent)
        --m_sends;
    if (isOvertaken())
        return Outcome::Overtaken;
    if (isNotSent || error.code == HttpClientErrorCode::TimedOut)
        m_core.servers.noteUnreachable(name, currentTime());
    if (error.code == HttpClientErrorCode::ConnectionRefused)
        noteConnectionRefused(name);
    if (error.code == HttpClientErrorCode::ConnectionLost)
        noteBroken(name);
    if (error.code == HttpClientErrorCode::TimedOut)
        noteUnanswered(name);
    return noteFailedAttempt(name, isNotSent ? Outcome::NotSent : Outcome::Unknown, error.detail);
}

asio::awaitable<RequestForwarder::Outcome> RequestForwarder::receive(const ServerIncarnation& incarnation, HttpResponseStream& answer, Instant sent)
{
    const BackendServerName& name = incarnation.server;
    auto head = co_await answer.readHead(answerDeadline());
    while (!head && head.error().code == HttpClientErrorCode::Interrupted) {
        auto outcome = co_await moveFrom(name, answer);
        if (outcome)
            co_return *outcome;
        head = co_await answer.readHead(answerDeadline());
    }
    if (m_call->isCallerDisconnected)
        co_return Outcome::CallerDisconnected;
    if (!head)
        co_return noteLostAttempt(name, head.error());
    // The server may have gone on just before the other one was asked.
    releaseSuccessor();
    m_hasHead = true;
    noteProgress();
    m_hedgeTimer->stop();
    AnswerMetadata metadata = noteHead(incarnation, answer, sent);
    co_return co_await receiveBody(name, metadata, answer);
}

/** Applies what the head of an answer says of its server. */
AnswerMetadata RequestForwarder::noteHead(const ServerIncarnation& incarnation, HttpResponseStream& answer, Instant sent)
{
    AnswerMetadata metadata = m_core.platform.decodeAnswer(answer.status(), answer.headers());
    // The address may belong to another server now, whose notice is about itself.
    bool isOfThisServer = answer.status() != statusWrongServer;
    if (isOfThisServer)
        applyNotice(incarnation, metadata.notice);
    if (isOfThisServer || metadata.notice.limit) {
        RateLimitNotice limit;
        limit.server = incarnation;
        limit.limit = metadata.notice.limit;
        limit.sent = sent;
        limit.received = currentTime();
        noteRateLimit(limit);
    }
    return metadata;
}

/** The outcome of an attempt whose answer is not to be read on, as its head shows; nothing for any other. */
std::optional<RequestForwarder::Outcome> RequestForwarder::refusalOutcome(const BackendServerName& name, const AnswerMetadata& metadata, HttpResponseStream& answer)
{
    static constexpr unsigned refusalStatuses[] = { 408, 421, 429, 503 };
    unsigned status = answer.status();
    bool isOther = metadata.attempt && *metadata.attempt != m_metadata.attempt;
    bool isSuccess = status < firstFailure && !metadata.isNotRun && std::find(std::begin(refusalStatuses), std::end(refusalStatuses), status) == std::end(refusalStatuses);
    // A response without an attempt id may be a late one to another request, except an error or refusal on a fresh connection.
    bool mayBeOther = !metadata.attempt && (isSuccess || answer.isOnReusedConnection());
    if (isOther || mayBeOther)
        return noteFailedAttempt(name, Outcome::Unknown, "the answer belongs to another request");
    if (metadata.isNotRun || status == statusWrongServer) {
        if (hasModel() && !metadata.notice.pause)
            m_core.servers.noteModelMissing(name, m_key, currentTime());
        m_refusedBy.insert(name);
        return noteFailedAttempt(name, Outcome::NotRun, "status " + std::to_string(status));
    }
    if (std::find(std::begin(refusalStatuses), std::end(refusalStatuses), status) != std::end(refusalStatuses))
        return noteFailedAttempt(name, Outcome::Unknown, "status " + std::to_string(status) + " without word whether it ran");
    return std::nullopt;
}

asio::awaitable<RequestForwarder::Outcome> RequestForwarder::receiveBody(const BackendServerName& name, const AnswerMetadata& metadata, HttpResponseStream& answer)
{
    unsigned status = answer.status();
    if (auto refused = refusalOutcome(name, metadata, answer))
        co_return *refused;
    // Only events can follow the events that the caller has; an error would become part of them.
    bool isRestMissing = m_hasBegun && status != statusOk;
    // The silent server is a better prospect than the rest of an error response.
    if (isRestMissing || (status >= firstFailure && m_call->silentAnswer))
        co_return noteFailedAttempt(name, Outcome::Failed, "status " + std::to_string(status));
    if (status < firstFailure)
        leaveSilentServer();
    if (status < firstFailure && m_route->kind == RequestKind::Safe)
        m_core.hedging.noteHeadTime(m_key.service, currentTime() - m_attemptSent, currentTime());
    if (m_route->kind == RequestKind::Stream && status == statusOk)
        co_return co_await forwardEvents(name, answer);
    co_return co_await receiveBuffered(name, answer);
}

asio::awaitable<RequestForwarder::Outcome> RequestForwarder::receiveBuffered(const BackendServerName& name, HttpResponseStream& answer)
{
    m_silenceTimer->stop();
    BufferReservation buffered(m_core.responseBuffers);
    HttpResponse response;
    response.status = answer.status();
    response.headers = m_core.platform.forwardedAnswerHeaders(answer.headers());
    while (true) {
        auto piece = co_await answer.read(answerDeadline());
        if (isOvertaken())
            co_return Outcome::Overtaken;
        if (!piece && piece.error().code == HttpClientErrorCode::ConnectionLost)
            noteBroken(name);
        if (!piece)
            co_return noteFailedAttempt(name, Outcome::Unknown, "the answer broke off: " + piece.error().detail);
        if (!*piece)
            break;
        response.body += **piece;
        if (!buffered.resize(response.body.capacity()))
            co_return noteFailedAttempt(name, Outcome::Unknown, "the answer is too long");
    }
    if (response.status >= firstFailure) {
        m_failure = std::move(response);
        m_failedAt = name;
        co_return noteFailedAttempt(name, Outcome::Failed, "status " + std::to_string(m_failure->status));
    }
    m_core.servers.noteSuccess(name);
    unsigned status = response.status;
    if (status == statusOk)
        noteAnswerBegun();
    if (m_call->hedge)
        endHedge("first");
    m_firstByte = elapsed();
    bool isSent = co_await m_exchange.respond(std::move(response));
    if (!isSent)
        co_return Outcome::CallerDisconnected;
    noteAnswered(name, status);
    co_return Outcome::Answered;
}

/** Forwards complete events as they arrive; the response headers are sent with the first of them. */
asio::awaitable<RequestForwarder::Outcome> RequestForwarder::forwardEvents(const BackendServerName& name, HttpResponseStream& answer)
{
    EventStreamSplitter splitter;
    BufferReservation buffered(m_core.responseBuffers);
    while (true) {
        auto piece = co_await answer.read(answerDeadline());
        if (m_call->isCallerDisconnected)
            co_return Outcome::CallerDisconnected;
        if (!piece && piece.error().code == HttpClientErrorCode::Interrupted) {
            auto outcome = co_await moveFrom(name, answer);
            if (outcome)
                co_return *outcome;
            continue;
        }
        // An end without any event, marked by nothing but the end of the connection, is that of the server.
        bool isCutOff = piece && !*piece && (splitter.hasPartialEvent() || (m_eventBatches == 0 && answer.endsWithConnection()));
        bool isBroken = isCutOff || (!piece && piece.error().code == HttpClientErrorCode::ConnectionLost);
        if (isBroken)
            noteBroken(name);
        else if (!piece && piece.error().code == HttpClientErrorCode::TimedOut)
            noteUnanswered(name);
        if (!piece || isBroken)
            co_return noteFailedAttempt(name, Outcome::Unknown, piece ? "the stream ends within or before an event" : "the stream broke off: " + piece.error().detail);
        if (m_successor) {
            // The server has gone on before the other one was asked.
            releaseSuccessor();
            watchSilence();
        }
        WholeEvents events;
        if (*piece)
            events = splitter.feed(**piece);
        if (!buffered.resize(splitter.partialBytes()))
            co_return noteFailedAttempt(name, Outcome::Unknown, "an event of the stream is too long");
        if (*piece && events.bytes.empty())
            continue;
        // In streams whose events have ids only events count, since a server may send comments or partial events without making progress.
        bool isProgress = events.lastId || !m_lastEvent;
        // No other server may be reserved while the event is written to the caller.
        if (isProgress) {
            m_silenceTimer->stop();
            m_waiting->remove(*this);
        }
        if (events.lastId)
            m_lastEvent = events.lastId;
        // A server may still end while it writes its first event.
        if (!*piece || ++m_eventBatches == 2)
            noteAnswerBegun();
        bool isSent = true;
        notePromptRead(name);
        if (!m_hasBegun) {
            m_hasBegun = true;
            m_firstByte = elapsed();
            isSent = co_await m_exchange.startStream(answer.status(), m_core.platform.forwardedAnswerHeaders(answer.headers()), std::move(events.bytes));
        } else if (*piece)
            isSent = co_await m_exchange.write(std::move(events.bytes));
        if (isProgress)
            noteProgress();
        if (!*piece) {
            m_core.servers.noteSuccess(name);
            if (isSent)
                isSent = co_await m_exchange.finish();
        }
        if (!isSent)
            co_return Outcome::CallerDisconnected;
        if (!*piece) {
            noteAnswered(name, answer.status());
            co_return Outcome::Answered;
        }
    }
}

} // namespace hemlockchute
