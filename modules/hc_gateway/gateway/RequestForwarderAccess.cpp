#include "gateway/ForwardingTimes.h"
#include "gateway/RequestForwarder.h"

#include <algorithm>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

constexpr unsigned statusTooManyRequests = 429;
/** Covers the reply to a poll through a relay that has to ask the leader first; by then the leader has said whether the quota is exhausted. */
constexpr Duration maximumQuotaWait = 600ms;
/** The part of its time for which a request waits for its quota, so that its caller has time to retry. */
constexpr int quotaWaitDivisor = 3;
/** Spreads callers that were refused at the same moment. */
constexpr Duration maximumReturnJitter = 300ms;

constexpr MetricDefinition accessMetric { "hemlock_gateway_access_refused_total", "Requests refused because of their access key or quota, by cause." };
constexpr MetricDefinition quotaWaitMetric { "hemlock_gateway_quota_wait_seconds", "Time that admitted requests waited for their workspace's quota." };

} // namespace

//==============================================================================
// Access keys and quotas

/** The one place that says how urgent a request is. Precondition: its route is known. */
unsigned RequestForwarder::rank() const
{
    return m_workspace && m_workspace->rank ? *m_workspace->rank : m_route->rank;
}

/** False when the request was refused because of its key. */
asio::awaitable<bool> RequestForwarder::checkAccess()
{
    if (!m_configuration->requiresKeys())
        co_return true;
    auto decision = m_core.access.check(*m_configuration, *m_route, m_metadata.accessKey, m_core.suspendAwareClock.now());
    m_workspace = decision.workspace;
    if (decision.verdict == AccessControl::Verdict::Unauthorized) {
        m_core.metrics.add(accessMetric, MetricLabels(1, MetricLabel { "cause", "unknown-key" }));
        co_await refuse(statusUnauthorized, "the access key is missing or unknown");
    }
    if (decision.verdict == AccessControl::Verdict::Unconfirmed) {
        m_core.metrics.add(accessMetric, MetricLabels(1, MetricLabel { "cause", "unconfirmed" }));
        co_await refuse(statusUnavailable, "no coordinator has confirmed that the access keys known here are valid", minimumRetryAfter);
    }
    co_return decision.verdict == AccessControl::Verdict::Granted;
}

/** True when the key is not accepted any more, as after a wait; sets the reason. */
bool RequestForwarder::isAccessRevoked()
{
    if (!m_workspace)
        return false;
    auto decision = m_core.access.check(*m_core.configuration, *m_route, m_metadata.accessKey, m_core.suspendAwareClock.now());
    bool isSame = decision.workspace && decision.workspace->name == m_workspace->name;
    if (!isSame)
        m_lastFault = "the access key is no longer accepted";
    return !isSame;
}

//==============================================================================
QuotaLimiter::Admission RequestForwarder::takeQuota()
{
    return m_quotas->take(*m_workspace, m_quotaCost, m_core.suspendAwareClock.now());
}

/** Waits for units of the workspace's quota; false when the request was refused, or its caller has disconnected. */
asio::awaitable<bool> RequestForwarder::admitToQuota()
{
    if (!m_workspace || !m_workspace->quota)
        co_return true;
    const WorkspaceName& name = m_workspace->name;
    m_quotaCost = m_workspace->quota->costOf(m_metadata);
    m_quotas->noteArrival(*m_workspace, m_quotaCost, m_core.suspendAwareClock.now());
    auto admission = takeQuota();
    if (admission == QuotaLimiter::Admission::Waiting) {
        Instant end = m_received + std::min<Duration>(maximumQuotaWait, (m_deadline - m_received) / quotaWaitDivisor);
        if (!m_quotas->isWaiting())
            m_core.link.pollSoon();
        m_quotas->addWaiting(name, static_cast<std::int64_t>(m_quotaCost));
        while (admission == QuotaLimiter::Admission::Waiting && !m_call->isCallerDisconnected && !m_isAborted && currentTime() < end) {
            co_await m_core.stateChanged.wait(end);
            admission = takeQuota();
        }
        m_quotas->addWaiting(name, -static_cast<std::int64_t>(m_quotaCost));
    }
    if (admission == QuotaLimiter::Admission::Granted && !m_call->isCallerDisconnected) {
        m_core.metrics.observe(quotaWaitMetric, elapsed());
        co_return true;
    }
    std::uint64_t cost = admission == QuotaLimiter::Admission::Granted ? 0 : std::exchange(m_quotaCost, 0);
    if (admission != QuotaLimiter::Admission::Unconfirmed)
        m_quotas->noteRefused(name, cost);
    if (m_call->isCallerDisconnected) {
        logCallerDisconnect();
        co_return false;
    }
    bool isUnconfirmed = admission == QuotaLimiter::Admission::Unconfirmed;
    m_core.metrics.add(accessMetric, MetricLabels(1, MetricLabel { "cause", isUnconfirmed ? "quota-unconfirmed" : "quota" }));
    if (isUnconfirmed) {
        co_await refuse(statusUnavailable, "no coordinator has granted units of the workspace's quota lately", minimumRetryAfter);
    } else {
        Duration jitter(std::uniform_int_distribution<Duration::rep>(0, maximumReturnJitter.count())(m_core.random));
        auto refill = std::chrono::duration<double>(static_cast<double>(cost) / m_workspace->quota->perSecond);
        Duration untilRoom = std::max({ m_quotas->untilRoom(name), std::chrono::duration_cast<Duration>(refill), Duration(minimumRetryAfter) });
        co_await refuse(statusTooManyRequests, "the quota of the workspace is used up", untilRoom + jitter);
    }
    co_return false;
}

/** The first send counts; what the system sends again costs nothing. */
void RequestForwarder::noteQuotaSent()
{
    if (m_quotaCost > 0 && !std::exchange(m_isQuotaSent, true))
        m_quotas->noteSent(m_workspace->name, m_quotaCost);
}

/** Returns the cost of a request that no server has run. */
void RequestForwarder::settleQuota()
{
    bool hasRun = m_isQuotaSent && (m_mayHaveRun || m_hasSucceeded || m_call->isCallerDisconnected);
    if (m_quotaCost > 0 && !hasRun)
        m_quotas->giveBack(m_workspace->name, m_quotaCost, m_isQuotaSent, SuspendAwareClock().now());
}

} // namespace hemlockchute
