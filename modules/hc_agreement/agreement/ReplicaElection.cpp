#include "agreement/ReplicaCore.h"

namespace hemlockchute {
namespace {

bool isFromLeader(const AgreementBody& body)
{
    return std::holds_alternative<AppendRequest>(body) || std::holds_alternative<SnapshotChunk>(body);
}

/** True for a granted pre-vote, the one reply that carries the requested term instead of the voter's own. */
bool isPreVoteGrant(const AgreementBody& body)
{
    const auto* reply = std::get_if<VoteReply>(&body);
    return reply != nullptr && reply->isPreVote && reply->granted;
}

} // namespace

void Replica::Impl::receive(const AgreementMessage& message)
{
    if (isRetired || message.to != self || !processTerm(message))
        return;
    std::visit([&](const auto& body) { handle(message, body); }, message.body);
}

bool Replica::Impl::processTerm(const AgreementMessage& message)
{
    const auto* voteRequest = std::get_if<VoteRequest>(&message.body);
    if (voteRequest != nullptr && voteRequest->isPreVote)
        return true;
    if (isPreVoteGrant(message.body))
        return message.term == hardState.term.next();
    if (message.term < hardState.term) {
        rejectStaleTerm(message);
        return false;
    }
    if (message.term > hardState.term) {
        if (voteRequest != nullptr && !mayVote())
            return false;
        becomeFollower(message.term, std::nullopt);
    }
    if (isFromLeader(message.body))
        recordLeaderContact(message.from);
    return true;
}

/** Informs a former leader or a late candidate of the newer term. */
void Replica::Impl::rejectStaleTerm(const AgreementMessage& message)
{
    if (std::holds_alternative<VoteRequest>(message.body))
        send(message.from, hardState.term, VoteReply {});
    else if (isFromLeader(message.body))
        send(message.from, hardState.term, AppendReply {});
}

void Replica::Impl::recordLeaderContact(const ReplicaId& from)
{
    if (role != Role::Follower)
        becomeFollower(hardState.term, from);
    leader = from;
    lastLeaderContact = now;
    resetElectionDeadline();
}

void Replica::Impl::becomeFollower(AgreementTerm term, std::optional<ReplicaId> newLeader)
{
    if (term > hardState.term) {
        hardState = { term, std::nullopt };
        effects.hardState = hardState;
    }
    role = Role::Follower;
    leader = newLeader;
    votes.clear();
    progress.clear();
    needsBroadcast = false;
    failReads();
    resetElectionDeadline();
}

void Replica::Impl::resetElectionDeadline()
{
    auto spread = static_cast<std::uint64_t>(options.electionTimeout.count());
    electionDeadline = now + options.electionTimeout + Duration(random() % spread);
}

//==============================================================================
void Replica::Impl::startPreVote()
{
    role = Role::PreCandidate;
    leader.reset();
    votes = { self };
    resetElectionDeadline();
    if (hasVoteQuorum())
        startElection();
    else
        requestVotes(hardState.term.next(), true);
}

void Replica::Impl::startElection()
{
    role = Role::Candidate;
    hardState = { hardState.term.next(), self };
    effects.hardState = hardState;
    votes = { self };
    resetElectionDeadline();
    if (hasVoteQuorum())
        becomeLeader();
    else
        requestVotes(hardState.term, false);
}

void Replica::Impl::requestVotes(AgreementTerm term, bool isPreVote)
{
    for (const ReplicaId& voter : log.membership().voters) {
        if (voter != self)
            send(voter, term, VoteRequest { isPreVote, log.lastIndex(), log.lastTerm() });
    }
}

bool Replica::Impl::hasVoteQuorum() const
{
    std::size_t count = 0;
    for (const ReplicaId& voter : log.membership().voters)
        count += votes.contains(voter) ? 1 : 0;
    return count >= quorum();
}

/** The first leader of a cluster also appends the initial membership, so that the log holds it. */
void Replica::Impl::becomeLeader()
{
    role = Role::Leader;
    leader = self;
    votes.clear();
    leaderSince = now;
    progress.clear();
    bool isFirst = log.lastIndex().isNone();
    firstIndexOfTerm = log.lastIndex().next();
    appendEntry({ firstIndexOfTerm, hardState.term, LogEntry::Kind::Empty, {} });
    if (isFirst)
        appendEntry({ firstIndexOfTerm.next(), hardState.term, LogEntry::Kind::Membership, encodeMembership(log.membership()) });
    refreshProgress();
    needsBroadcast = true;
}

//==============================================================================
void Replica::Impl::stepDown()
{
    if (role != Role::Leader)
        return;
    std::optional<ReplicaId> successor;
    LogIndex highestMatched;
    for (const ReplicaId& voter : log.membership().voters) {
        auto peer = progress.find(voter);
        if (voter == self || peer == progress.end() || (successor && peer->second.matched <= highestMatched))
            continue;
        successor = voter;
        highestMatched = peer->second.matched;
    }
    becomeFollower(hardState.term, std::nullopt);
    if (!successor)
        return;
    for (const ReplicaId& voter : log.membership().voters) {
        if (voter != self)
            send(voter, hardState.term, LeadRelease { *successor });
    }
}

/** Accepted only from the known leader in its own term, as withheld votes protect only the lease of that leader. */
void Replica::Impl::handle(const AgreementMessage& message, const LeadRelease& released)
{
    if (role != Role::Follower || leader != message.from)
        return;
    leader.reset();
    lastLeaderContact = now - options.electionTimeout;
    if (released.successor != self || !isVoter())
        return;
    startPreVote();
    // Retries soon, since the other voters may not have received the announcement yet.
    electionDeadline = now + options.heartbeatInterval;
}

//==============================================================================
bool Replica::Impl::mayVote() const
{
    return now >= lastLeaderContact + options.electionTimeout && role != Role::Leader;
}

bool Replica::Impl::isUpToDate(const VoteRequest& request) const
{
    if (request.lastTerm != log.lastTerm())
        return request.lastTerm > log.lastTerm();
    return request.lastIndex >= log.lastIndex();
}

void Replica::Impl::handle(const AgreementMessage& message, const VoteRequest& request)
{
    if (request.isPreVote) {
        bool granted = message.term > hardState.term && mayVote() && isUpToDate(request);
        send(message.from, granted ? message.term : hardState.term, VoteReply { true, granted });
        return;
    }
    bool isVoteAvailable = !hardState.votedFor || *hardState.votedFor == message.from;
    bool granted = isVoteAvailable && mayVote() && isUpToDate(request);
    if (granted && !hardState.votedFor) {
        hardState.votedFor = message.from;
        effects.hardState = hardState;
        resetElectionDeadline();
    }
    send(message.from, hardState.term, VoteReply { false, granted });
}

void Replica::Impl::handle(const AgreementMessage& message, const VoteReply& reply)
{
    bool isAwaited = role == (reply.isPreVote ? Role::PreCandidate : Role::Candidate);
    if (!isAwaited || !reply.granted)
        return;
    votes.insert(message.from);
    if (!hasVoteQuorum())
        return;
    if (reply.isPreVote)
        startElection();
    else
        becomeLeader();
}

} // namespace hemlockchute
