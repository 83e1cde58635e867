#include "gateway/ForwardingTimes.h"
#include "gateway/RequestForwarder.h"
#include "hemlockchute/core/EventLog.h"

#include <algorithm>

namespace hemlockchute {

namespace {

/** Time for the reply to a poll, also through a relay of many gateways. */
constexpr Duration rateReplyTimeout = 300ms;

} // namespace

// Servers with a rate limit

/** The other hosts are told at once. */
void RequestForwarder::noteRateLimit(const RateLimitNotice& notice)
{
    if (!m_core.rateLimiter.note(notice))
        return;
    m_core.link.pollSoon();
    if (notice.limit)
        logEvent(EventId::GatewayServerLimited, { { "server", notice.server.server }, { "started_at", notice.server.startedAt }, { "request", m_metadata.attempt }, { "per_second", notice.limit->perSecond } });
    else
        logEvent(EventId::GatewayServerLimitEnded, { { "server", notice.server.server }, { "started_at", notice.server.startedAt }, { "request", m_metadata.attempt } });
}

/** Counts the request as waiting for the server that is expected to admit it first, or not any more. */
void RequestForwarder::updateRateWait(bool isWaiting)
{
    // Hosts that know equally little must not all choose the same server.
    std::shuffle(m_limited.begin(), m_limited.end(), m_core.random);
    Instant now = currentTime();
    std::optional<ServerIncarnation> best;
    if (isWaiting && !m_limited.empty())
        best = *std::min_element(m_limited.begin(), m_limited.end(), [&](const ServerIncarnation& a, const ServerIncarnation& b) { return rateAdmission(a, now) < rateAdmission(b, now); });
    bool isCurrentBest = best && m_rateWait && std::find(m_limited.begin(), m_limited.end(), *m_rateWait) != m_limited.end() && rateAdmission(*m_rateWait, now) <= rateAdmission(*best, now);
    if (isCurrentBest || best == m_rateWait)
        return;
    if (m_rateWait)
        m_core.rateLimiter.addWaiting(*m_rateWait, rank(), -1);
    if (best)
        m_core.rateLimiter.addWaiting(*best, rank(), 1);
    if (!m_rateWait)
        m_rateWaitSince = now;
    m_rateWait = std::move(best);
}

/** When a server with a rate limit is expected to leave room for the request. */
Instant RequestForwarder::rateAdmission(const ServerIncarnation& server, Instant now) const
{
    return m_core.rateLimiter.expectedAdmission(server, rank(), m_rateWait == server, now);
}

/** The limited servers are in demand, although the request goes elsewhere. */
void RequestForwarder::noteRateDemand()
{
    for (const ServerIncarnation& server : m_limited)
        m_core.rateLimiter.noteDemand(server);
}

/** The request was not sent to the reserved server. */
void RequestForwarder::returnRateGrant(const BackendServerName& server)
{
    auto unused = m_rateGrants.extract(server);
    if (!unused.empty())
        m_core.rateLimiter.giveBack(unused.mapped().first, unused.mapped().second);
}

/** When the first of the limited servers is expected to leave room for the request; nothing if there is none. */
std::optional<Instant> RequestForwarder::expectedRateAdmission(Instant now) const
{
    std::optional<Instant> first;
    for (const ServerIncarnation& server : m_limited)
        first = std::min(first.value_or(Instant::max()), rateAdmission(server, now));
    return first;
}

/** True when neither a server's rate limit leaves room, nor a pause ends, nor the model is expected at another server in time for the request. */
bool RequestForwarder::expiresBeforeRateAdmission(Instant now)
{
    auto expected = hasModel() ? m_core.link.expectedReadyTime(m_key.service, m_key.model) : std::nullopt;
    // A rate that was not used has left room at the leader, of which only its reply tells.
    if (m_rateWait && now - m_rateWaitSince < rateReplyTimeout && !m_core.rateLimiter.areOthersWaiting(*m_rateWait, rank()))
        return false;
    Instant next = *expectedRateAdmission(now);
    m_lastFault = "every server that could take the request limits its rate, " + m_limited.front().server.text() + " and others leave room in " + secondsText(next - now) + " s";
    if (m_pauses.servers > 0)
        next = std::min(next, m_pauses.firstEnd);
    if (expected)
        next = std::min(next, *expected);
    return next + minimumServiceTime >= m_deadline;
}

} // namespace hemlockchute
