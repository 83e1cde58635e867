#include "keeper/AgreementGroup.h"

#include "hemlockchute/core/EventLog.h"

#include <algorithm>

namespace hemlockchute {

AgreementGroup::Options AgreementGroup::Options::withReplica(Replica::Options value) const
{
    Options copy = *this;
    copy.replica = value;
    return copy;
}

AgreementGroup::Options AgreementGroup::Options::withNextIncarnation(IncarnationId value) const
{
    Options copy = *this;
    copy.nextIncarnation = value;
    return copy;
}

AgreementGroup::Options AgreementGroup::Options::withEntriesBetweenSnapshots(std::uint64_t value) const
{
    Options copy = *this;
    copy.entriesBetweenSnapshots = value;
    return copy;
}

//==============================================================================
AgreementGroup::AgreementGroup(KeeperId id, std::unique_ptr<KeeperDisk> disk, Options options, const Clock& clock, AgreementGroupHooks hooks)
    : m_id(id)
    , m_options(options)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_disk(std::move(disk))
    , m_identity(m_disk->identity())
    , m_state(options.state)
{
}

AgreementGroup::~AgreementGroup()
{
    stop();
}

Result<void, AgreementErrorCode> AgreementGroup::start()
{
    RecoveredState recovered = m_disk->takeRecovered();
    if (recovered.snapshot) {
        auto state = StateMachine::restore(recovered.snapshot->state, m_options.state);
        if (!state)
            return failureBecause(AgreementErrorCode::StateUnusable, state.error());
        m_state = std::move(*state);
        m_applied = recovered.snapshot->lastIndex;
        m_compacted = m_applied;
    }
    m_replica = std::make_unique<Replica>(self(), m_options.replica, std::move(recovered), m_clock.now());
    m_hooks.documentChanged(m_state.document());
    m_thread = std::thread([this] { run(); });
    return {};
}

void AgreementGroup::stop()
{
    {
        std::lock_guard guard(m_lock);
        m_isStopping = true;
        m_wake.notify_all();
    }
    if (m_thread.joinable())
        m_thread.join();
    Answers answers;
    {
        std::lock_guard guard(m_lock);
        abandonProposals(answers);
        for (auto& [token, read] : m_reads)
            answers.emplace_back(std::move(read.reply), notLeader());
        m_reads.clear();
    }
    for (auto& [reply, answer] : answers)
        reply(std::move(answer));
}

//==============================================================================
void AgreementGroup::tick()
{
    std::lock_guard guard(m_lock);
    m_replica->tick(m_clock.now());
    m_hasWork = true;
    m_wake.notify_one();
}

void AgreementGroup::receive(const AgreementMessage& message)
{
    std::lock_guard guard(m_lock);
    m_replica->receive(message, m_clock.now());
    m_hasWork = true;
    m_wake.notify_one();
}

void AgreementGroup::propose(Command command, Reply reply)
{
    KeeperReply refusal;
    Reply overwritten;
    {
        std::lock_guard guard(m_lock);
        command.time = m_clock.wallTime();
        auto index = m_replica->propose(encodeCommand(command), m_clock.now());
        refusal = notLeader();
        if (index) {
            refusal.kind = KeeperReply::Kind::Unknown;
            overwritten = std::exchange(m_proposals[*index], { m_replica->term(), std::move(reply) }).reply;
            m_hasWork = true;
            m_wake.notify_one();
        } else
            overwritten = std::move(reply);
    }
    if (overwritten)
        overwritten(std::move(refusal));
}

void AgreementGroup::readRun(IdempotencyKey key, Reply reply)
{
    std::lock_guard guard(m_lock);
    m_reads[m_nextToken] = { std::move(key), std::move(reply) };
    m_replica->read(m_nextToken++, m_clock.now());
    m_hasWork = true;
    m_wake.notify_one();
}

Result<LogIndex, AgreementErrorCode> AgreementGroup::changeMembership(const Membership& membership)
{
    std::lock_guard guard(m_lock);
    auto index = m_replica->changeMembership(membership, m_clock.now());
    m_hasWork = true;
    m_wake.notify_one();
    return index;
}

void AgreementGroup::begin(const Membership& membership)
{
    std::lock_guard guard(m_lock);
    if (m_identity.initialMembership)
        return;
    m_toBegin = membership;
    m_hasWork = true;
    m_wake.notify_one();
}

//==============================================================================
KeeperIdentity AgreementGroup::identity() const
{
    std::lock_guard guard(m_lock);
    return m_identity;
}

Membership AgreementGroup::membership() const
{
    std::lock_guard guard(m_lock);
    return m_replica->membership();
}

bool AgreementGroup::isLeader() const
{
    std::lock_guard guard(m_lock);
    return m_replica->isLeader();
}

bool AgreementGroup::isMembershipSettled() const
{
    std::lock_guard guard(m_lock);
    return !m_replica->isChangingMembership();
}

bool AgreementGroup::isCaughtUp(const ReplicaId& id) const
{
    std::lock_guard guard(m_lock);
    auto progress = m_replica->progress();
    return std::any_of(progress.begin(), progress.end(), [&](const auto& item) { return item.first == id && item.second >= m_replica->committed(); });
}

bool AgreementGroup::isBlank() const
{
    std::lock_guard guard(m_lock);
    return m_replica->membership() == Membership() && m_replica->lastIndex().isNone();
}

SystemStatus AgreementGroup::status() const
{
    std::lock_guard guard(m_lock);
    SystemStatus status;
    status.self = m_id;
    if (auto leader = m_replica->leader())
        status.leader = leader->keeper;
    status.term = m_replica->term();
    status.committed = m_replica->committed();
    status.version = m_state.document()->version;
    std::map<ReplicaId, LogIndex> matched { { self(), m_replica->lastIndex() } };
    for (const auto& [id, index] : m_replica->progress())
        matched[id] = index;
    const Membership& membership = m_replica->membership();
    for (const ReplicaId& id : membership.voters)
        status.keepers.push_back({ id.keeper, id.incarnation, true, matched[id] });
    for (const ReplicaId& id : membership.learners)
        status.keepers.push_back({ id.keeper, id.incarnation, false, matched[id] });
    for (const auto& [name, spec] : m_state.document()->dataCentres)
        status.terms[name] = m_state.term(name);
    return status;
}

ReplicaId AgreementGroup::self() const
{
    return { m_id, m_identity.incarnation };
}

KeeperReply AgreementGroup::notLeader() const
{
    KeeperReply reply;
    reply.kind = KeeperReply::Kind::NotLeader;
    if (auto leader = m_replica->leader(); leader && leader->keeper != m_id)
        reply.leader = leader->keeper;
    return reply;
}

} // namespace hemlockchute
