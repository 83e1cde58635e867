#pragma once

#include "hemlockchute/agreement/KeeperDisk.h"
#include "hemlockchute/agreement/Replica.h"
#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/EventTable.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace hemlockchute {

//==============================================================================
/**
    The state machine that a group replicates.

    Thread safety: the group calls one method at a time, from its own thread.

    @see ReplicatedGroup
*/
class ReplicatedStateMachine {
public:
    virtual ~ReplicatedStateMachine() = default;

    /** Replaces the state with that of a snapshot. */
    virtual Result<void, AgreementErrorCode> restore(std::string_view snapshot) = 0;
    /** Serialises the whole state for restore(). */
    virtual ByteString snapshot() const = 0;
    /** Applies a committed command and returns the answer for its proposer. */
    virtual Result<ByteString, AgreementErrorCode> apply(const LogEntry&) = 0;
};

/** The outcome of a proposal or a read. */
struct GroupReply {
    enum class Kind {
        /** `answer` holds the state machine's answer. */
        Answered,
        /** This replica does not lead; the request had no effect. */
        NotLeader,
        /** Leadership was lost before the proposal committed; it may still commit. */
        Unknown
    };

    Kind kind = Kind::NotLeader;
    /** The keeper to ask instead, if another one is known to lead. */
    std::optional<KeeperId> leader;
    ByteString answer;
};

/** The status of a group as one of its replicas sees it. */
struct GroupStatus {
    ReplicaId self;
    std::optional<ReplicaId> leader;
    bool isLeader = false;
    /** True while the disk refuses writes and this replica therefore does not participate. */
    bool isSuspended = false;
    AgreementTerm term;
    LogIndex committed;
    Membership membership;
    /** True when the latest membership in the log is committed. */
    bool isMembershipCommitted = false;
    /** The highest index known to match at each replica; only the leader knows those of the others. */
    std::map<ReplicaId, LogIndex> matched;
};

/** Callbacks from a group to its process. Called on the group's thread, without its lock. */
struct GroupHooks {
    /** Sends a message to another replica; the message may be lost. */
    std::function<void(const AgreementMessage&)> send;
    /** Called after entries were applied or a snapshot was installed. */
    std::function<void()> stateAdvanced;
    /** Handles a fatal error; must not return. */
    std::function<void(EventId, const std::string& reason)> fail;
    /** Reopens the data folder after it refused a write; without this hook such a refusal is fatal. */
    std::function<StorageResult<std::unique_ptr<KeeperDisk>>()> reopen {};
};

//==============================================================================
/**
    One member of a Raft group: a replica with its data folder and its state machine.

    A dedicated thread carries out the replica's effects, so that callers never wait for the disk:
    it persists everything that has accumulated with one sync, then sends, applies and answers.
    When the disk refuses a write, the replica is suspended until the folder has been reopened and
    accepts writes again. It then resumes from what the disk holds, as after a restart. While
    suspended it still observes who leads, so that callers can be redirected.
    Thread safety: every method may be called from any thread. Answers come on the group's thread.

    @see Replica, ReplicatedStateMachine
*/
class ReplicatedGroup {
public:
    /** Timing and size limits. */
    struct Options {
        Replica::Options replica;
        /** The incarnation that the data folder takes when it turns out to have been rolled back. */
        IncarnationId nextIncarnation;
        /** A snapshot is taken once this many entries, or bytes, have been applied since the previous one. */
        std::uint64_t entriesBetweenSnapshots = 1000;
        ByteCount bytesBetweenSnapshots = ByteCount::mebibytes(4);
        /** Back-off between attempts to reopen a disk that refused writes; doubles up to the maximum. */
        Duration initialReopenBackoff = 100ms;
        Duration maximumReopenBackoff = 500ms;
    };

    using Reply = std::function<void(GroupReply)>;
    /** Computes the answer to a read; called on the group's thread. */
    using Read = std::function<ByteString()>;

    /** The state machine and the clock must outlive the group. */
    ReplicatedGroup(KeeperId, std::unique_ptr<KeeperDisk>, Options, const Clock&, ReplicatedStateMachine&, GroupHooks);
    ~ReplicatedGroup();

    /** Restores the state from disk and starts the group's thread. */
    Result<void, AgreementErrorCode> start();
    /** Stops the group's thread after the batch in progress and answers all pending requests. */
    void stop();

    //==============================================================================
    void tick();
    void receive(const AgreementMessage&);
    /** Replicates a command; the reply holds the state machine's answer once the command is applied. */
    void propose(ByteString command, Reply);
    /** Reads the state with everything that had committed before this call. */
    void read(Read, Reply);
    /** See Replica::changeMembership(). */
    Result<LogIndex, AgreementErrorCode> changeMembership(const Membership&);
    /** Steps down if this replica leads, as before it stops, so that a successor need not wait for an election time-out. */
    void stepDown();
    /** Sets the initial membership of the cluster, unless this replica already has one. */
    void bootstrap(const Membership&);

    //==============================================================================
    KeeperIdentity identity() const;
    GroupStatus status() const;
    bool isLeader() const;
    /** True while this replica leads and its lease, by the group's clock, rules out any other leader. */
    bool holdsLease() const;
    /** True while the state machine reflects every proposal that has been answered, by this leader or an earlier one; implies holdsLease(). A state that is read after this call is at least as recent as the call. */
    bool isStateCurrent() const;
    /** True when a replica's log is known to hold every committed entry; only the leader knows. */
    bool isCaughtUp(const ReplicaId&) const;
    /** True when this replica has neither members nor entries: it waits for the bootstrap, or to be added. */
    bool isUninitialised() const;

private:
    struct PendingProposal {
        AgreementTerm term;
        Reply reply;
    };

    struct PendingRead {
        Read read;
        Reply reply;
    };

    /** The leader as observed from its messages while this replica is suspended. */
    struct ObservedLeader {
        ReplicaId leader;
        AgreementTerm term;
        Instant lastContact;
    };

    /** Replies to send after the lock is released. */
    using Answers = std::vector<std::pair<Reply, GroupReply>>;

    void run();
    void carryOut(const Effects&);
    bool applyAll(const Effects&, Answers&);
    void apply(const LogEntry&, Answers&);
    void install(const ReplicaSnapshot&, Answers&);
    void answerReads(const Effects&, Answers&);
    void abandonProposals(Answers&);
    void retireIncarnation();
    void suspend(const Error<StorageErrorCode>&);
    void tryToResume(std::unique_lock<std::mutex>&);
    void resume(std::unique_ptr<KeeperDisk>);
    void abandonReads(Answers&);
    std::optional<ReplicaId> knownLeader() const;
    void compactIfDue();
    void logRoleChange();
    void logLeaderChange();
    GroupReply notLeader() const;
    ReplicaId self() const;

    KeeperId m_id;
    Options m_options;
    const Clock& m_clock;
    ReplicatedStateMachine& m_state;
    GroupHooks m_hooks;
    /** Used on the group's thread only, after start(). */
    std::unique_ptr<KeeperDisk> m_disk;

    mutable std::mutex m_lock;
    std::condition_variable m_wake;
    KeeperIdentity m_identity;
    std::optional<Membership> m_pendingBootstrap;
    std::unique_ptr<Replica> m_replica;
    LogIndex m_applied;
    LogIndex m_compacted;
    ByteCount m_bytesSinceSnapshot;
    bool m_wasLeader = false;
    /** The leader and term that were last logged. */
    std::optional<ReplicaId> m_loggedLeader;
    AgreementTerm m_loggedTerm;
    std::uint64_t m_nextToken = 1;
    std::map<LogIndex, PendingProposal> m_proposals;
    std::map<std::uint64_t, PendingRead> m_reads;
    bool m_isSuspended = false;
    Duration m_reopenBackoff {};
    std::optional<ObservedLeader> m_observedLeader;
    bool m_hasWork = true;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace hemlockchute
