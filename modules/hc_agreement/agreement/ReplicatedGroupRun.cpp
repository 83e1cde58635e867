#include "hemlockchute/agreement/ReplicatedGroup.h"
#include "hemlockchute/core/EventLog.h"

#include <algorithm>

namespace hemlockchute {

/** The main loop of the group's thread: one batch of effects per iteration. */
void ReplicatedGroup::run()
{
    std::unique_lock guard(m_lock);
    while (!m_isStopping) {
        m_wake.wait(guard, [this] { return m_hasWork || m_isSuspended || m_isStopping; });
        if (m_isSuspended) {
            tryToResume(guard);
            continue;
        }
        m_hasWork = false;
        Effects effects = m_replica->takeEffects();
        std::optional<Membership> pendingBootstrap = std::exchange(m_pendingBootstrap, std::nullopt);
        if (effects.isEmpty() && !pendingBootstrap)
            continue;
        guard.unlock();
        if (pendingBootstrap) {
            if (auto stored = m_disk->bootstrap(*pendingBootstrap); !stored)
                m_hooks.fail(EventId::KeeperStorageFailed, stored.error().detail);
        }
        carryOut(effects);
        guard.lock();
        if (pendingBootstrap) {
            m_identity = m_disk->identity();
            m_replica->bootstrap(*pendingBootstrap);
        }
        m_hasWork = true;
    }
}

/** Persists, sends, applies and answers, in this order. */
void ReplicatedGroup::carryOut(const Effects& effects)
{
    if (effects.isOutdated)
        retireIncarnation();
    if (effects.needsSync()) {
        if (auto stored = m_disk->store(effects); !stored) {
            suspend(stored.error());
            return;
        }
    }
    for (const AgreementMessage& message : effects.messages)
        m_hooks.send(message);
    Answers answers;
    bool hasAdvanced = false;
    {
        std::lock_guard guard(m_lock);
        hasAdvanced = applyAll(effects, answers);
        answerReads(effects, answers);
        m_replica->persisted(m_clock.now());
        logRoleChange();
        if (!m_replica->isLeader())
            abandonProposals(answers);
    }
    if (hasAdvanced)
        m_hooks.stateAdvanced();
    for (auto& [reply, answer] : answers)
        reply(std::move(answer));
    compactIfDue();
}

//==============================================================================
bool ReplicatedGroup::applyAll(const Effects& effects, Answers& answers)
{
    if (effects.install)
        install(*effects.install, answers);
    for (const LogEntry& entry : effects.committed)
        apply(entry, answers);
    return effects.install || !effects.committed.empty();
}

void ReplicatedGroup::apply(const LogEntry& entry, Answers& answers)
{
    if (entry.index <= m_applied)
        return;
    m_applied = entry.index;
    m_bytesSinceSnapshot += ByteCount(entry.payload.size());
    if (entry.kind != LogEntry::Kind::Command)
        return;
    auto answer = m_state.apply(entry);
    if (!answer)
        m_hooks.fail(EventId::KeeperEntryUnreadable, "entry " + std::to_string(entry.index.value()) + ": " + answer.error().detail);
    auto pending = m_proposals.find(entry.index);
    if (pending == m_proposals.end())
        return;
    GroupReply reply;
    bool isOurs = pending->second.term == entry.term;
    reply.kind = isOurs ? GroupReply::Kind::Answered : GroupReply::Kind::Unknown;
    if (isOurs)
        reply.answer = std::move(*answer);
    answers.emplace_back(std::move(pending->second.reply), std::move(reply));
    m_proposals.erase(pending);
}

void ReplicatedGroup::install(const ReplicaSnapshot& snapshot, Answers& answers)
{
    if (auto restored = m_state.restore(snapshot.state); !restored)
        m_hooks.fail(EventId::KeeperEntryUnreadable, "snapshot " + std::to_string(snapshot.lastIndex.value()) + ": " + restored.error().detail);
    m_applied = snapshot.lastIndex;
    m_compacted = snapshot.lastIndex;
    m_bytesSinceSnapshot = {};
    abandonProposals(answers);
    logEvent(EventId::KeeperInstalled, { { "index", snapshot.lastIndex } });
}

void ReplicatedGroup::answerReads(const Effects& effects, Answers& answers)
{
    for (std::uint64_t token : effects.readsReady) {
        auto read = m_reads.extract(token);
        if (!read.empty())
            answers.emplace_back(std::move(read.mapped().reply), GroupReply { GroupReply::Kind::Answered, {}, read.mapped().read() });
    }
    for (std::uint64_t token : effects.readsFailed) {
        auto read = m_reads.extract(token);
        if (!read.empty())
            answers.emplace_back(std::move(read.mapped().reply), notLeader());
    }
}

/** A former leader cannot know which of its proposals will commit. */
void ReplicatedGroup::abandonProposals(Answers& answers)
{
    for (auto& [index, proposal] : m_proposals) {
        GroupReply reply = notLeader();
        reply.kind = GroupReply::Kind::Unknown;
        answers.emplace_back(std::move(proposal.reply), std::move(reply));
    }
    m_proposals.clear();
}

void ReplicatedGroup::abandonReads(Answers& answers)
{
    for (auto& [token, read] : m_reads)
        answers.emplace_back(std::move(read.reply), notLeader());
    m_reads.clear();
}

//==============================================================================
// Suspension after storage errors

/** Nothing of the failed batch has been sent or applied, and nothing will be until the folder has been reopened. */
void ReplicatedGroup::suspend(const Error<StorageErrorCode>& error)
{
    bool mayResume = m_hooks.reopen && error.code != StorageErrorCode::Damaged;
    if (!mayResume)
        m_hooks.fail(EventId::KeeperStorageFailed, error.detail);
    m_disk.reset();
    Answers answers;
    std::vector<AgreementMessage> announcements;
    {
        std::lock_guard guard(m_lock);
        m_replica->takeEffects();
        m_replica->stepDown(m_clock.now());
        announcements = m_replica->takeEffects().messages;
        m_isSuspended = true;
        m_observedLeader.reset();
        m_reopenBackoff = m_options.initialReopenBackoff;
        abandonProposals(answers);
        abandonReads(answers);
    }
    for (const AgreementMessage& message : announcements)
        m_hooks.send(message);
    logEvent(EventId::KeeperSuspended, { { "reason", error.detail } });
    for (auto& [reply, answer] : answers)
        reply(std::move(answer));
}

/** Precondition: the lock is held; it is released while waiting and while opening the folder. */
void ReplicatedGroup::tryToResume(std::unique_lock<std::mutex>& guard)
{
    if (m_wake.wait_for(guard, m_reopenBackoff, [this] { return m_isStopping; }))
        return;
    m_reopenBackoff = std::min(2 * m_reopenBackoff, m_options.maximumReopenBackoff);
    guard.unlock();
    auto disk = m_hooks.reopen();
    StorageResult<void> usable = disk ? (*disk)->probe() : StorageResult<void>(tl::unexpected(disk.error()));
    if (!usable && usable.error().code == StorageErrorCode::Damaged)
        m_hooks.fail(EventId::KeeperStorageFailed, usable.error().detail);
    if (usable && (*disk)->identity().incarnation != m_identity.incarnation)
        m_hooks.fail(EventId::KeeperFolderOutdated, "the data folder belongs to another incarnation of this host");
    guard.lock();
    if (usable)
        resume(std::move(*disk));
}

/** Continues as after a restart, but keeps the applied state. Precondition: the lock is held. */
void ReplicatedGroup::resume(std::unique_ptr<KeeperDisk> disk)
{
    RecoveredState recovered = disk->takeRecovered();
    bool isStateOlder = recovered.snapshot && recovered.snapshot->lastIndex > m_applied;
    if (isStateOlder) {
        if (auto restored = m_state.restore(recovered.snapshot->state); !restored)
            m_hooks.fail(EventId::KeeperEntryUnreadable, "snapshot " + std::to_string(recovered.snapshot->lastIndex.value()) + ": " + restored.error().detail);
        m_applied = recovered.snapshot->lastIndex;
    }
    if (recovered.snapshot)
        m_compacted = std::max(m_compacted, recovered.snapshot->lastIndex);
    m_disk = std::move(disk);
    m_replica = std::make_unique<Replica>(self(), m_options.replica, std::move(recovered), m_clock.now());
    m_isSuspended = false;
    m_hasWork = true;
    logEvent(EventId::KeeperResumed, { { "applied", m_applied }, { "last", m_replica->lastIndex() }, { "term", m_replica->term() } });
}

//==============================================================================
/** A data folder that lacks acknowledged entries must not vote under its former incarnation. */
void ReplicatedGroup::retireIncarnation()
{
    if (auto renewed = m_disk->replaceIncarnation(m_options.nextIncarnation); !renewed)
        m_hooks.fail(EventId::KeeperStorageFailed, renewed.error().detail);
    m_hooks.fail(EventId::KeeperFolderOutdated, "the data folder lacks entries that this replica has acknowledged to the leader");
}

void ReplicatedGroup::compactIfDue()
{
    std::optional<ReplicaSnapshot> snapshot;
    {
        std::lock_guard guard(m_lock);
        bool isDue = m_applied.value() >= m_compacted.value() + m_options.entriesBetweenSnapshots || m_bytesSinceSnapshot >= m_options.bytesBetweenSnapshots;
        if (!isDue)
            return;
        snapshot = m_replica->compact(m_applied, m_state.snapshot());
        if (!snapshot)
            return;
        m_compacted = m_applied;
        m_bytesSinceSnapshot = {};
    }
    if (auto stored = m_disk->compact(*snapshot); !stored) {
        suspend(stored.error());
        return;
    }
    logEvent(EventId::KeeperCompacted, { { "index", snapshot->lastIndex } });
}

void ReplicatedGroup::logLeaderChange()
{
    std::optional<ReplicaId> leader = m_replica->leader();
    AgreementTerm term = m_replica->term();
    if (leader == m_loggedLeader && term == m_loggedTerm)
        return;
    m_loggedLeader = leader;
    m_loggedTerm = term;
    logEvent(EventId::KeeperSeesLeader, { { "term", term }, { "leader", leader ? leader->keeper : KeeperId() }, { "committed", m_replica->committed() }, { "last", m_replica->lastIndex() } });
}

void ReplicatedGroup::logRoleChange()
{
    logLeaderChange();
    bool leads = m_replica->isLeader();
    if (leads == std::exchange(m_wasLeader, leads))
        return;
    logEvent(leads ? EventId::KeeperLeads : EventId::KeeperFollows, { { "term", m_replica->term() } });
}

} // namespace hemlockchute
