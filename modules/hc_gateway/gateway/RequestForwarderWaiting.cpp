#include "gateway/ForwardingTimes.h"
#include "gateway/RequestForwarder.h"
#include "hemlockchute/core/EventLog.h"

#include <algorithm>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

/** The longest time between two checks of a waiting request. */
constexpr Duration recheckInterval = 100ms;
/** Between changes, servers are offered to the waiting requests at most this often, since each of them checks for itself. */
constexpr Duration distributionInterval = recheckInterval / 2;
/** A failover to a new leader takes less; without contact for this time, this host is partitioned from the coordinators. */
constexpr Duration leaderFailoverTimeout = 2500ms;
/** Requests that have not run are refused when the process exits within this time. */
constexpr Duration stopMargin = 2s;
/** Midpoints of what model servers were measured at: 19.2 to 44.2 prompt tokens per millisecond, and 3.4 to 9.47 ms for a step, which yields a token. */
constexpr double promptTokensPerMillisecond = 32;
constexpr Duration stepTime = 6ms;

constexpr MetricDefinition heldBackMetric { "hemlock_gateway_held_back_total", "Requests that found no server free of a pause that it had asked for." };

} // namespace

//==============================================================================
// Waiting for a server

/** Waits for a server that can take the request, and reserves it; nothing when it cannot be served, or the caller has disconnected. */
asio::awaitable<std::optional<BackendServerName>> RequestForwarder::awaitServer()
{
    auto server = pickServer();
    bool isContended = server && m_waiting->isWaiting(m_key);
    if (server && !isContended)
        reserve(*server);
    if (isContended) {
        // Requests that wait for the same model may come before this one.
        enterQueue();
        distributeForModel();
        server = takeReserved();
    }
    if (server) {
        updateRateWait(false);
        noteRateDemand();
        co_return server;
    }
    if (m_pauses.servers > 0)
        m_core.metrics.add(heldBackMetric);
    if (hasModel())
        m_core.demand.addWaiting(m_key, 1);
    if (hasModel() || !m_limited.empty())
        m_core.link.pollSoon();
    m_core.hedging.addWaiting(m_key.service, 1);
    updateRateWait(true);
    enterQueue();
    while (!server && !m_call->isCallerDisconnected && !isUnservable(currentTime())) {
        co_await m_call->waitEnded.wait(nextCheck(currentTime()));
        distributeIfDue(currentTime());
        server = takeReserved();
    }
    m_waiting->remove(*this);
    updateRateWait(false);
    m_core.hedging.addWaiting(m_key.service, -1);
    if (hasModel()) {
        m_core.demand.addWaiting(m_key, -1);
        if (!server && !m_call->isCallerDisconnected)
            m_core.demand.noteRefused(m_key);
    }
    co_return server;
}

Instant RequestForwarder::nextCheck(Instant now) const
{
    Instant next = std::min(m_deadline, now + recheckInterval);
    bool endsBefore = m_pauses.servers > 0 && m_pauses.firstEnd > now;
    return endsBefore ? std::min(next, m_pauses.firstEnd) : next;
}

/** Selects the best server that was not tried yet; nothing while all servers with the model are full for the request's rank. */
std::optional<BackendServerName> RequestForwarder::pickServer()
{
    ServerSelection selection = m_core.admission.select(m_key, m_metadata, rank(), m_triedServers, currentTime());
    auto server = std::move(selection.server);
    noteSelection(std::move(selection));
    return server;
}

void RequestForwarder::noteSelection(ServerSelection selection)
{
    m_isFull = selection.isFull;
    m_pauses = std::move(selection.pauses);
    m_limited = std::move(selection.limited);
}

//==============================================================================
// The queue

WaitingTerms RequestForwarder::waitingTerms() const
{
    WaitingTerms terms;
    terms.hasBegun = m_hasBegun;
    terms.rank = rank();
    terms.arrived = m_received;
    terms.deadline = m_deadline;
    std::chrono::duration<double, std::milli> promptTime(static_cast<double>(m_metadata.promptTokens) / promptTokensPerMillisecond);
    std::chrono::duration<double, std::milli> outputTime(static_cast<double>(m_metadata.maximumOutputTokens) * std::chrono::duration<double, std::milli>(stepTime).count());
    // A stated number of tokens may be any; more time than the request has makes no difference to its order.
    terms.serviceTime = std::chrono::duration_cast<Duration>(std::min<std::chrono::duration<double, std::milli>>(promptTime + outputTime, m_deadline - m_received));
    if (m_workspace)
        terms.workspace = m_workspace->name;
    terms.key = m_key;
    terms.excluded = m_triedServers;
    terms.tokens = m_metadata.heldTokens();
    return terms;
}

void RequestForwarder::enterQueue()
{
    m_waiting->add(*this, waitingTerms());
}

void RequestForwarder::distributeForModel()
{
    m_core.distributeServers({ std::vector { m_key }, nullptr });
}

/** Time alone may make servers available, such as the end of an ejection or a pause. */
void RequestForwarder::distributeIfDue(Instant now)
{
    bool hasPauseEnded = m_pauses.servers > 0 && m_pauses.firstEnd <= now;
    if (m_reserved || m_call->isCallerDisconnected)
        return;
    if (now - m_waiting->lastDistribution() >= distributionInterval)
        m_core.distributeServers();
    else if (hasPauseEnded)
        distributeForModel();
}

/** Offers a place that was freed at a server to the requests that it can serve. */
void RequestForwarder::distributePlaceAt(const BackendServerName& server)
{
    if (!m_waiting->isEmpty())
        m_core.distributeServers({ m_core.servers.modelsAt(server), &server });
}

/** The server that was reserved while the request waited. If it has left the list since, the request waits again. */
std::optional<BackendServerName> RequestForwarder::takeReserved()
{
    auto reserved = std::exchange(m_reserved, std::nullopt);
    if (!reserved || m_core.servers.find(*reserved))
        return reserved;
    release(*reserved);
    m_triedServers.erase(*reserved);
    enterQueue();
    return std::nullopt;
}

/** Asks for a server for a request that has none, or whose server is silent. */
WaitingRequest::Offer RequestForwarder::offerServer(unsigned offeredRank, const BackendServerName* freed, Instant now)
{
    if (m_call->isCallerDisconnected || (m_isSilent && !canReplaceSilent()))
        return Offer::Declined;
    ServerSelection place = freed && hasModel() ? m_core.admission.checkPlace(*freed, m_metadata, offeredRank) : ServerSelection();
    if (place.isFull)
        return place.isShortOfMemory ? Offer::LacksMemory : Offer::NoServer;
    ServerSelection selection = m_core.admission.select(m_key, m_metadata, offeredRank, m_triedServers, now);
    auto server = std::move(selection.server);
    Offer refusal = selection.isShortOfMemory ? Offer::LacksMemory : Offer::NoServer;
    // The reasons for which there is no server are those of the request's own rank.
    if (offeredRank == rank())
        noteSelection(std::move(selection));
    if (!m_isSilent && !server)
        updateRateWait(true);
    if (!server)
        return refusal;
    if (m_isSilent)
        return replaceSilent(*server) ? Offer::Taken : Offer::Declined;
    m_reserved = std::move(server);
    reserve(*m_reserved);
    return Offer::Taken;
}

void RequestForwarder::noteNoServer(const WaitingRequest& other)
{
    const auto& same = static_cast<const RequestForwarder&>(other);
    m_isFull = same.m_isFull;
    m_pauses = same.m_pauses;
    m_limited = same.m_limited;
    if (!m_isSilent)
        updateRateWait(true);
}

bool RequestForwarder::isWaitInVain(Instant now)
{
    return !m_isSilent && isUnservable(now);
}

//==============================================================================
// Requests that cannot be served

/** True when no server can take the request before its deadline; sets the reason. */
bool RequestForwarder::isUnservable(Instant now)
{
    if (now + minimumServiceTime >= m_deadline) {
        m_lastFault = "the deadline passed while the model was waited for";
        return true;
    }
    if (m_core.stopDeadline && now + stopMargin > *m_core.stopDeadline) {
        m_lastFault = "the gateway stops";
        return true;
    }
    if (m_isFull) {
        m_lastFault = "every server that holds the model is full";
        // A caller that has part of its answer is served best by the rest of it.
        return !m_hasBegun && now - m_received > (m_deadline - m_received) / fullWaitDivisor;
    }
    if (!m_limited.empty())
        return expiresBeforeRateAdmission(now);
    if (m_pauses.servers > 0)
        return expiresBeforePauseEnds(now);
    if (!hasModel()) {
        m_lastFault = "no server of the service is usable";
        return true;
    }
    if (m_core.link.sinceLastContact(now) > leaderFailoverTimeout) {
        m_lastFault = "no server here holds the model, and no coordinator can have it loaded";
        return true;
    }
    auto expected = m_core.link.expectedReadyTime(m_key.service, m_key.model);
    if (expected && *expected + minimumServiceTime > m_deadline) {
        m_lastFault = "the model is expected in " + secondsText(*expected - now) + " s";
        return true;
    }
    return false;
}

/** True when neither the first pause ends nor the model is expected at another server in time for the request. */
bool RequestForwarder::expiresBeforePauseEnds(Instant now)
{
    m_lastFault = "every server that could take the request asked for a pause, " + m_pauses.first.text() + " for another " + secondsText(m_pauses.firstEnd - now) + " s";
    auto expected = hasModel() ? m_core.link.expectedReadyTime(m_key.service, m_key.model) : std::nullopt;
    Instant next = expected ? std::min(*expected, m_pauses.firstEnd) : m_pauses.firstEnd;
    return next + minimumServiceTime >= m_deadline;
}

} // namespace hemlockchute
