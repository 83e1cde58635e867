#include "agreement/ReplicaCore.h"

#include <algorithm>
#include <cassert>

namespace hemlockchute {

Replica::Impl::Impl(ReplicaId id, Options replicaOptions, RecoveredState recovered, Instant start)
    : self(id)
    , options(replicaOptions)
    , hardState(recovered.hardState)
    , log(std::move(recovered.snapshot), std::move(recovered.entries), std::move(recovered.initialMembership))
    , random(replicaOptions.seed)
    , now(start)
    , lastLeaderContact(start)
    , committed(log.baseIndex())
    , durable(log.lastIndex())
    , persisting(log.lastIndex())
{
    resetElectionDeadline();
}

//==============================================================================
void Replica::Impl::tick()
{
    if (isRetired)
        return;
    if (role != Role::Leader) {
        if (isVoter() && now >= electionDeadline)
            startPreVote();
        return;
    }
    std::optional<Instant> answered = lastQuorumContact();
    if (now >= std::max(answered.value_or(leaderSince), leaderSince) + options.electionTimeout) {
        becomeFollower(hardState.term, std::nullopt);
        return;
    }
    if (now >= lastBroadcast + options.heartbeatInterval)
        needsBroadcast = true;
}

Effects Replica::Impl::takeEffects()
{
    if (role == Role::Leader && needsBroadcast)
        broadcast();
    answerReads();
    persisting = log.lastIndex();
    return std::exchange(effects, {});
}

void Replica::Impl::persisted()
{
    durable = persisting;
    if (role == Role::Leader)
        advanceCommitted();
}

//==============================================================================
Result<LogIndex, AgreementErrorCode> Replica::Impl::propose(LogEntry::Kind kind, ByteString payload)
{
    if (role != Role::Leader)
        return failure(AgreementErrorCode::NotLeader, "this replica does not lead");
    LogIndex index = log.lastIndex().next();
    appendEntry({ index, hardState.term, kind, std::move(payload) });
    needsBroadcast = true;
    return index;
}

Result<LogIndex, AgreementErrorCode> Replica::Impl::changeMembership(const Membership& wanted)
{
    if (role != Role::Leader)
        return failure(AgreementErrorCode::NotLeader, "this replica does not lead");
    if (log.membershipIndex() > committed || committed < firstIndexOfTerm)
        return failure(AgreementErrorCode::ChangeRefused, "another change is in progress");
    if (!isSingleMemberChange(wanted))
        return failure(AgreementErrorCode::ChangeRefused, "not one step, or the learner has not caught up");
    auto index = propose(LogEntry::Kind::Membership, encodeMembership(wanted));
    refreshProgress();
    return index;
}

/** One replica may be added as a learner, be promoted once it has caught up, or be removed. */
bool Replica::Impl::isSingleMemberChange(const Membership& wanted) const
{
    const Membership& current = log.membership();
    std::set<ReplicaId> changed;
    std::set_symmetric_difference(current.voters.begin(), current.voters.end(), wanted.voters.begin(), wanted.voters.end(), std::inserter(changed, changed.end()));
    std::set_symmetric_difference(current.learners.begin(), current.learners.end(), wanted.learners.begin(), wanted.learners.end(), std::inserter(changed, changed.end()));
    if (changed.size() != 1 || wanted.voters.empty())
        return false;
    const ReplicaId& id = *changed.begin();
    if (!wanted.voters.contains(id))
        return true;
    if (wanted.learners.contains(id) || !current.learners.contains(id))
        return false;
    auto known = progress.find(id);
    return known != progress.end() && known->second.matched >= committed;
}

//==============================================================================
void Replica::Impl::read(std::uint64_t token)
{
    if (role != Role::Leader) {
        effects.readsFailed.push_back(token);
        return;
    }
    reads.push_back({ token, now });
    if (!holdsLease())
        needsBroadcast = true;
}

/** A read is current when the lease is valid, or when a quorum has answered a message sent since the request. */
void Replica::Impl::answerReads()
{
    if (role != Role::Leader || committed < firstIndexOfTerm || reads.empty())
        return;
    bool allCurrent = holdsLease();
    std::optional<Instant> answered = lastQuorumContact();
    std::erase_if(reads, [&](const PendingRead& pending) {
        bool isCurrent = allCurrent || (answered && *answered >= pending.requestedAt);
        if (isCurrent)
            effects.readsReady.push_back(pending.token);
        return isCurrent;
    });
}

void Replica::Impl::failReads()
{
    for (const PendingRead& pending : reads)
        effects.readsFailed.push_back(pending.token);
    reads.clear();
}

//==============================================================================
void Replica::Impl::send(const ReplicaId& to, AgreementTerm term, AgreementBody body)
{
    effects.messages.push_back({ self, to, term, std::move(body) });
}

void Replica::Impl::appendEntry(LogEntry entry)
{
    effects.append.push_back(entry);
    log.append(std::move(entry));
}

void Replica::Impl::truncateFrom(LogIndex index)
{
    assert(index > committed);
    log.truncateFrom(index);
    std::erase_if(effects.append, [&](const LogEntry& entry) { return entry.index >= index; });
    effects.truncateFrom = std::min(index, effects.truncateFrom.value_or(index));
    LogIndex kept(index.value() - 1);
    durable = std::min(durable, kept);
    persisting = std::min(persisting, kept);
}

void Replica::Impl::commitThrough(LogIndex index)
{
    while (committed < index) {
        committed = committed.next();
        effects.committed.push_back(log.at(committed));
    }
}

} // namespace hemlockchute
