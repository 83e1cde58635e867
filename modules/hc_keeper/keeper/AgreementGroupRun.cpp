#include "hemlockchute/core/EventLog.h"
#include "keeper/AgreementGroup.h"

namespace hemlockchute {

/** The group's thread: one round of effects after the other. */
void AgreementGroup::run()
{
    std::unique_lock guard(m_lock);
    while (!m_isStopping) {
        m_wake.wait(guard, [this] { return m_hasWork || m_isStopping; });
        m_hasWork = false;
        Effects effects = m_replica->takeEffects();
        std::optional<Membership> toBegin = std::exchange(m_toBegin, std::nullopt);
        if (effects.isEmpty() && !toBegin)
            continue;
        guard.unlock();
        if (toBegin) {
            if (auto begun = m_disk->begin(*toBegin); !begun)
                m_hooks.fail(EventId::KeeperStorageFailed, begun.error().detail);
        }
        carryOut(effects);
        guard.lock();
        if (toBegin) {
            m_identity = m_disk->identity();
            m_replica->begin(*toBegin);
        }
        m_hasWork = true;
    }
}

/** Persist, send, apply, answer: in this order. */
void AgreementGroup::carryOut(const Effects& effects)
{
    if (effects.isOutdated)
        retire();
    if (effects.needsSync()) {
        if (auto stored = m_disk->store(effects); !stored)
            m_hooks.fail(EventId::KeeperStorageFailed, stored.error().detail);
    }
    for (const AgreementMessage& message : effects.messages)
        m_hooks.send(message);
    Answers answers;
    DocumentPointer document;
    {
        std::lock_guard guard(m_lock);
        applyAll(effects, answers);
        answerReads(effects, answers);
        m_replica->persisted(m_clock.now());
        noteLeadership();
        if (!m_replica->isLeader())
            abandonProposals(answers);
        if (m_state.document()->version > m_offered)
            document = m_state.document();
    }
    if (document) {
        m_offered = document->version;
        m_hooks.documentChanged(document);
    }
    for (auto& [reply, answer] : answers)
        reply(std::move(answer));
    compactIfDue();
}

//==============================================================================
void AgreementGroup::applyAll(const Effects& effects, Answers& answers)
{
    if (effects.install)
        install(*effects.install, answers);
    for (const LogEntry& entry : effects.committed)
        apply(entry, answers);
}

void AgreementGroup::apply(const LogEntry& entry, Answers& answers)
{
    if (entry.index <= m_applied)
        return;
    m_applied = entry.index;
    m_appliedBytes += ByteCount(entry.payload.size());
    if (entry.kind != LogEntry::Kind::Command)
        return;
    auto command = decodeCommand(entry.payload);
    if (!command)
        m_hooks.fail(EventId::KeeperEntryUnreadable, "entry " + std::to_string(entry.index.value()) + ": " + command.error().detail);
    Answer answer = m_state.apply(entry.index, *command);
    auto pending = m_proposals.find(entry.index);
    if (pending == m_proposals.end())
        return;
    KeeperReply reply;
    bool isOurs = pending->second.term == entry.term;
    reply.kind = isOurs ? KeeperReply::Kind::Answered : KeeperReply::Kind::Unknown;
    if (isOurs)
        reply.answer = encodeAnswer(answer);
    answers.emplace_back(std::move(pending->second.reply), std::move(reply));
    m_proposals.erase(pending);
}

void AgreementGroup::install(const ReplicaSnapshot& snapshot, Answers& answers)
{
    auto state = StateMachine::restore(snapshot.state, m_options.state);
    if (!state)
        m_hooks.fail(EventId::KeeperEntryUnreadable, "snapshot " + std::to_string(snapshot.lastIndex.value()) + ": " + state.error().detail);
    m_state = std::move(*state);
    m_applied = snapshot.lastIndex;
    m_compacted = snapshot.lastIndex;
    m_appliedBytes = {};
    abandonProposals(answers);
    logEvent(EventId::KeeperInstalled, { { "index", snapshot.lastIndex } });
}

void AgreementGroup::answerReads(const Effects& effects, Answers& answers)
{
    auto take = [&](std::uint64_t token, KeeperReply answer) {
        auto read = m_reads.find(token);
        if (read == m_reads.end())
            return;
        answers.emplace_back(std::move(read->second.reply), std::move(answer));
        m_reads.erase(read);
    };
    for (std::uint64_t token : effects.readsReady) {
        auto read = m_reads.find(token);
        if (read != m_reads.end())
            take(token, { KeeperReply::Kind::Answered, {}, encodeAnswer(m_state.run(read->second.key)) });
    }
    for (std::uint64_t token : effects.readsFailed)
        take(token, notLeader());
}

/** A former leader cannot know which of its proposals will be agreed on. */
void AgreementGroup::abandonProposals(Answers& answers)
{
    for (auto& [index, proposal] : m_proposals) {
        KeeperReply reply = notLeader();
        reply.kind = KeeperReply::Kind::Unknown;
        answers.emplace_back(std::move(proposal.reply), std::move(reply));
    }
    m_proposals.clear();
}

/** A data folder that lacks what was acknowledged must not vote as its former self. */
void AgreementGroup::retire()
{
    if (auto renewed = m_disk->renew(m_options.nextIncarnation); !renewed)
        m_hooks.fail(EventId::KeeperStorageFailed, renewed.error().detail);
    m_hooks.fail(EventId::KeeperFolderOutdated, "the leader knows of entries that this folder acknowledged and does not hold");
}

void AgreementGroup::compactIfDue()
{
    std::optional<ReplicaSnapshot> snapshot;
    {
        std::lock_guard guard(m_lock);
        bool isDue = m_applied.value() >= m_compacted.value() + m_options.entriesBetweenSnapshots || m_appliedBytes >= m_options.bytesBetweenSnapshots;
        if (!isDue)
            return;
        snapshot = m_replica->compact(m_applied, m_state.snapshot());
        if (!snapshot)
            return;
        m_compacted = m_applied;
        m_appliedBytes = {};
    }
    if (auto stored = m_disk->compact(*snapshot); !stored)
        m_hooks.fail(EventId::KeeperStorageFailed, stored.error().detail);
    logEvent(EventId::KeeperCompacted, { { "index", snapshot->lastIndex } });
}

void AgreementGroup::noteLeadership()
{
    bool leads = m_replica->isLeader();
    if (leads == std::exchange(m_wasLeader, leads))
        return;
    logEvent(leads ? EventId::KeeperLeads : EventId::KeeperFollows, { { "term", m_replica->term() } });
}

} // namespace hemlockchute
