#pragma once

#include "hemlockchute/agreement/Replica.h"

#include "agreement/ReplicatedLog.h"

#include <map>
#include <random>

namespace hemlockchute {

/** The leader's knowledge of another replica. */
struct PeerProgress {
    LogIndex next;
    LogIndex matched;
    /** Send time of the latest message that the replica has answered; empty before its first answer. */
    std::optional<Instant> lastAcknowledgedSend;
    /** The snapshot being sent, and how many of its bytes the replica has confirmed. */
    LogIndex snapshotIndex;
    std::uint64_t snapshotOffset = 0;
    std::optional<Instant> snapshotSent;
};

//==============================================================================
/**
    The implementation of Replica, in four sources: ReplicaCore.cpp (time, effects, proposals),
    ReplicaElection.cpp, ReplicaReplication.cpp and ReplicaSnapshots.cpp.

    Lease rule: a replica grants no vote within an election timeout of a message from a leader, or
    of its own start. A leader whose messages of some moment were answered by a quorum is therefore
    the only leader until that moment plus the election timeout, less the clock drift. A leader that
    steps down does not lead again in that term, so its last messages need not delay any vote.
    Thread safety: one thread at a time.

    @see Replica
*/
struct Replica::Impl {
    enum class Role {
        Follower,
        PreCandidate,
        Candidate,
        Leader
    };

    struct PendingRead {
        std::uint64_t token = 0;
        Instant requestedAt;
    };

    Impl(ReplicaId, Options, RecoveredState, Instant);

    //==============================================================================
    // Time, effects and proposals
    void tick();
    Effects takeEffects();
    void persisted();
    Result<LogIndex, AgreementErrorCode> propose(LogEntry::Kind, ByteString payload);
    Result<LogIndex, AgreementErrorCode> changeMembership(const Membership&);
    bool isSingleMemberChange(const Membership&) const;
    void read(std::uint64_t token);
    void answerReads();
    void failReads();
    void send(const ReplicaId& to, AgreementTerm, AgreementBody);
    void appendEntry(LogEntry);
    void truncateFrom(LogIndex);
    void commitThrough(LogIndex);

    //==============================================================================
    // Elections
    void receive(const AgreementMessage&);
    /** Compares the message's term with this replica's; false when the message needs no further handling. */
    bool processTerm(const AgreementMessage&);
    void rejectStaleTerm(const AgreementMessage&);
    void becomeFollower(AgreementTerm, std::optional<ReplicaId> leader);
    void startPreVote();
    void startElection();
    void becomeLeader();
    void resetElectionDeadline();
    bool mayVote() const;
    bool isUpToDate(const VoteRequest&) const;
    void handle(const AgreementMessage&, const VoteRequest&);
    void handle(const AgreementMessage&, const VoteReply&);
    void handle(const AgreementMessage&, const LeadRelease&);
    void stepDown();
    void requestVotes(AgreementTerm, bool isPreVote);
    bool hasVoteQuorum() const;
    void recordLeaderContact(const ReplicaId&);

    //==============================================================================
    // Replication
    void handle(const AgreementMessage&, const AppendRequest&);
    void handle(const AgreementMessage&, const AppendReply&);
    void broadcast();
    void sendAppend(const ReplicaId&, PeerProgress&);
    void rejectAppend(const AgreementMessage&, const AppendRequest&);
    void mergeEntries(const std::vector<LogEntry>&);
    void recordReply(PeerProgress&, std::uint64_t sentAt);
    void advanceCommitted();
    void refreshProgress();
    /** The latest time such that a quorum has answered messages sent then or later; empty when there is none. */
    std::optional<Instant> lastQuorumContact() const;
    bool holdsLease() const;

    //==============================================================================
    // Snapshots
    void handle(const AgreementMessage&, const SnapshotChunk&);
    void handle(const AgreementMessage&, const SnapshotReply&);
    void sendSnapshot(const ReplicaId&, PeerProgress&);
    void install(ReplicaSnapshot);

    //==============================================================================
    bool isVoter() const { return log.membership().voters.contains(self); }
    std::size_t quorum() const { return log.membership().voters.size() / 2 + 1; }

    ReplicaId self;
    Options options;
    HardState hardState;
    ReplicatedLog log;
    std::mt19937_64 random;
    Instant now;

    Role role = Role::Follower;
    std::optional<ReplicaId> leader;
    /** Time of the last contact with a leader. A start counts as contact, since one may have occurred before the restart. */
    Instant lastLeaderContact;
    Instant electionDeadline;
    std::set<ReplicaId> votes;

    LogIndex committed;
    LogIndex durable;
    /** Last index handed out by takeEffects(); durable once persisted() is called. */
    LogIndex persisting;

    std::map<ReplicaId, PeerProgress> progress;
    Instant leaderSince;
    Instant lastBroadcast;
    LogIndex firstIndexOfTerm;
    bool needsBroadcast = false;
    std::vector<PendingRead> reads;

    /** The snapshot that is being received in chunks. */
    ReplicaSnapshot incomingSnapshot;
    /** Term of the leader that sends it; chunks of two leaders are never mixed. */
    AgreementTerm incomingSnapshotTerm;
    /** True once the log has been found to lack acknowledged entries; see Effects::isOutdated. */
    bool isRetired = false;

    Effects effects;
};

} // namespace hemlockchute
