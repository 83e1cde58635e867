#include "coordinator/VoterPolicy.h"

#include <algorithm>

namespace hemlockchute {
namespace {

/** True for different incarnations of the same keeper. */
bool isOtherIncarnation(const ReplicaId& a, const ReplicaId& b)
{
    return a.keeper == b.keeper && a.incarnation != b.incarnation;
}

} // namespace

void VoterPolicy::noteJoinRequest(const ReplicaId& id, Instant now)
{
    m_joinRequests[id] = now;
    m_lastContact[id] = now;
}

std::optional<Membership> VoterPolicy::nextMembership(const GroupStatus& status, Instant now)
{
    trackMembers(status, now);
    if (!status.isMembershipCommitted)
        return std::nullopt;
    static constexpr Step (VoterPolicy::*rules[])(const GroupStatus&, Instant) const = { &VoterPolicy::dropLearner, &VoterPolicy::dropSurplusVoter, &VoterPolicy::promoteLearner, &VoterPolicy::addLearner };
    for (auto rule : rules) {
        if (Step step = (this->*rule)(status, now))
            return step;
    }
    return std::nullopt;
}

/** The time-out of a member without recorded contact starts now, as after a change of leader. */
void VoterPolicy::trackMembers(const GroupStatus& status, Instant now)
{
    for (const ReplicaId& id : status.membership.voters)
        m_lastContact.emplace(id, now);
    for (const ReplicaId& id : status.membership.learners)
        m_lastContact.emplace(id, now);
}

/** Removes a learner that timed out, or whose next incarnation asks to join while it is not live. */
VoterPolicy::Step VoterPolicy::dropLearner(const GroupStatus& status, Instant now) const
{
    for (const ReplicaId& learner : status.membership.learners) {
        bool hasTimedOut = timeSinceContact(learner, now) >= m_options.learnerTimeout;
        bool isSuperseded = std::any_of(m_joinRequests.begin(), m_joinRequests.end(), [&](const auto& item) {
            return isOtherIncarnation(item.first, learner) && now - item.second < m_options.livenessTimeout && timeSinceContact(learner, now) >= m_options.livenessTimeout;
        });
        if (!hasTimedOut && !isSuperseded)
            continue;
        Membership next = status.membership;
        next.learners.erase(learner);
        return next;
    }
    return std::nullopt;
}

VoterPolicy::Step VoterPolicy::addLearner(const GroupStatus& status, Instant now) const
{
    for (const auto& [id, requestedAt] : m_joinRequests) {
        bool isMember = status.membership.voters.contains(id) || status.membership.learners.contains(id);
        if (isMember || now - requestedAt >= m_options.livenessTimeout)
            continue;
        Membership next = status.membership;
        next.learners.insert(id);
        return next;
    }
    return std::nullopt;
}

/** Removes a voter whose successor has been promoted before it. */
VoterPolicy::Step VoterPolicy::dropSurplusVoter(const GroupStatus& status, Instant now) const
{
    const std::set<ReplicaId>& voters = status.membership.voters;
    if (voters.size() <= m_options.voters)
        return std::nullopt;
    auto dropped = std::find_if(voters.begin(), voters.end(), [&](const ReplicaId& voter) { return voter != status.self && (isLeaving(voter, now) || hasTimedOut(voter, now)); });
    return dropped == voters.end() ? std::nullopt : removeVoter(status, *dropped, now);
}

/**
    Promotes a learner that has caught up. If there are enough voters, one that leaves becomes a surplus
    voter. One that has timed out, or an older incarnation of the learner, is removed first.
*/
VoterPolicy::Step VoterPolicy::promoteLearner(const GroupStatus& status, Instant now) const
{
    const std::set<ReplicaId>& voters = status.membership.voters;
    bool replacesLeaving = voters.size() == m_options.voters && std::any_of(voters.begin(), voters.end(), [&](const ReplicaId& voter) { return voter != status.self && isLeaving(voter, now); });
    for (const ReplicaId& learner : status.membership.learners) {
        auto matched = status.matched.find(learner);
        bool isReady = matched != status.matched.end() && matched->second >= status.committed && isLive(learner, status, now);
        if (!isReady)
            continue;
        auto replaced = std::find_if(voters.begin(), voters.end(), [&](const ReplicaId& voter) { return isOtherIncarnation(voter, learner); });
        if (replaced == voters.end() && (voters.size() < m_options.voters || replacesLeaving)) {
            Membership next = status.membership;
            next.learners.erase(learner);
            next.voters.insert(learner);
            return next;
        }
        if (replaced == voters.end())
            replaced = std::find_if(voters.begin(), voters.end(), [&](const ReplicaId& voter) { return voter != status.self && hasTimedOut(voter, now); });
        if (replaced == voters.end() || *replaced == status.self)
            continue;
        if (Step step = removeVoter(status, *replaced, now))
            return step;
    }
    return std::nullopt;
}

/** Nothing unless a majority of the other voters is live. */
VoterPolicy::Step VoterPolicy::removeVoter(const GroupStatus& status, const ReplicaId& voter, Instant now) const
{
    Membership next = status.membership;
    next.voters.erase(voter);
    auto live = std::count_if(next.voters.begin(), next.voters.end(), [&](const ReplicaId& id) { return isLive(id, status, now); });
    if (static_cast<std::size_t>(live) <= next.voters.size() / 2)
        return std::nullopt;
    return next;
}

bool VoterPolicy::mayLeave(const ReplicaId& id, const Membership& membership) const
{
    bool hasSuccessor = !membership.learners.empty() || membership.voters.size() > m_options.voters;
    return !membership.voters.contains(id) || !hasSuccessor;
}

/** Later the voter has either timed out, or it has started again and stays. */
bool VoterPolicy::isLeaving(const ReplicaId& voter, Instant now) const
{
    auto leaving = m_leaving.find(voter);
    return leaving != m_leaving.end() && now - leaving->second < m_options.voterTimeout;
}

/** Precondition: contact was recorded, or trackMembers() was called with the member. */
Duration VoterPolicy::timeSinceContact(const ReplicaId& id, Instant now) const
{
    return now - m_lastContact.at(id);
}

bool VoterPolicy::isLive(const ReplicaId& id, const GroupStatus& status, Instant now) const
{
    return id == status.self || timeSinceContact(id, now) < m_options.livenessTimeout;
}

} // namespace hemlockchute
