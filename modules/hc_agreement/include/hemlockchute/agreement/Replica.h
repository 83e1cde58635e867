#pragma once

#include "hemlockchute/agreement/AgreementMessage.h"
#include "hemlockchute/core/Clock.h"

#include <memory>
#include <optional>
#include <vector>

namespace hemlockchute {

/** What must be durable besides the log before a message that depends on it leaves. */
struct HardState {
    AgreementTerm term;
    std::optional<ReplicaId> votedFor;

    friend bool operator==(const HardState&, const HardState&) = default;
};

/** A snapshot of the state machine and its place in the log. */
struct ReplicaSnapshot {
    LogIndex lastIndex;
    AgreementTerm lastTerm;
    Membership membership;
    ByteString state;
};

/** What a replica knows when it starts. */
struct RecoveredState {
    HardState hardState;
    std::optional<ReplicaSnapshot> snapshot;
    std::vector<LogEntry> entries;
    /** The members of a cluster that starts for the first time; empty for a keeper that waits to be added. */
    Membership initialMembership;
};

/** What the caller does next, in this order: persist and sync, send, apply. */
struct Effects {
    std::optional<HardState> hardState;
    /** Drop the entries from here on before appending. */
    std::optional<LogIndex> truncateFrom;
    std::vector<LogEntry> append;
    /** Install this snapshot in place of the state machine and the log up to it. */
    std::optional<ReplicaSnapshot> install;
    /** Send only after the above is synced. */
    std::vector<AgreementMessage> messages;
    /** Apply to the state machine, in order. */
    std::vector<LogEntry> committed;
    /** Reads that may be answered now, by their tokens. */
    std::vector<std::uint64_t> readsReady;
    /** Reads that must be asked of another keeper. */
    std::vector<std::uint64_t> readsFailed;
    /** The log lacks what this replica once acknowledged: its disk is older than it was. It takes part no more. */
    bool isOutdated = false;

    bool isEmpty() const;
    /** True when something must be durable before the messages leave. */
    bool needsSync() const;
};

//==============================================================================
/**
    One keeper's part in the agreement on the log: pre-vote, check-quorum, leader-lease reads,
    learners, membership change one at a time, snapshots.

    Call one method, then carry out takeEffects() and say so with persisted(). Thread safety: one
    thread at a time.

    @see Effects
*/
class Replica {
public:
    /** Times and sizes. */
    struct Options {
        Duration heartbeatInterval = 50ms;
        /** An election begins after a silence between this and twice this. */
        Duration electionTimeout = 300ms;
        /** By how much clocks may run apart within an election timeout, in thousandths. */
        unsigned clockDriftPerMille = 100;
        std::size_t maximumEntriesPerMessage = 256;
        /** Entries of one message, together; a single longer one still goes. */
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
    /** Sets the members that the cluster begins with; does nothing once the log or the membership is not empty. */
    void bootstrap(const Membership& initial);
    /** Lets time pass. Call at least every heartbeat interval. */
    void tick(Instant now);
    /** Takes in a message. */
    void receive(const AgreementMessage&, Instant now);
    /** Adds a command to the log; gives its index, which commits or is overwritten. */
    Result<LogIndex, AgreementErrorCode> propose(ByteString command, Instant now);
    /** Gives up the lead, if this replica has it, in favour of the voter that is known to have most of the log. */
    void stepDown(Instant now);
    /** Asks whether reads are current; the token comes back in readsReady or readsFailed. */
    void read(std::uint64_t token, Instant now);
    /** Changes the membership by one step: add a learner, promote one that has caught up, or remove a member. */
    Result<LogIndex, AgreementErrorCode> changeMembership(const Membership&, Instant now);
    /**
        Takes a snapshot of the state up to an applied index, and forgets the log up to there. The
        caller makes the result durable before it drops its own log. Nothing when a snapshot that
        is as new is there already, as while one is being installed. Precondition: the index was
        handed out as committed.
    */
    std::optional<ReplicaSnapshot> compact(LogIndex appliedIndex, ByteString state);

    /** All that is to be done since the last call. */
    Effects takeEffects();
    /** Says that everything in the last effects taken is synced. */
    void persisted(Instant now);

    //==============================================================================
    bool isLeader() const;
    /** True while this replica leads and no other can. */
    bool holdsLease(Instant now);
    /** The leader as far as known. */
    std::optional<ReplicaId> leader() const;
    AgreementTerm term() const;
    LogIndex committed() const;
    LogIndex lastIndex() const;
    const Membership& membership() const;
    /** True when a membership change is in the log and not committed yet. */
    bool isChangingMembership() const;
    /** For each learner and voter, how far its log is known to match; only at the leader. */
    std::vector<std::pair<ReplicaId, LogIndex>> progress() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hemlockchute
