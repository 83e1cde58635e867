#pragma once

#include "hemlockchute/agreement/AgreementMessage.h"
#include "hemlockchute/core/Clock.h"

#include <memory>
#include <optional>
#include <vector>

namespace hemlockchute {

/** The state besides the log that must be durable before a message that depends on it is sent. */
struct HardState {
    AgreementTerm term;
    std::optional<ReplicaId> votedFor;

    friend bool operator==(const HardState&, const HardState&) = default;
};

/** A snapshot of the state machine and its position in the log. */
struct ReplicaSnapshot {
    LogIndex lastIndex;
    AgreementTerm lastTerm;
    Membership membership;
    ByteString state;
};

/** The persisted state from which a replica starts. */
struct RecoveredState {
    HardState hardState;
    std::optional<ReplicaSnapshot> snapshot;
    std::vector<LogEntry> entries;
    /** The membership that the cluster was bootstrapped with; empty for a replica that waits to be added. */
    Membership initialMembership;
};

/** The work that a Replica hands to its caller, to be done in this order: persist and sync, send, apply. */
struct Effects {
    std::optional<HardState> hardState;
    /** Drop the entries from this index on before appending; 1 when an installed snapshot replaces the whole log. */
    std::optional<LogIndex> truncateFrom;
    std::vector<LogEntry> append;
    /** Replace the state machine, and the log up to the snapshot, with this snapshot. */
    std::optional<ReplicaSnapshot> install;
    /** Send only after the above is synced. */
    std::vector<AgreementMessage> messages;
    /** Apply to the state machine, in order. */
    std::vector<LogEntry> committed;
    /** Tokens of the reads that can be answered now. */
    std::vector<std::uint64_t> readsReady;
    /** Tokens of the reads that must be sent to another replica. */
    std::vector<std::uint64_t> readsFailed;
    /** The log lacks entries that this replica has acknowledged: its disk was rolled back. It no longer participates. */
    bool isOutdated = false;

    bool isEmpty() const;
    /** True when something must be durable before the messages are sent. */
    bool needsSync() const;
};

//==============================================================================
/**
    One replica of a Raft group, as a state machine without I/O. It implements pre-vote,
    check-quorum, leader-lease reads, learners, membership changes of one member at a time, and
    snapshots.

    After each call, carry out the result of takeEffects(), then call persisted(). Thread safety:
    one thread at a time.

    @see Effects
*/
class Replica {
public:
    /** Timing and message size limits. */
    struct Options {
        Duration heartbeatInterval = 50ms;
        /** A follower starts an election after a random time between this and twice this without contact with a leader. */
        Duration electionTimeout = 300ms;
        /** Bound on the drift between two clocks within an election timeout, in parts per thousand; it shortens the lease. */
        unsigned clockDriftPerMille = 100;
        std::size_t maximumEntriesPerMessage = 256;
        /** Total payload of the entries in one message; a single larger entry is still sent. */
        std::size_t maximumBytesPerMessage = 1U << 20U;
        std::size_t snapshotChunkBytes = 256U << 10U;
        std::uint64_t seed = 1;

        Options withHeartbeatInterval(Duration) const;
        Options withElectionTimeout(Duration) const;
        Options withSeed(std::uint64_t) const;
        Options withSnapshotChunkBytes(std::size_t) const;
        Options withMaximumEntriesPerMessage(std::size_t) const;
    };

    Replica(ReplicaId self, Options, RecoveredState, Instant now);
    ~Replica();
    Replica(Replica&&) noexcept;

    //==============================================================================
    /** Sets the initial membership of the cluster; does nothing unless both log and membership are empty. */
    void bootstrap(const Membership& initial);
    /** Handles time-outs. Call at least once per heartbeat interval. */
    void tick(Instant now);
    void receive(const AgreementMessage&, Instant now);
    /** Appends a command to the log and returns its index. A later leader may overwrite the entry before it commits. */
    Result<LogIndex, AgreementErrorCode> propose(ByteString command, Instant now);
    /** Steps down, if this replica leads, and names the voter with the longest known log as successor. */
    void stepDown(Instant now);
    /** Requests a linearizable read; its token is returned in readsReady or readsFailed. */
    void read(std::uint64_t token, Instant now);
    /** Changes the membership by one member: adds a learner, promotes one that has caught up, or removes a member. */
    Result<LogIndex, AgreementErrorCode> changeMembership(const Membership&, Instant now);
    /**
        Records a snapshot of the state at an applied index and drops the log up to it. The caller
        makes the result durable before it drops its own log. Returns nothing when a snapshot as
        recent already exists, as while one is being installed. Precondition: the index has been
        returned in Effects::committed.
    */
    std::optional<ReplicaSnapshot> compact(LogIndex appliedIndex, ByteString state);

    /** Returns the work that has accumulated since the last call. */
    Effects takeEffects();
    /** Reports that everything in the last effects taken is durable. */
    void persisted(Instant now);

    //==============================================================================
    bool isLeader() const;
    /** True while this replica leads and its lease rules out any other leader. */
    bool holdsLease(Instant now);
    /** The current leader, if known. */
    std::optional<ReplicaId> leader() const;
    AgreementTerm term() const;
    LogIndex committed() const;
    /** The first entry of this replica's term; once it is committed, so is everything that earlier leaders committed. Precondition: it leads. */
    LogIndex firstIndexOfTerm() const;
    LogIndex lastIndex() const;
    const Membership& membership() const;
    /** True when a membership change is in the log and not committed yet. */
    bool isChangingMembership() const;
    /** The highest index known to match at each other member; empty unless this replica leads. */
    std::vector<std::pair<ReplicaId, LogIndex>> progress() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hemlockchute
