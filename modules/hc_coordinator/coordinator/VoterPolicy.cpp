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
    static constexpr Step (VoterPolicy::*rules[])(const GroupStatus&, Instant) const = { &VoterPolicy::dropLearner, &VoterPolicy::promoteLearner, &VoterPolicy::addLearner };
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

/** Promotes a learner that has caught up; if there are enough voters, or an older incarnation of it votes, that voter is removed first, provided that a majority of the rest is live. */
VoterPolicy::Step VoterPolicy::promoteLearner(const GroupStatus& status, Instant now) const
{
    for (const ReplicaId& learner : status.membership.learners) {
        auto matched = status.matched.find(learner);
        bool isReady = matched != status.matched.end() && matched->second >= status.committed && isLive(learner, status, now);
        if (!isReady)
            continue;
        Membership next = status.membership;
        auto formerIncarnation = std::find_if(next.voters.begin(), next.voters.end(), [&](const ReplicaId& voter) { return isOtherIncarnation(voter, learner); });
        if (formerIncarnation == next.voters.end() && next.voters.size() < m_options.voters) {
            next.learners.erase(learner);
            next.voters.insert(learner);
            return next;
        }
        auto replaced = formerIncarnation;
        if (replaced == next.voters.end()) {
            replaced = std::find_if(next.voters.begin(), next.voters.end(), [&](const ReplicaId& voter) {
                return voter != status.self && timeSinceContact(voter, now) >= m_options.voterTimeout;
            });
        }
        if (replaced == next.voters.end() || *replaced == status.self)
            continue;
        next.voters.erase(replaced);
        auto live = std::count_if(next.voters.begin(), next.voters.end(), [&](const ReplicaId& voter) { return isLive(voter, status, now); });
        if (static_cast<std::size_t>(live) > next.voters.size() / 2)
            return next;
    }
    return std::nullopt;
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
