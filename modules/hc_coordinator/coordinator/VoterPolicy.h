#pragma once

#include "hemlockchute/agreement/ReplicatedGroup.h"
#include "hemlockchute/core/Clock.h"

#include <map>
#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    Decides who belongs to the group of coordinators.

    Answers hosts that are replaced at other addresses or come back with empty disks: a newcomer
    learns first, and votes once it has caught up. A voter leaves only for a newcomer that can take
    its place: at once when the newcomer is its own next life, else after a silence.
    Thread safety: one thread at a time.
*/
class VoterPolicy {
public:
    /** Times and sizes. */
    struct Options {
        /** Voters that the group grows to. */
        std::size_t voters = 3;
        /** A voter that was silent for so long may be replaced. */
        Duration voterTimeout = 4s;
        /** Who was heard of within this time is taken to be there. */
        Duration livenessTimeout = 1s;
        /** A learner that was silent for so long is forgotten. */
        Duration learnerTimeout = 10s;
    };

    explicit VoterPolicy(Options options)
        : m_options(options)
    {
    }

    /** Notes a word from a replica, whether or not it belongs to the group. */
    void noteContact(const ReplicaId& id, Instant now) { m_lastContact[id] = now; }
    /** Notes that a replica asks to be taken in. */
    void noteJoinRequest(const ReplicaId& id, Instant now);
    /** The next membership, one step from the present one; nothing when it is as it should be. Precondition: the status is a leader's. */
    std::optional<Membership> nextMembership(const GroupStatus&, Instant now);

private:
    using Step = std::optional<Membership>;

    void trackMembers(const GroupStatus&, Instant now);
    Step dropLearner(const GroupStatus&, Instant now) const;
    Step addLearner(const GroupStatus&, Instant now) const;
    Step promoteLearner(const GroupStatus&, Instant now) const;
    Duration timeSinceContact(const ReplicaId&, Instant now) const;
    bool isLive(const ReplicaId&, const GroupStatus&, Instant now) const;

    Options m_options;
    std::map<ReplicaId, Instant> m_lastContact;
    std::map<ReplicaId, Instant> m_joinRequests;
};

} // namespace hemlockchute
