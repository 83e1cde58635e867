#include "gateway/RequestForwarder.h"

#include "gateway/ForwardingTimes.h"
#include "hemlockchute/core/EventLog.h"

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

/** How long to wait for the answer of a server that may have crashed; one that has ended refuses within a round trip. */
constexpr Duration checkTimeout = 100ms;
/** How long a request waits for the leader's word whether it is to be a trial. */
constexpr Duration trialTimeout = 400ms;

} // namespace

//==============================================================================
// Requests and prompt parts that crash servers

/** True if the request must not be sent, because it, or a part of its prompt, crashes servers; sets the reason. Otherwise it may have become a trial of that. */
bool RequestForwarder::checkQuarantine()
{
    if (m_isTrial)
        return false;
    PromptPartMonitor::Decision decision = m_core.promptParts.decide(m_suspectKeys, currentTime());
    m_isTrial = decision.isTrial;
    m_isTrialDue = decision.isTrialDue;
    if (m_isTrial)
        logEvent(EventId::GatewayPromptPartTrial, { { "request", m_metadata.attempt }, { "parts", sharedPartsText() } });
    m_retryAfterQuarantine.reset();
    if (!decision.isRefused)
        return false;
    m_retryAfterQuarantine = decision.retryAfter;
    m_lastFault = decision.isOfRequest ? "the request crashes servers" : "a part of its prompt crashes servers";
    return true;
}

/** Asks the leader to leave a trial that is due to this request; false if it is refused. */
asio::awaitable<bool> RequestForwarder::awaitTrial()
{
    Instant end = std::min(currentTime() + trialTimeout, m_deadline);
    m_core.link.pollSoon();
    while (m_isTrialDue && currentTime() < end && !m_call->isCallerDisconnected && !m_isAborted) {
        co_await m_core.stateChanged.wait(end);
        if (!checkQuarantine())
            co_return true;
    }
    co_return false;
}

/** Requests go to other servers until the list shows another incarnation of this one, or a while has passed. */
void RequestForwarder::noteConnectionRefused(const BackendServerName& name)
{
    Instant now = currentTime();
    ServerIncarnation server = incarnationOf(name);
    m_core.servers.noteConnectionRefused(name, now);
    for (PromptPartKey part : m_core.promptParts.noteEnded(server, now))
        logEvent(EventId::GatewayPromptPartQuarantined, { { "part", part }, { "server", name }, { "request", m_metadata.attempt } });
    m_core.link.pollSoon();
}

/** The connection to a server broke, so that it may have ended. */
void RequestForwarder::noteBroken(const BackendServerName& name)
{
    if (m_call->isCallerDisconnected || m_isAborted)
        return;
    m_brokenServer = ServerIncarnation { name, m_attemptStartedAt };
    noteUnanswered(name);
}

/** If the server turns out to have ended, and its answer had not begun, the request may have crashed it. */
void RequestForwarder::noteUnanswered(const BackendServerName& name)
{
    if (m_eventBatches < 2)
        noteUnanswered({ name, m_attemptStartedAt }, m_attemptSent);
}

void RequestForwarder::noteUnanswered(const ServerIncarnation& incarnation, Instant sent)
{
    const ListedServer* server = m_core.servers.find(incarnation.server);
    bool isPlanned = server && server->isLeaving;
    if (!isPlanned)
        m_core.promptParts.noteBroken({ incarnation, m_suspectKeys, sent, currentTime() });
}

/** The server has survived the begin of an answer with this prompt. */
void RequestForwarder::noteAnswerBegun()
{
    m_core.promptParts.noteProgress(m_suspectKeys, currentTime());
}

/** Finds out whether a server ended as its connection broke, so that neither this request nor others follow it there or carry the fault on. */
asio::awaitable<void> RequestForwarder::checkBrokenServer()
{
    if (!m_brokenServer)
        co_return;
    ServerIncarnation broken = *std::exchange(m_brokenServer, std::nullopt);
    const ListedServer* server = m_core.servers.find(broken.server);
    // A silent server, whose answer is still open, must not wait for this.
    if (!server || server->startedAt != broken.startedAt || m_call->silentAnswer)
        co_return;
    if (m_core.servers.isRefusing(broken.server, currentTime())) {
        m_core.promptParts.noteEnded(broken, currentTime());
        co_return;
    }
    auto opened = co_await m_core.client.openIdle(server->address, currentTime() + checkTimeout);
    if (opened)
        m_core.promptParts.noteAccepting(broken, currentTime());
    else if (opened.error().code == HttpClientErrorCode::ConnectionRefused)
        noteConnectionRefused(broken.server);
}

} // namespace hemlockchute
