#include "coordinator/Coordinator.h"

#include "hemlockchute/core/EventLog.h"

namespace hemlockchute {
namespace {

constexpr Duration callTimeout = 500ms;
/** Limit of the wait for a successor. Two changes of the membership take a fraction of it. */
constexpr Duration leaveTimeout = 2s;
/** Limit of the wait for operators' requests in progress. Together with the other one it is well below any grace. */
constexpr Duration drainTimeout = 2s;

} // namespace

void Coordinator::stop(std::function<void()> done)
{
    m_isStopping = true;
    m_timer.cancel();
    m_relay.stop();
    m_listing.stop();
    m_stoppedAt = m_clock.now();
    leaveGroup(std::move(done));
}

/** Gives the lead away, and waits until a learner that stands ready votes in the place of this coordinator. */
void Coordinator::leaveGroup(std::function<void()> done)
{
    m_group.stepDown();
    GroupStatus status = m_group.status();
    Duration waited = m_clock.now() - m_stoppedAt;
    bool isReplaced = m_voters.mayLeave(status.self, m_leaderMembership.value_or(status.membership));
    bool mayEnd = isReplaced || waited >= leaveTimeout;
    if (!isReplaced && mayEnd)
        logEvent(EventId::CoordinatorNotReplaced, { { "waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(waited).count() }, { "leader", status.leader ? status.leader->keeper : KeeperId() } });
    if (!mayEnd && status.leader && status.leader->keeper != m_id)
        askToLeave(endpointOf(status.leader->keeper));
    // Also gives the message that releases leadership time to leave before the connections are closed.
    m_timer.expires_after(m_settings.heartbeatInterval);
    m_timer.async_wait([this, mayEnd, done = std::move(done)](const boost::system::error_code&) mutable {
        if (mayEnd)
            drainOperators(std::move(done));
        else
            leaveGroup(std::move(done));
    });
}

/** The leader no longer sends its log to a replica that it has removed, so only its answer tells. */
void Coordinator::askToLeave(const Endpoint& leader)
{
    ByteString self = encodeMembership({ { m_group.status().self }, {} });
    m_client.call(leader, PeerMethod::LeaveGroup, self, callTimeout, [this](const Result<ByteString, PeerErrorCode>& bytes) {
        if (!bytes)
            return;
        if (auto membership = decodeMembership(*bytes))
            m_leaderMembership = std::move(*membership);
    });
}

void Coordinator::serveLeave(PeerCall call)
{
    auto leaving = decodeMembership(call.payload);
    if (!leaving || leaving->voters.size() != 1 || call.callerRole != "coordinator") {
        call.reply(failure(PeerErrorCode::Rejected, "not a coordinator that asks to be replaced"));
        return;
    }
    m_voters.noteLeaving(*leaving->voters.begin(), m_clock.now());
    m_nextMembershipUpdate = {};
    GroupStatus status = m_group.status();
    if (!m_group.holdsLease() || !status.isMembershipCommitted) {
        call.reply(failure(PeerErrorCode::Rejected, "no membership is agreed on here"));
        return;
    }
    call.reply(encodeMembership(status.membership));
}

void Coordinator::drainOperators(std::function<void()> done)
{
    m_onStopped = std::move(done);
    m_operators.drain([this] { finishStop(); });
    m_timer.expires_after(drainTimeout);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            finishStop();
    });
}

void Coordinator::finishStop()
{
    if (!m_onStopped)
        return;
    m_timer.cancel();
    m_group.stop();
    m_server.close();
    std::exchange(m_onStopped, nullptr)();
}

} // namespace hemlockchute
