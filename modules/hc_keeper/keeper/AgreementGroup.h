#pragma once

#include "hemlockchute/agreement/ReplicatedGroup.h"
#include "hemlockchute/keeper/KeeperOperations.h"
#include "hemlockchute/state/StateMachine.h"

#include <functional>
#include <mutex>

namespace hemlockchute {

/** Callbacks of an AgreementGroup to its keeper. They are called without the group's lock. */
struct AgreementGroupHooks {
    /** Sends a message to another keeper; delivery is not guaranteed. */
    std::function<void(const AgreementMessage&)> send;
    /** Receives each document that comes into force. */
    std::function<void(DocumentPointer)> documentChanged;
    /** Reports a fatal error of the group; must not return. */
    std::function<void(EventId, const std::string& reason)> fail;
};

//==============================================================================
/**
    This keeper's replica of the Raft group that holds the document, the terms, the permits and the
    run records. Applies committed commands to a StateMachine.

    Thread safety: every method may be called from any thread. Replies arrive on the group's thread.

    @see ReplicatedGroup, StateMachine
*/
class AgreementGroup : private ReplicatedStateMachine {
public:
    /** Time-outs and limits. */
    struct Options {
        ReplicatedGroup::Options group;
        StateMachine::Options state;

        Options withReplica(Replica::Options) const;
        Options withNextIncarnation(IncarnationId) const;
        Options withEntriesBetweenSnapshots(std::uint64_t) const;
    };

    using Reply = std::function<void(KeeperReply)>;

    AgreementGroup(KeeperId, std::unique_ptr<KeeperDisk>, Options, const Clock&, AgreementGroupHooks);
    ~AgreementGroup() override;

    /** Restores the state from disk and starts the group's thread. */
    Result<void, AgreementErrorCode> start();
    /** Stops the group's thread after its current operation; pending requests are answered Unknown. */
    void stop() { m_group.stop(); }

    //==============================================================================
    void tick() { m_group.tick(); }
    void receive(const AgreementMessage& message) { m_group.receive(message); }
    /** Replicates a command; sets its time. */
    void propose(Command, Reply);
    /** Linearizable read of the run record of a key. */
    void readRun(IdempotencyKey, Reply);
    /** Proposes a membership that differs from the current one by one member. */
    Result<LogIndex, AgreementErrorCode> changeMembership(const Membership& membership) { return m_group.changeMembership(membership); }
    /** Starts the cluster with these members, unless this keeper already has a membership. */
    void bootstrap(const Membership& membership) { m_group.bootstrap(membership); }

    //==============================================================================
    KeeperIdentity identity() const { return m_group.identity(); }
    Membership membership() const { return m_group.status().membership; }
    bool isLeader() const { return m_group.isLeader(); }
    /** True when the latest membership in the log is committed. */
    bool isMembershipCommitted() const { return m_group.status().isMembershipCommitted; }
    /** True when a replica's log is known to hold every committed entry; only at the leader. */
    bool isCaughtUp(const ReplicaId& id) const { return m_group.isCaughtUp(id); }
    /** The status as this keeper knows it, without the document versions at other hosts. */
    SystemStatus status() const;
    /** True when it has no membership: it waits for the cluster bootstrap, or to be added. */
    bool isUninitialised() const { return m_group.isUninitialised(); }

private:
    Result<void, AgreementErrorCode> restore(std::string_view snapshot) override;
    ByteString snapshot() const override;
    Result<ByteString, AgreementErrorCode> apply(const LogEntry&) override;
    void offerDocument();

    Options m_options;
    const Clock& m_clock;
    AgreementGroupHooks m_hooks;
    mutable std::mutex m_stateLock;
    StateMachine m_state;
    /** Used on the group's thread only, after start(). */
    DocumentVersion m_offeredVersion;
    ReplicatedGroup m_group;
};

} // namespace hemlockchute
