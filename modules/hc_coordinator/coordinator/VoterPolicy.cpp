#include "coordinator/VoterPolicy.h"

#include <algorithm>

namespace hemlockchute {
namespace {

/** True when both are lives of one keeper, and the first is another one. */
bool isOtherLife(const ReplicaId& a, const ReplicaId& b)
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
    if (!status.isMembershipSettled)
        return std::nullopt;
    static constexpr Step (VoterPolicy::*rules[])(const GroupStatus&, Instant) const = { &VoterPolicy::dropLearner, &VoterPolicy::promoteLearner, &VoterPolicy::addLearner };
    for (auto rule : rules) {
        if (Step step = (this->*rule)(status, now))
            return step;
    }
    return std::nullopt;
}

/** The silence of a member that nothing is known of begins when it is first looked at, as after a change of the leader. */
void VoterPolicy::trackMembers(const GroupStatus& status, Instant now)
{
    for (const ReplicaId& id : status.membership.voters)
        m_lastContact.emplace(id, now);
    for (const ReplicaId& id : status.membership.learners)
        m_lastContact.emplace(id, now);
}

/** A learner goes when it was silent for long, or when its next life asks to be taken in. */
VoterPolicy::Step VoterPolicy::dropLearner(const GroupStatus& status, Instant now) const
{
    for (const ReplicaId& learner : status.membership.learners) {
        bool isSilent = timeSinceContact(learner, now) >= m_options.learnerTimeout;
        bool isOver = std::any_of(m_joinRequests.begin(), m_joinRequests.end(), [&](const auto& item) {
            return isOtherLife(item.first, learner) && now - item.second < m_options.livenessTimeout && timeSinceContact(learner, now) >= m_options.livenessTimeout;
        });
        if (!isSilent && !isOver)
            continue;
        Membership next = status.membership;
        next.learners.erase(learner);
        return next;
    }
    return std::nullopt;
}

VoterPolicy::Step VoterPolicy::addLearner(const GroupStatus& status, Instant now) const
{
    for (const auto& [id, asked] : m_joinRequests) {
        bool isMember = status.membership.voters.contains(id) || status.membership.learners.contains(id);
        if (isMember || now - asked >= m_options.livenessTimeout)
            continue;
        Membership next = status.membership;
        next.learners.insert(id);
        return next;
    }
    return std::nullopt;
}

/** Makes a learner that has caught up a voter; when there are enough, a voter that it can replace leaves first. */
VoterPolicy::Step VoterPolicy::promoteLearner(const GroupStatus& status, Instant now) const
{
    for (const ReplicaId& learner : status.membership.learners) {
        auto matched = status.matched.find(learner);
        bool isReady = matched != status.matched.end() && matched->second >= status.committed && isLive(learner, status, now);
        if (!isReady)
            continue;
        Membership next = status.membership;
        auto formerLife = std::find_if(next.voters.begin(), next.voters.end(), [&](const ReplicaId& voter) { return isOtherLife(voter, learner); });
        if (formerLife == next.voters.end() && next.voters.size() < m_options.voters) {
            next.learners.erase(learner);
            next.voters.insert(learner);
            return next;
        }
        auto leaving = formerLife;
        if (leaving == next.voters.end()) {
            leaving = std::find_if(next.voters.begin(), next.voters.end(), [&](const ReplicaId& voter) {
                return voter != status.self && timeSinceContact(voter, now) >= m_options.voterTimeout;
            });
        }
        if (leaving == next.voters.end() || *leaving == status.self)
            continue;
        next.voters.erase(leaving);
        auto present = std::count_if(next.voters.begin(), next.voters.end(), [&](const ReplicaId& voter) { return isLive(voter, status, now); });
        if (static_cast<std::size_t>(present) > next.voters.size() / 2)
            return next;
    }
    return std::nullopt;
}

/** Precondition: trackMembers() has seen the member. */
Duration VoterPolicy::timeSinceContact(const ReplicaId& id, Instant now) const
{
    return now - m_lastContact.at(id);
}

bool VoterPolicy::isLive(const ReplicaId& id, const GroupStatus& status, Instant now) const
{
    return id == status.self || timeSinceContact(id, now) < m_options.livenessTimeout;
}

} // namespace hemlockchute
