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
    The state that a group agrees on.

    Thread safety: the group calls one method at a time, from its own thread.

    @see ReplicatedGroup
*/
class ReplicatedStateMachine {
public:
    virtual ~ReplicatedStateMachine() = default;

    /** Replaces the state by that of a snapshot. */
    virtual Result<void, AgreementErrorCode> restore(std::string_view snapshot) = 0;
    /** The whole state as bytes for restore(). */
    virtual ByteString snapshot() const = 0;
    /** Applies a committed command; gives the answer for whoever proposed it. */
    virtual Result<ByteString, AgreementErrorCode> apply(const LogEntry&) = 0;
};

/** What came of a proposal or a read. */
struct GroupReply {
    enum class Kind {
        /** `answer` is the state's answer. */
        Answered,
        /** This replica does not lead; nothing was taken in. */
        NotLeader,
        /** Taken in, but leadership was lost before it was agreed on. */
        Unknown
    };

    Kind kind = Kind::NotLeader;
    /** Where to ask instead, when known and another. */
    std::optional<KeeperId> leader;
    ByteString answer;
};

/** How a group stands at one moment. */
struct GroupStatus {
    ReplicaId self;
    std::optional<ReplicaId> leader;
    bool isLeader = false;
    /** True while the disk refuses writes, so that this replica takes no part. */
    bool isSuspended = false;
    AgreementTerm term;
    LogIndex committed;
    Membership membership;
    /** True when the latest membership in the log is committed. */
    bool isMembershipSettled = false;
    /** How far each replica's log is known to match; others' only at the leader. */
    std::map<ReplicaId, LogIndex> matched;
};

/** What a group asks of its process. Called on the group's thread, without its lock. */
struct GroupHooks {
    /** Sends a message to another replica, or loses it. */
    std::function<void(const AgreementMessage&)> send;
    /** Something was applied or installed since the last call. */
    std::function<void()> stateAdvanced;
    /** The group cannot go on; must not return. */
    std::function<void(EventId, const std::string& reason)> fail;
    /** Opens the data folder anew after it refused a write; where it is empty, such a refusal ends the process. */
    std::function<StorageResult<std::unique_ptr<KeeperDisk>>()> reopen {};
};

//==============================================================================
/**
    A replica, its disk and the agreed state under one lock.

    A thread of the group's own carries out the replica's effects, so that nobody else waits for
    the disk: it writes all that has come together with one sync, sends, applies and answers. When
    the disk refuses that, the replica takes no part until the folder was opened anew and takes
    writes again; it goes on from what is really there, as after a restart, and meanwhile knows the
    leader for those who ask.
    Thread safety: every method may be called from any thread. Answers come on the group's thread.

    @see Replica, ReplicatedStateMachine
*/
class ReplicatedGroup {
public:
    /** Times and bounds. */
    struct Options {
        Replica::Options replica;
        /** What this data folder becomes when it turns out to be older than it was. */
        IncarnationId nextIncarnation;
        /** A snapshot is taken once so many entries, or bytes, were applied since the last. */
        std::uint64_t entriesBetweenSnapshots = 1000;
        ByteCount bytesBetweenSnapshots = ByteCount::mebibytes(4);
        /** Between two tries to use a disk that refused writes: at first, doubling up to the longest. */
        Duration initialReopenBackoff = 100ms;
        Duration maximumReopenBackoff = 500ms;
    };

    using Reply = std::function<void(GroupReply)>;
    /** Computes the answer to a read; called on the group's thread. */
    using Read = std::function<ByteString()>;

    /** The state and the clock outlive the group. */
    ReplicatedGroup(KeeperId, std::unique_ptr<KeeperDisk>, Options, const Clock&, ReplicatedStateMachine&, GroupHooks);
    ~ReplicatedGroup();

    /** Restores the state from disk and starts the group's thread. */
    Result<void, AgreementErrorCode> start();
    /** Ends the group's thread after what it is doing; everyone still waiting is answered. */
    void stop();

    //==============================================================================
    void tick();
    void receive(const AgreementMessage&);
    /** Has a command agreed on. */
    void propose(ByteString command, Reply);
    /** Reads the state, current as of this call. */
    void read(Read, Reply);
    /** Changes the membership by one step. */
    Result<LogIndex, AgreementErrorCode> changeMembership(const Membership&);
    /** Gives up the lead, if this replica has it, as before it stops. */
    void stepDown();
    /** Begins the cluster with these members, when it has not begun here. */
    void bootstrap(const Membership&);

    //==============================================================================
    KeeperIdentity identity() const;
    GroupStatus status() const;
    bool isLeader() const;
    /** True while this replica leads and no other can: until its lease ends by the group's clock. */
    bool holdsLease() const;
    /** True when a replica's log is known to hold all that is committed; only at the leader. */
    bool isCaughtUp(const ReplicaId&) const;
    /** True when it has no membership: it waits for the cluster to begin, or to be added. */
    bool isBlank() const;

private:
    struct PendingProposal {
        AgreementTerm term;
        Reply reply;
    };

    struct PendingRead {
        Read read;
        Reply reply;
    };

    /** The leader as its messages tell while this replica takes no part. */
    struct ObservedLeader {
        ReplicaId leader;
        AgreementTerm term;
        Instant lastContact;
    };

    /** Answers that are given once the lock is free. */
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
    /** What was last logged of the leader and its term. */
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
