#include "gateway/RequestForwarder.h"

#include "gateway/ForwardingTimes.h"
#include "hemlockchute/core/EventLog.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <random>

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusTimedOut = 504;

/** Jitter added to the retry time of callers refused because of a pause or a rate limit, so that they do not all return at once. */
constexpr Duration maximumReturnJitter = 300ms;

constexpr std::size_t maximumRememberedNotices = 1024;

constexpr MetricDefinition pausesMetric { "hemlock_gateway_server_pauses_total", "Pauses that backend servers asked for." };
constexpr MetricDefinition requestsMetric { "hemlock_gateway_requests_total", "Requests by rank and outcome." };
constexpr MetricDefinition firstByteMetric { "hemlock_gateway_first_byte_seconds", "Time from a request to the first byte of its answer." };
constexpr MetricDefinition wholeMetric { "hemlock_gateway_answer_seconds", "Time from a request to the end of its answer." };
constexpr MetricDefinition attemptsMetric { "hemlock_gateway_failed_attempts_total", "Attempts at servers without an answer to pass on, by what is known of them." };

HttpResponse refusal(unsigned status, std::string_view reason, std::optional<Duration> retryAfter)
{
    bool isNotRun = status != statusBadGateway && status != statusTimedOut;
    boost::json::object body { { "title", reason }, { "outcome", isNotRun ? "not-run" : "outcome-unknown" } };
    HttpResponse response { status, { { "Content-Type", "application/problem+json" } }, boost::json::serialize(body) };
    if (retryAfter)
        response.headers.set("Retry-After", secondsText(*retryAfter));
    return response;
}

} // namespace

std::string secondsText(Duration duration)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::chrono::duration<double>(duration).count());
    return text;
}

//==============================================================================
// After an attempt

RequestForwarder::Outcome RequestForwarder::noteFailedAttempt(const BackendServerName& name, Outcome outcome, std::string_view reason)
{
    static constexpr std::string_view names[] = { "answered", "not-sent", "not-run", "unknown", "failed", "caller-gone", "overtaken" };
    std::string_view outcomeName = names[static_cast<std::size_t>(outcome)];
    if (m_isAborted)
        reason = "the gateway stops";
    else if (m_successor)
        reason = "the server is silent, and another one takes over";
    else if (outcome != Outcome::NotRun && !m_call->isCallerDisconnected)
        m_core.servers.noteFailure(name, currentTime());
    m_lastFault = std::string(outcomeName) + " at " + name.text() + ": " + std::string(reason);
    m_attemptFault = m_lastFault;
    m_core.metrics.add(attemptsMetric, { { "outcome", std::string(outcomeName) } });
    logEvent(EventId::GatewayAttemptFailed, { { "request", m_metadata.attempt }, { "server", name }, { "started_at", incarnationOf(name).startedAt }, { "request_key", m_suspectKeys.front() }, { "parts", sharedPartsText() }, { "outcome", outcomeName }, { "reason", reason }, { "send", m_sends }, { "last_event", m_lastEvent.value_or(0) }, { "silent_ms", milliseconds(currentTime() - m_lastProgress) }, { "version", m_configuration->version() }, { "after_ms", milliseconds(elapsed()) }, { "left_ms", milliseconds(timeLeft()) } });
    return outcome;
}

/** The server's current incarnation; start time 0 if it is not listed any more. */
ServerIncarnation RequestForwarder::incarnationOf(const BackendServerName& name) const
{
    const ListedServer* server = m_core.servers.find(name);
    return server ? lifeOf(*server) : ServerIncarnation { name, 0 };
}

/** The ids of the prompt's parts except the last, for the log. */
std::string RequestForwarder::sharedPartsText() const
{
    constexpr std::size_t maximumLength = 200;
    std::string text;
    for (std::size_t i = 0; i + 1 < m_metadata.promptParts.size() && text.size() < maximumLength; ++i)
        text += (i == 0 ? "" : ",") + m_metadata.promptParts[i].id;
    return text.substr(0, maximumLength);
}

/** A server's notice takes effect at once, whatever the outcome of the response that carries it. */
void RequestForwarder::applyNotice(const ServerIncarnation& incarnation, const ServerNotice& notice)
{
    Instant now = currentTime();
    if (notice.isLeaving && m_core.servers.noteLeaving(incarnation, now))
        logEvent(EventId::GatewayServerLeaving, { { "server", incarnation.server }, { "started_at", incarnation.startedAt }, { "request", m_metadata.attempt } });
    if (notice.pause) {
        double jitter = std::uniform_real_distribution<double>(0, 1)(m_core.random);
        Instant end = m_core.servers.notePause(incarnation, *notice.pause, jitter, now);
        // The pause excludes the server; after that it may be tried again.
        if (end > now)
            m_triedServers.erase(incarnation.server);
        m_core.metrics.add(pausesMetric);
        logEvent(EventId::GatewayServerPaused, { { "server", incarnation.server }, { "started_at", incarnation.startedAt }, { "request", m_metadata.attempt }, { "asked_ms", milliseconds(*notice.pause) }, { "pause_ms", milliseconds(end - now) } });
    }
    if (m_core.unreadableNotices.size() >= maximumRememberedNotices)
        m_core.unreadableNotices.clear();
    if (!notice.unreadable.empty() && m_core.unreadableNotices.emplace(incarnation, notice.unreadable).second)
        logEvent(EventId::GatewayNoticeUnreadable, { { "server", incarnation.server }, { "request", m_metadata.attempt }, { "header", notice.unreadable } });
}

/** A request that may have run is resent only if its route allows it; each send after the first is charged to the retry budget. */
bool RequestForwarder::mayResend(Outcome outcome)
{
    std::string_view obstacle = resendObstacle(outcome);
    if (!obstacle.empty())
        m_lastFault = m_attemptFault + "; not resent: " + std::string(obstacle);
    return obstacle.empty();
}

/** The reason why a request must not be resent; empty after charging the resend to the budget. */
std::string_view RequestForwarder::resendObstacle(Outcome outcome)
{
    bool mayHaveRun = outcome == Outcome::Unknown || outcome == Outcome::Failed;
    bool isSent = outcome != Outcome::NotSent;
    if (m_isAborted)
        return "the gateway stops";
    if (m_isTrial && mayHaveRun)
        return "it is the trial of a quarantined request or prompt part";
    if (mayHaveRun && m_core.promptParts.isSuspect(m_suspectKeys))
        return "it, or a part of its prompt, may crash servers";
    if (m_tries >= maximumTries || (isSent && m_sends >= m_route->maximumAttempts))
        return "no attempt is left";
    if (timeLeft() <= minimumServiceTime)
        return "no time is left";
    if (mayHaveRun && !m_route->isRepeatable())
        return "it may have run";
    if (isSent && m_hasBegun && !m_lastEvent)
        return "its events have no ids";
    if (isSent && !m_core.retries.tryResend(m_key.service, currentTime()))
        return "the retry budget is used up";
    return {};
}

asio::awaitable<void> RequestForwarder::respondWithFailure()
{
    if (m_hasBegun) {
        abortResponse(m_lastFault);
        co_return;
    }
    if (m_failure) {
        unsigned status = m_failure->status;
        bool isSent = co_await m_exchange.respond(std::move(*m_failure));
        if (isSent)
            noteAnswered(m_failedAt, status);
        co_return;
    }
    if (!m_mayHaveRun) {
        co_await refuse(statusUnavailable, m_lastFault, suggestedRetryAfter());
        co_return;
    }
    co_await refuse(timeLeft() <= Duration::zero() ? statusTimedOut : statusBadGateway, m_lastFault);
}

/** The time after which a retry by the caller is likely to succeed. */
Duration RequestForwarder::suggestedRetryAfter()
{
    if (m_retryAfterQuarantine)
        return std::max<Duration>(*m_retryAfterQuarantine, minimumRetryAfter);
    Instant now = currentTime();
    if (auto expected = m_core.link.expectedReadyTime(m_key.service, m_key.model))
        return std::max<Duration>(*expected - now, minimumRetryAfter);
    Duration jitter(std::uniform_int_distribution<Duration::rep>(0, maximumReturnJitter.count())(m_core.random));
    if (auto admission = expectedRateAdmission(now))
        return std::max<Duration>(*admission - now, minimumRetryAfter) + jitter;
    m_pauses = m_core.servers.pauses(m_key, now);
    bool isPausedOnly = m_pauses.servers > 0 && m_core.servers.candidates(m_key, {}, now).empty();
    if (!isPausedOnly)
        return minimumRetryAfter;
    return std::max<Duration>(m_pauses.firstEnd - now, minimumRetryAfter) + jitter;
}

asio::awaitable<void> RequestForwarder::refuse(unsigned status, std::string_view reason, std::optional<Duration> retryAfter)
{
    noteRefused(status, reason, retryAfter.value_or(Duration::zero()));
    HttpResponse response = refusal(status, reason, retryAfter);
    if (status == statusUnauthorized) {
        HttpHeaders challenge = m_core.platform.challengeHeaders();
        for (const auto& [name, value] : challenge.fields())
            response.headers.set(name, value);
    }
    co_await m_exchange.respond(std::move(response));
}

/** Leaves the response incomplete, so that the caller can tell that it was cut off. */
void RequestForwarder::abortResponse(std::string_view reason)
{
    logEvent(EventId::GatewayBrokenOff, { { "request", m_metadata.attempt }, { "route", m_route->name }, { "reason", reason }, { "attempt", m_attemptFault }, { "last_event", m_lastEvent.value_or(0) }, { "version", m_configuration->version() }, { "after_ms", milliseconds(elapsed()) }, { "left_ms", milliseconds(timeLeft()) }, { "sends", m_sends } });
    countOutcome("broken-off");
}

//==============================================================================
Duration RequestForwarder::timeLeft() const
{
    return m_deadline - currentTime();
}

Duration RequestForwarder::elapsed() const
{
    return currentTime() - m_received;
}

/** A prompt counts as processed after the first event, or at the end of the attempt. */
void RequestForwarder::notePromptRead(const BackendServerName& server)
{
    if (std::exchange(m_isReading, false))
        m_core.servers.notePromptRead(server, m_metadata);
}

ForwardingTerms RequestForwarder::termsFor(const BackendServerName& server) const
{
    ForwardingTerms terms { timeLeft(), server, rank(), m_lastEvent };
    terms.hidesAccess = m_configuration->requiresKeys();
    terms.workspace = m_workspace ? m_workspace->name : WorkspaceName();
    return terms;
}

void RequestForwarder::noteRefused(unsigned status, std::string_view reason, Duration retryAfter)
{
    Duration age = m_core.link.sinceLastContact(currentTime());
    logEvent(EventId::GatewayRefused, { { "request", m_metadata.attempt }, { "route", m_route ? m_route->name : std::string() }, { "version", m_configuration ? m_configuration->version().value() : 0 }, { "workspace", m_workspace ? m_workspace->name : WorkspaceName() }, { "model", m_key.model }, { "status", status }, { "reason", reason }, { "waited_ms", milliseconds(elapsed()) }, { "left_ms", milliseconds(timeLeft()) }, { "sends", m_sends }, { "retry_after_ms", milliseconds(retryAfter) }, { "placement_age_ms", milliseconds(age) } });
    countOutcome(std::to_string(status));
}

void RequestForwarder::logCallerDisconnect()
{
    logEvent(EventId::GatewayCallerGone, { { "request", m_metadata.attempt }, { "after_ms", milliseconds(elapsed()) }, { "left_ms", milliseconds(timeLeft()) }, { "sends", m_sends }, { "last_event", m_lastEvent.value_or(0) } });
    countOutcome("caller-gone");
}

void RequestForwarder::noteAnswered(const BackendServerName& server, unsigned status)
{
    m_hasSucceeded = true;
    MetricLabels labels { { "rank", std::to_string(rank()) } };
    m_core.metrics.observe(firstByteMetric, m_firstByte, labels);
    m_core.metrics.observe(wholeMetric, elapsed(), labels);
    countOutcome(std::to_string(status));
    logEvent(EventId::GatewayAnswered, { { "request", m_metadata.attempt }, { "route", m_route->name }, { "version", m_configuration->version() }, { "model", m_key.model }, { "server", server }, { "status", status }, { "sends", m_sends }, { "first_ms", milliseconds(m_firstByte) }, { "whole_ms", milliseconds(elapsed()) } });
}

void RequestForwarder::countOutcome(std::string_view outcome)
{
    m_core.metrics.add(requestsMetric, { { "rank", m_route ? std::to_string(rank()) : "none" }, { "outcome", std::string(outcome) } });
}

} // namespace hemlockchute
