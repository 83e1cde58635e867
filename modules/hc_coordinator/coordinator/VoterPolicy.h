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
        Duration silence = 4s;
        /** Who was heard of within this time is taken to be there. */
        Duration presence = 1s;
        /** A learner that was silent for so long is forgotten. */
        Duration learnerSilence = 10s;
    };

    explicit VoterPolicy(Options options)
        : m_options(options)
    {
    }

    /** Notes a word from a replica, whether or not it belongs to the group. */
    void noteHeard(const ReplicaId& id, Instant now) { m_heard[id] = now; }
    /** Notes that a replica asks to be taken in. */
    void noteNewcomer(const ReplicaId& id, Instant now);
    /** The next membership, one step from the present one; nothing when it is as it should be. Precondition: the status is a leader's. */
    std::optional<Membership> next(const GroupStatus&, Instant now);

private:
    using Step = std::optional<Membership>;

    void beginSilences(const GroupStatus&, Instant now);
    Step dropLearner(const GroupStatus&, Instant now) const;
    Step addLearner(const GroupStatus&, Instant now) const;
    Step makeVoter(const GroupStatus&, Instant now) const;
    Duration silenceOf(const ReplicaId&, Instant now) const;
    bool isPresent(const ReplicaId&, const GroupStatus&, Instant now) const;

    Options m_options;
    std::map<ReplicaId, Instant> m_heard;
    std::map<ReplicaId, Instant> m_newcomers;
};

} // namespace hemlockchute
