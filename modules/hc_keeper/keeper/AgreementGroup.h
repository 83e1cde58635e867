#pragma once

#include "hemlockchute/agreement/Replica.h"
#include "hemlockchute/core/Clock.h"
#include "hemlockchute/keeper/KeeperOperations.h"
#include "hemlockchute/state/StateMachine.h"
#include "keeper/KeeperDisk.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace hemlockchute {

/** What an agreement group asks of the keeper around it. Called without the group's lock. */
struct AgreementGroupHooks {
    /** Sends a message to another keeper, or loses it. */
    std::function<void(const AgreementMessage&)> send;
    /** Takes a document that came into force. */
    std::function<void(DocumentPointer)> documentChanged;
    /** The group cannot go on; must not return. */
    std::function<void(EventId, const std::string& reason)> fail;
};

//==============================================================================
/**
    One group of the agreement on this keeper: replica, disk and state machine under one lock.

    A thread of the group's own carries out the replica's effects, so that nobody else waits for
    the disk: it writes all that has come together with one sync, sends, applies and answers.
    Thread safety: every method may be called from any thread. Answers come on the group's thread.

    @see Replica, StateMachine
*/
class AgreementGroup {
public:
    /** Times and bounds. */
    struct Options {
        Replica::Options replica;
        /** What this data folder becomes when it turns out to be older than it was. */
        IncarnationId nextIncarnation;
        StateMachine::Options state;
        /** A snapshot is taken once so many entries, or bytes, were applied since the last. */
        std::uint64_t entriesBetweenSnapshots = 1000;
        ByteCount bytesBetweenSnapshots = ByteCount::mebibytes(4);

        Options withReplica(Replica::Options) const;
        Options withNextIncarnation(IncarnationId) const;
        Options withEntriesBetweenSnapshots(std::uint64_t) const;
    };

    using Reply = std::function<void(KeeperReply)>;

    AgreementGroup(KeeperId, std::unique_ptr<KeeperDisk>, Options, const Clock&, AgreementGroupHooks);
    ~AgreementGroup();

    /** Restores the state from disk and starts the group's thread. */
    Result<void, AgreementErrorCode> start();
    /** Ends the group's thread after what it is doing; everyone still waiting is answered Unknown. */
    void stop();

    //==============================================================================
    void tick();
    void receive(const AgreementMessage&);
    /** Has a command agreed on; its time is set here. */
    void propose(Command, Reply);
    /** Reads the run record of a key, current as of this call. */
    void readRun(IdempotencyKey, Reply);
    /** Changes the membership by one step. */
    Result<LogIndex, AgreementErrorCode> changeMembership(const Membership&);
    /** Begins the cluster with these members, when it has not begun here. */
    void begin(const Membership&);

    //==============================================================================
    KeeperIdentity identity() const;
    Membership membership() const;
    bool isLeader() const;
    /** True when the latest membership in the log is committed. */
    bool isMembershipSettled() const;
    /** True when a replica's log is known to hold all that is committed; only at the leader. */
    bool isCaughtUp(const ReplicaId&) const;
    /** This keeper's own view, without the versions at other hosts. */
    SystemStatus status() const;
    /** True when it has no membership: it waits for the cluster to begin, or to be added. */
    bool isBlank() const;

private:
    struct PendingProposal {
        AgreementTerm term;
        Reply reply;
    };

    struct PendingRead {
        IdempotencyKey key;
        Reply reply;
    };

    /** An answer that is given once the lock is free. */
    using Answers = std::vector<std::pair<Reply, KeeperReply>>;

    void run();
    void carryOut(const Effects&);
    void applyAll(const Effects&, Answers&);
    void apply(const LogEntry&, Answers&);
    void install(const ReplicaSnapshot&, Answers&);
    void answerReads(const Effects&, Answers&);
    void abandonProposals(Answers&);
    void retire();
    void compactIfDue();
    void noteLeadership();
    KeeperReply notLeader() const;
    ReplicaId self() const;

    KeeperId m_id;
    Options m_options;
    const Clock& m_clock;
    AgreementGroupHooks m_hooks;
    /** Used on the group's thread only, after start(). */
    std::unique_ptr<KeeperDisk> m_disk;

    mutable std::mutex m_lock;
    std::condition_variable m_wake;
    KeeperIdentity m_identity;
    std::optional<Membership> m_toBegin;
    std::unique_ptr<Replica> m_replica;
    StateMachine m_state;
    LogIndex m_applied;
    LogIndex m_compacted;
    ByteCount m_appliedBytes;
    DocumentVersion m_offered;
    bool m_wasLeader = false;
    std::uint64_t m_nextToken = 1;
    std::map<LogIndex, PendingProposal> m_proposals;
    std::map<std::uint64_t, PendingRead> m_reads;
    bool m_hasWork = true;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace hemlockchute
