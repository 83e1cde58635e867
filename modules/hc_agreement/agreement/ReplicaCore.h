#pragma once

#include "hemlockchute/agreement/Replica.h"

#include "agreement/ReplicatedLog.h"

#include <map>
#include <random>

namespace hemlockchute {

/** What the leader knows of another replica. */
struct PeerProgress {
    LogIndex next;
    LogIndex matched;
    /** When the latest message that it answered was sent; nothing before its first answer. */
    std::optional<Instant> lastAcknowledgedSend;
    /** The snapshot on its way, and how much of it has arrived. */
    LogIndex snapshotIndex;
    std::uint64_t snapshotOffset = 0;
    std::optional<Instant> snapshotSent;
};

//==============================================================================
/**
    The state and rules behind Replica, in four sources: ReplicaCore.cpp (time, effects, proposals),
    ReplicaElection.cpp, ReplicaReplication.cpp and ReplicaSnapshots.cpp.

    The lease rule: a replica grants no vote within an election timeout of a message from a leader,
    or of its own start. So a leader whose messages, sent at some moment, were answered by a quorum
    is the only one until that moment plus the election timeout, less the drift of the clocks. A
    leader that releases its lead leads no more in that term, so that its last messages bind nobody.
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
    /** Deals with the message's term; false when the message ends there. */
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
    /** The latest moment since which a quorum has answered; nothing when none has. */
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
    /** When a leader was last heard of; a start counts as well, since a former life may have heard of one. */
    Instant lastLeaderContact;
    Instant electionDeadline;
    std::set<ReplicaId> votes;

    LogIndex committed;
    LogIndex durable;
    LogIndex persisting;

    std::map<ReplicaId, PeerProgress> progress;
    Instant leaderSince;
    Instant lastBroadcast;
    LogIndex firstIndexOfTerm;
    bool needsBroadcast = false;
    std::vector<PendingRead> reads;

    /** The snapshot that arrives in pieces. */
    ReplicaSnapshot incomingSnapshot;
    /** The term of the leader it comes from; two leaders' bytes are never mixed. */
    AgreementTerm incomingSnapshotTerm;
    /** True once the disk turned out to be older than what was acknowledged. */
    bool isRetired = false;

    Effects effects;
};

} // namespace hemlockchute
