#include "gateway/RequestForwarder.h"

#include "gateway/ForwardingTimes.h"
#include "hemlockchute/core/EventLog.h"

#include <algorithm>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

/** How long a server may be silent before another one is preferred, as a multiple of the latency target, and its lower bound. */
constexpr unsigned targetsPerSilence = 4;
constexpr Duration minimumSilenceLimit = 1200ms;
/** How long a silent attempt stays open beside the one that replaces it; a server refuses within this time. */
constexpr Duration maximumOverlap = 200ms;

} // namespace

//==============================================================================
// Silent servers

Duration RequestForwarder::silenceLimit() const
{
    Duration target = m_hasBegun ? m_route->eventGap : m_route->target;
    return std::max<Duration>(minimumSilenceLimit, targetsPerSilence * target);
}

/** True if another server could be sent the request, or the rest of its stream. */
bool RequestForwarder::canMove() const
{
    bool canResume = !m_hasBegun || m_lastEvent;
    return canResume && m_route->isRepeatable() && m_sends < m_route->maximumAttempts;
}

/** Restarts the time after which the server counts as silent. */
void RequestForwarder::noteProgress()
{
    m_lastProgress = currentTime();
    endSilence();
    if (canMove())
        m_silenceTimer->restart(m_lastProgress + silenceLimit());
}

/** Checks again soon whether another server can take over. */
void RequestForwarder::watchSilence()
{
    if (canMove() && timeLeft() > minimumServiceTime)
        m_silenceTimer->restart(nextCheck(currentTime()));
}

/** Replaces a silent attempt as soon as another server can take the request. Until then the attempt continues, since its server may only be slow. */
void RequestForwarder::checkSilence()
{
    if (m_call->isCallerDisconnected || m_isAborted || m_successor)
        return;
    noteSilence();
    if (!canReplaceSilent()) {
        watchSilence();
        return;
    }
    // Requests that wait for the same model may come before this one.
    enterQueue();
    distributeForModel();
    noteRateDemand();
    if (m_successor)
        return;
    if (hasModel() && !std::exchange(m_isWaitingElsewhere, true)) {
        m_core.demand.addWaiting(m_key, 1);
        m_core.hedging.addWaiting(m_key.service, 1);
        m_core.link.pollSoon();
    }
    watchSilence();
}

bool RequestForwarder::canReplaceSilent() const
{
    // A read can be interrupted only once the request has been written.
    bool canInterrupt = m_call->answer && m_call->answer->isRequestSent();
    // A hedge in flight is the other attempt already.
    return canInterrupt && !isHedgeRunning() && !m_isAborted && !m_successor && canMove();
}

/** Reserves the server that takes over from the silent one; false if the request may not be sent again. */
bool RequestForwarder::replaceSilent(const BackendServerName& other)
{
    if (!mayResend(Outcome::Unknown))
        return false;
    m_successor = other;
    reserve(other);
    logEvent(EventId::GatewayTakeover, { { "request", m_metadata.attempt }, { "from", m_currentServer }, { "to", other }, { "last_event", m_lastEvent.value_or(0) }, { "silent_ms", milliseconds(currentTime() - m_lastProgress) }, { "left_ms", milliseconds(timeLeft()) } });
    m_call->answer->interrupt();
    return true;
}

/** Other requests prefer other servers and new connections while this one is silent. */
void RequestForwarder::noteSilence()
{
    if (std::exchange(m_isSilent, true))
        return;
    Instant now = currentTime();
    logEvent(EventId::GatewayServerSilent, { { "request", m_metadata.attempt }, { "server", m_currentServer }, { "silent_ms", milliseconds(now - m_lastProgress) }, { "last_event", m_lastEvent.value_or(0) }, { "send", m_sends }, { "left_ms", milliseconds(timeLeft()) } });
    m_core.servers.noteFailure(m_currentServer, now);
    // It counts as a crash only if the server leaves the list or refuses connections.
    noteUnanswered(m_currentServer);
    if (!m_hasHead)
        m_core.servers.noteUnreachable(m_currentServer, now);
    if (const ListedServer* server = m_core.servers.find(m_currentServer))
        m_core.client.closeIdleConnections(server->address);
}

void RequestForwarder::endSilence()
{
    m_isSilent = false;
    m_waiting->remove(*this);
    if (std::exchange(m_isWaitingElsewhere, false)) {
        m_core.demand.addWaiting(m_key, -1);
        m_core.hedging.addWaiting(m_key.service, -1);
    }
}

//==============================================================================
// The server that takes over

/** Moves from a silent server to the reserved one. Nothing if the silent answer is to be read on. */
asio::awaitable<std::optional<RequestForwarder::Outcome>> RequestForwarder::moveFrom(const BackendServerName& silentServer, HttpResponseStream& silentAnswer)
{
    std::optional<Outcome> outcome;
    do
        outcome = co_await tryTakeover(silentServer, silentAnswer);
    while (!outcome && m_successor);
    co_return outcome;
}

/** Sends the request to the reserved server while the silent one's answer stays open, in case the other one refuses. Nothing if the silent answer is to be read on. */
asio::awaitable<std::optional<RequestForwarder::Outcome>> RequestForwarder::tryTakeover(const BackendServerName& silentServer, HttpResponseStream& silentAnswer)
{
    auto server = takeSuccessor();
    if (server && isAccessRevoked()) {
        release(*server);
        server.reset();
    }
    if (!server) {
        watchSilence();
        co_return std::nullopt;
    }
    m_silenceTimer->stop();
    notePromptRead(silentServer);
    m_call->answer = nullptr;
    m_call->silentAnswer = &silentAnswer;
    m_silentServer = silentServer;
    Instant lastProgress = m_lastProgress;
    bool hadHead = m_hasHead;
    // A server that cannot be reached works on nothing, so the overlap begins with the first byte sent to it.
    auto handle = m_call->handle;
    handle->setSendCondition([this] {
        m_overlapTimer->restart(currentTime() + maximumOverlap);
        return true;
    });
    Outcome outcome = co_await attemptAt(*server);
    handle->setSendCondition(nullptr);
    m_overlapTimer->stop();
    bool isClosed = !std::exchange(m_call->silentAnswer, nullptr);
    if (isClosed || outcome == Outcome::Answered || m_call->isCallerDisconnected || m_isAborted)
        co_return outcome;
    m_currentServer = silentServer;
    m_call->answer = &silentAnswer;
    m_lastProgress = lastProgress;
    m_hasHead = hadHead;
    m_isSilent = true;
    watchSilence();
    co_return std::nullopt;
}

/** Closes the answer of a silent server, if one is open, and frees the place there while the request continues elsewhere. */
void RequestForwarder::leaveSilentServer()
{
    if (m_call->closeSilentAnswer())
        noteAttemptEnded(m_silentServer);
}

/** Has no effect for an attempt that has ended before. */
void RequestForwarder::noteAttemptEnded(const BackendServerName& server)
{
    if (m_activeServers.erase(server) == 0)
        return;
    m_core.servers.noteEnded(server, m_metadata);
    if (hasModel())
        m_core.demand.addActive(m_key, -1);
    distributePlaceAt(server);
}

/** Counts the request at the server, so that no other request takes its place. */
void RequestForwarder::reserve(const BackendServerName& server)
{
    m_triedServers.insert(server);
    m_core.servers.noteSent(server, m_metadata);
    ServerIncarnation life = lifeOf(*m_core.servers.find(server));
    if (auto end = m_core.rateLimiter.take(life, currentTime()))
        m_rateGrants.insert_or_assign(server, std::pair(life, *end));
}

void RequestForwarder::release(const BackendServerName& server)
{
    m_core.servers.notePromptRead(server, m_metadata);
    m_core.servers.noteEnded(server, m_metadata);
    returnRateGrant(server);
    distributePlaceAt(server);
}

/** The reserved server that takes over from a silent one, unless it has left the list. */
std::optional<BackendServerName> RequestForwarder::takeSuccessor()
{
    auto successor = std::exchange(m_successor, std::nullopt);
    bool isListed = successor && m_core.servers.find(*successor);
    return isListed ? successor : std::nullopt;
}

/** The server was not asked, and may be selected again. */
void RequestForwarder::releaseSuccessor()
{
    if (auto unused = std::exchange(m_successor, std::nullopt)) {
        release(*unused);
        m_triedServers.erase(*unused);
    }
}

} // namespace hemlockchute
