#include "gateway/ForwardingTimes.h"
#include "gateway/RequestForwarder.h"
#include "hemlockchute/core/EventLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

constexpr unsigned statusOk = 200;
/** The hedge ends at the request's deadline by itself; its end may take this much longer to be noted. */
constexpr Duration endSlack = 100ms;

constexpr MetricDefinition sentMetric { "hemlock_gateway_hedges_sent_total", "Requests that were sent to a second server while the first one had not answered." };
constexpr MetricDefinition wonMetric { "hemlock_gateway_hedges_won_total", "Hedged requests that the second server answered." };
constexpr MetricDefinition lostMetric { "hemlock_gateway_hedges_lost_total", "Hedged requests that the second server did not answer, or not first." };
constexpr MetricDefinition heldBackMetric { "hemlock_gateway_hedges_held_back_total", "Requests that were not hedged although hedging is on, by cause." };

MetricLabels causeOf(HedgePolicy::Obstacle obstacle)
{
    return { MetricLabel { "cause", std::string(HedgePolicy::nameOf(obstacle)) } };
}

} // namespace

//==============================================================================
// Hedged requests

/** Sets the time of a hedge for the first send of a safe request. */
void RequestForwarder::scheduleHedge()
{
    bool isFirst = m_sends == 1 && !m_call->silentAnswer && !m_call->hedge;
    if (!m_core.hedging.isEnabled() || m_route->kind != RequestKind::Safe || !isFirst || m_route->maximumAttempts < 2)
        return;
    if (auto delay = m_core.hedging.delay(m_key.service, currentTime()))
        m_hedgeTimer->restart(m_attemptSent + *delay);
    else
        m_core.metrics.add(heldBackMetric, causeOf(HedgePolicy::Obstacle::FewSamples));
}

/** Sends the request to a second server if all conditions hold at the time at which the hedge is due. */
void RequestForwarder::considerHedge()
{
    if (m_call->isCallerDisconnected || m_isAborted || m_hasHead || m_sends > 1 || m_successor || m_call->silentAnswer || m_call->hedge)
        return;
    Instant now = currentTime();
    SpareServerSelection spare = m_core.admission.selectSpare(m_key, m_metadata, m_triedServers, now);
    HedgePolicy::Situation situation;
    situation.isStopping = m_core.stopDeadline.has_value();
    situation.isSuspect = m_isTrial || m_core.promptParts.isSuspect(m_suspectKeys);
    situation.hasAttempt = m_sends < m_route->maximumAttempts && m_tries < maximumTries;
    situation.hasTime = timeLeft() > minimumServiceTime;
    situation.isAccessRevoked = isAccessRevoked();
    situation.hasPausedServer = spare.hasPausedServer;
    situation.hasLimitedServer = spare.hasLimitedServer;
    situation.hasFreeServer = spare.server.has_value();
    if (auto obstacle = m_core.hedging.tryHedge(m_key.service, situation, m_core.retries, now))
        m_core.metrics.add(heldBackMetric, causeOf(*obstacle));
    else
        sendHedge(*spare.server);
}

void RequestForwarder::sendHedge(const BackendServerName& name)
{
    const ListedServer* server = m_core.servers.find(name);
    auto hedge = std::make_shared<Hedge>(m_core.responseBuffers);
    hedge->first = { m_currentServer, m_attemptStartedAt };
    hedge->server = lifeOf(*server);
    hedge->sent = currentTime();
    hedge->onHead = [this](HttpResponseStream& answer) { return noteHedgeHead(answer); };
    hedge->onEnd = [this] { noteHedgeEnded(); };
    m_call->hedge = hedge;
    reserve(name);
    m_activeServers.insert(name);
    if (hasModel())
        m_core.demand.addActive(m_key, 1);
    ++m_tries;
    ++m_sends;
    m_core.metrics.add(sentMetric);
    logEvent(EventId::GatewayHedgeSent, { { "request", m_metadata.attempt }, { "route", m_route->name }, { "first", m_currentServer }, { "second", name }, { "after_ms", milliseconds(hedge->sent - m_attemptSent) }, { "send", m_sends }, { "left_ms", milliseconds(timeLeft()) } });
    HttpRequest request = m_core.platform.forwardedRequest(m_exchange.request(), termsFor(name));
    asio::co_spawn(m_executor, runHedge(hedge, m_core.client, server->address, std::move(request), answerDeadline()), asio::detached);
}

/** Sends the request and reads its answer. */
asio::awaitable<void> RequestForwarder::runHedge(std::shared_ptr<Hedge> hedge, HttpClient& client, Endpoint address, HttpRequest request, Instant deadline)
{
    auto answer = co_await client.begin(address, std::move(request), deadline, HttpClient::ConnectionUse::Pooled, hedge->handle);
    if (!answer)
        hedge->error = answer.error();
    bool isOpen = answer.has_value();
    if (isOpen) {
        hedge->answer = answer->get();
        auto head = co_await hedge->answer->readHead(deadline);
        hedge->hasHead = head.has_value();
        if (!head)
            hedge->error = head.error();
        isOpen = hedge->hasHead && hedge->onHead && hedge->onHead(*hedge->answer);
    }
    while (isOpen) {
        auto piece = co_await hedge->answer->read(deadline);
        if (!piece)
            hedge->error = piece.error();
        isOpen = piece && *piece;
        if (!isOpen)
            break;
        hedge->response.body += **piece;
        hedge->isTooLong = !hedge->buffered.resize(hedge->response.body.capacity());
        isOpen = !hedge->isTooLong;
    }
    hedge->answer = nullptr;
    if (hedge->onEnd)
        hedge->onEnd();
}

/** True if the body is to be read. */
bool RequestForwarder::noteHedgeHead(HttpResponseStream& answer)
{
    Hedge& hedge = *m_call->hedge;
    AnswerMetadata metadata = noteHead(hedge.server, answer, hedge.sent);
    hedge.refusal = refusalOutcome(hedge.server.server, metadata, answer);
    hedge.response.status = answer.status();
    hedge.response.headers = m_core.platform.forwardedAnswerHeaders(answer.headers());
    return !hedge.refusal;
}

/** Frees the place at the server; an answer that can be forwarded cancels the first attempt, whose coroutine forwards it. */
void RequestForwarder::noteHedgeEnded()
{
    Hedge& hedge = *m_call->hedge;
    const BackendServerName& name = hedge.server.server;
    m_core.servers.notePromptRead(name, m_metadata);
    noteAttemptEnded(name);
    Outcome outcome = hedgeOutcome();
    hedge.outcome = outcome;
    m_mayHaveRun = m_mayHaveRun || outcome == Outcome::Unknown || outcome == Outcome::Failed;
    if (outcome == Outcome::Answered) {
        m_core.servers.noteSuccess(name);
        m_call->cancel();
    }
    m_hedgeEnded.notifyAll();
}

RequestForwarder::Outcome RequestForwarder::hedgeOutcome()
{
    Hedge& hedge = *m_call->hedge;
    const BackendServerName& name = hedge.server.server;
    if (m_call->isCallerDisconnected)
        return Outcome::CallerDisconnected;
    if (hedge.refusal)
        return *hedge.refusal;
    if (hedge.error)
        return noteLostHedge();
    if (hedge.isTooLong)
        return noteFailedAttempt(name, Outcome::Unknown, "the answer is too long");
    if (hedge.response.status < firstFailure)
        return Outcome::Answered;
    m_failure = std::move(hedge.response);
    m_failedAt = name;
    return noteFailedAttempt(name, Outcome::Failed, "status " + std::to_string(m_failure->status));
}

RequestForwarder::Outcome RequestForwarder::noteLostHedge()
{
    const Hedge& hedge = *m_call->hedge;
    const BackendServerName& name = hedge.server.server;
    HttpClientErrorCode code = hedge.error->code;
    bool isNotSent = !hedge.hasHead && isCertainlyNotSent(code);
    if (isNotSent)
        --m_sends;
    if (!hedge.hasHead && (isNotSent || code == HttpClientErrorCode::TimedOut))
        m_core.servers.noteUnreachable(name, currentTime());
    if (code == HttpClientErrorCode::ConnectionRefused)
        noteConnectionRefused(name);
    bool isBroken = code == HttpClientErrorCode::ConnectionLost && !m_isAborted;
    if (isBroken)
        m_brokenHedgeServer = hedge.server;
    if (isBroken || (!hedge.hasHead && code == HttpClientErrorCode::TimedOut))
        noteUnanswered(hedge.server, hedge.sent);
    return noteFailedAttempt(name, isNotSent ? Outcome::NotSent : Outcome::Unknown, (hedge.hasHead ? "the answer broke off: " : "") + hedge.error->detail);
}

/** Forwards the hedge's answer in place of the first one, which was overtaken or has failed. Otherwise returns the outcome of both attempts. */
asio::awaitable<RequestForwarder::Outcome> RequestForwarder::awaitHedge(Outcome first)
{
    if (first == Outcome::Overtaken && !m_hasHead)
        m_core.hedging.noteHeadTime(m_key.service, currentTime() - m_attemptSent, currentTime());
    Instant end = answerDeadline() + endSlack;
    while (isHedgeRunning() && currentTime() < end)
        co_await m_hedgeEnded.wait(end);
    Outcome second = m_call->hedge->outcome.value_or(Outcome::Unknown);
    if (m_call->isCallerDisconnected) {
        endHedge("none");
        co_return Outcome::CallerDisconnected;
    }
    if (second != Outcome::Answered) {
        endHedge("none");
        // What may have run at either server may have run; a request counts as not sent only if neither was sent it.
        bool isFirstDecisive = first == Outcome::Unknown || first == Outcome::Failed || second == Outcome::NotSent;
        co_return isFirstDecisive ? first : second;
    }
    auto hedge = m_call->hedge;
    BackendServerName name = hedge->server.server;
    unsigned status = hedge->response.status;
    endHedge("second");
    if (status == statusOk)
        noteAnswerBegun();
    m_firstByte = elapsed();
    bool isSent = co_await m_exchange.respond(std::move(hedge->response));
    if (!isSent)
        co_return Outcome::CallerDisconnected;
    noteAnswered(name, status);
    co_return Outcome::Answered;
}

/** Cancels the hedge unless it has ended, and frees its place. The argument says which send the caller's answer is of: first, second or none. */
void RequestForwarder::endHedge(std::string_view answered)
{
    auto hedge = std::exchange(m_call->hedge, nullptr);
    const BackendServerName& name = hedge->server.server;
    hedge->onHead = nullptr;
    hedge->onEnd = nullptr;
    if (!hedge->outcome) {
        hedge->cancel();
        m_core.servers.notePromptRead(name, m_metadata);
        noteAttemptEnded(name);
    }
    m_core.metrics.add(answered == "second" ? wonMetric : lostMetric);
    logEvent(EventId::GatewayHedgeEnded, { { "request", m_metadata.attempt }, { "first", hedge->first.server }, { "second", name }, { "answered", answered }, { "hedge_ms", milliseconds(currentTime() - hedge->sent) }, { "after_ms", milliseconds(elapsed()) }, { "left_ms", milliseconds(timeLeft()) } });
}

} // namespace hemlockchute
