#pragma once

#include "hemlockchute/agreement/ReplicatedGroup.h"
#include "hemlockchute/core/Clock.h"

#include <map>
#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    Decides the membership of the Raft group of coordinators.

    Handles hosts that are replaced under other addresses or come back with empty disks: a new replica
    joins as a learner and becomes a voter once it has caught up. A voter is removed only when a
    caught-up learner can replace it: at once if the learner is the same keeper's next incarnation,
    or if the voter says that it leaves, otherwise after the voter has been out of contact for the
    time-out. A voter that leaves still runs, so its successor votes before it is removed: the
    group tolerates the loss of another one at each step.
    Thread safety: one thread at a time.
*/
class VoterPolicy {
public:
    /** Group size and time-outs. */
    struct Options {
        /** Target number of voters. */
        std::size_t voters = 3;
        /** A voter without contact for this long is replaced, if a learner has caught up. Longer than the second for which a sound host may fall silent. */
        Duration voterTimeout = 1500ms;
        /** A replica counts as live for this long after its last contact, a join request for this long after it came. */
        Duration livenessTimeout = 1s;
        /** A learner without contact for this long is removed. */
        Duration learnerTimeout = 10s;
    };

    explicit VoterPolicy(Options options)
        : m_options(options)
    {
    }

    /** Records a message from a replica, member or not. */
    void noteContact(const ReplicaId& id, Instant now) { m_lastContact[id] = now; }
    /** Records that a replica asks to join; counts as contact. */
    void noteJoinRequest(const ReplicaId& id, Instant now);
    /** Records that a voter is about to stop. */
    void noteLeaving(const ReplicaId& id, Instant now) { m_leaving[id] = now; }
    /** True if a replica that stops need not wait: it does not vote, or nobody is there to replace it. */
    bool mayLeave(const ReplicaId&, const Membership&) const;
    /** The next membership, a single-member change; nothing if none is due. Precondition: the status is a leader's. */
    std::optional<Membership> nextMembership(const GroupStatus&, Instant now);

private:
    using Step = std::optional<Membership>;

    void trackMembers(const GroupStatus&, Instant now);
    Step dropLearner(const GroupStatus&, Instant now) const;
    Step dropSurplusVoter(const GroupStatus&, Instant now) const;
    Step addLearner(const GroupStatus&, Instant now) const;
    Step promoteLearner(const GroupStatus&, Instant now) const;
    Step removeVoter(const GroupStatus&, const ReplicaId&, Instant now) const;
    bool hasTimedOut(const ReplicaId& voter, Instant now) const { return timeSinceContact(voter, now) >= m_options.voterTimeout; }
    bool isLeaving(const ReplicaId&, Instant now) const;
    Duration timeSinceContact(const ReplicaId&, Instant now) const;
    bool isLive(const ReplicaId&, const GroupStatus&, Instant now) const;

    Options m_options;
    std::map<ReplicaId, Instant> m_lastContact;
    std::map<ReplicaId, Instant> m_joinRequests;
    std::map<ReplicaId, Instant> m_leaving;
};

} // namespace hemlockchute
