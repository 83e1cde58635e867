#pragma once

#include "hemlockchute/agreement/ReplicatedGroup.h"
#include "hemlockchute/keeper/KeeperOperations.h"
#include "hemlockchute/state/StateMachine.h"

#include <functional>
#include <mutex>

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
    One group of the agreement on this keeper: the document, the terms, the permits and the run
    records as the state of a ReplicatedGroup.

    Thread safety: every method may be called from any thread. Answers come on the group's thread.

    @see ReplicatedGroup, StateMachine
*/
class AgreementGroup : private ReplicatedStateMachine {
public:
    /** Times and bounds. */
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
    /** Ends the group's thread after what it is doing; everyone still waiting is answered Unknown. */
    void stop() { m_group.stop(); }

    //==============================================================================
    void tick() { m_group.tick(); }
    void receive(const AgreementMessage& message) { m_group.receive(message); }
    /** Has a command agreed on; its time is set here. */
    void propose(Command, Reply);
    /** Reads the run record of a key, current as of this call. */
    void readRun(IdempotencyKey, Reply);
    /** Changes the membership by one step. */
    Result<LogIndex, AgreementErrorCode> changeMembership(const Membership& membership) { return m_group.changeMembership(membership); }
    /** Begins the cluster with these members, when it has not begun here. */
    void bootstrap(const Membership& membership) { m_group.bootstrap(membership); }

    //==============================================================================
    KeeperIdentity identity() const { return m_group.identity(); }
    Membership membership() const { return m_group.status().membership; }
    bool isLeader() const { return m_group.isLeader(); }
    /** True when the latest membership in the log is committed. */
    bool isMembershipCommitted() const { return m_group.status().isMembershipCommitted; }
    /** True when a replica's log is known to hold all that is committed; only at the leader. */
    bool isCaughtUp(const ReplicaId& id) const { return m_group.isCaughtUp(id); }
    /** This keeper's own view, without the versions at other hosts. */
    SystemStatus status() const;
    /** True when it has no membership: it waits for the cluster to begin, or to be added. */
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
