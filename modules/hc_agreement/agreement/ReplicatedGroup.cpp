#include "hemlockchute/agreement/ReplicatedGroup.h"

#include <algorithm>

namespace hemlockchute {
namespace {

bool isFromLeader(const AgreementBody& body)
{
    return std::holds_alternative<AppendRequest>(body) || std::holds_alternative<SnapshotChunk>(body);
}

} // namespace

ReplicatedGroup::ReplicatedGroup(KeeperId id, std::unique_ptr<KeeperDisk> disk, Options options, const Clock& clock, ReplicatedStateMachine& state, GroupHooks hooks)
    : m_id(id)
    , m_options(options)
    , m_clock(clock)
    , m_state(state)
    , m_hooks(std::move(hooks))
    , m_disk(std::move(disk))
    , m_identity(m_disk->identity())
{
}

ReplicatedGroup::~ReplicatedGroup()
{
    stop();
}

Result<void, AgreementErrorCode> ReplicatedGroup::start()
{
    RecoveredState recovered = m_disk->takeRecovered();
    if (recovered.snapshot) {
        if (auto restored = m_state.restore(recovered.snapshot->state); !restored)
            return failure(AgreementErrorCode::StateUnusable, restored.error().detail);
        m_applied = recovered.snapshot->lastIndex;
        m_compacted = m_applied;
    }
    m_replica = std::make_unique<Replica>(self(), m_options.replica, std::move(recovered), m_clock.now());
    m_thread = std::thread([this] { run(); });
    return {};
}

void ReplicatedGroup::stop()
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
        abandonReads(answers);
    }
    for (auto& [reply, answer] : answers)
        reply(std::move(answer));
}

//==============================================================================
void ReplicatedGroup::tick()
{
    std::lock_guard guard(m_lock);
    if (m_isSuspended)
        return;
    m_replica->tick(m_clock.now());
    m_hasWork = true;
    m_wake.notify_one();
}

void ReplicatedGroup::receive(const AgreementMessage& message)
{
    std::lock_guard guard(m_lock);
    if (m_isSuspended) {
        bool isNewer = !m_observedLeader || message.term >= m_observedLeader->term;
        if (isFromLeader(message.body) && isNewer)
            m_observedLeader = ObservedLeader { message.from, message.term, m_clock.now() };
        return;
    }
    m_replica->receive(message, m_clock.now());
    m_hasWork = true;
    m_wake.notify_one();
}

void ReplicatedGroup::propose(ByteString command, Reply reply)
{
    GroupReply refusal;
    Reply overwritten;
    {
        std::lock_guard guard(m_lock);
        Result<LogIndex, AgreementErrorCode> index = failure(AgreementErrorCode::NotLeader, "the disk refuses writes");
        if (!m_isSuspended)
            index = m_replica->propose(std::move(command), m_clock.now());
        refusal = notLeader();
        if (index) {
            refusal.kind = GroupReply::Kind::Unknown;
            overwritten = std::exchange(m_proposals[*index], { m_replica->term(), std::move(reply) }).reply;
            m_hasWork = true;
            m_wake.notify_one();
        } else
            overwritten = std::move(reply);
    }
    if (overwritten)
        overwritten(std::move(refusal));
}

void ReplicatedGroup::read(Read read, Reply reply)
{
    GroupReply refusal;
    {
        std::lock_guard guard(m_lock);
        if (!m_isSuspended) {
            m_reads[m_nextToken] = { std::move(read), std::move(reply) };
            m_replica->read(m_nextToken++, m_clock.now());
            m_hasWork = true;
            m_wake.notify_one();
            return;
        }
        refusal = notLeader();
    }
    reply(std::move(refusal));
}

Result<LogIndex, AgreementErrorCode> ReplicatedGroup::changeMembership(const Membership& membership)
{
    std::lock_guard guard(m_lock);
    if (m_isSuspended)
        return failure(AgreementErrorCode::NotLeader, "the disk refuses writes");
    auto index = m_replica->changeMembership(membership, m_clock.now());
    m_hasWork = true;
    m_wake.notify_one();
    return index;
}

void ReplicatedGroup::stepDown()
{
    std::lock_guard guard(m_lock);
    if (m_isSuspended)
        return;
    m_replica->stepDown(m_clock.now());
    m_hasWork = true;
    m_wake.notify_one();
}

void ReplicatedGroup::bootstrap(const Membership& membership)
{
    std::lock_guard guard(m_lock);
    if (m_identity.initialMembership)
        return;
    m_pendingBootstrap = membership;
    m_hasWork = true;
    m_wake.notify_one();
}

//==============================================================================
KeeperIdentity ReplicatedGroup::identity() const
{
    std::lock_guard guard(m_lock);
    return m_identity;
}

GroupStatus ReplicatedGroup::status() const
{
    std::lock_guard guard(m_lock);
    GroupStatus status;
    status.self = self();
    status.leader = knownLeader();
    status.isLeader = !m_isSuspended && m_replica->isLeader();
    status.isSuspended = m_isSuspended;
    status.term = m_isSuspended && m_observedLeader ? m_observedLeader->term : m_replica->term();
    status.committed = m_replica->committed();
    status.membership = m_replica->membership();
    status.isMembershipCommitted = !m_replica->isChangingMembership();
    status.matched[status.self] = m_replica->lastIndex();
    for (const auto& [id, index] : m_replica->progress())
        status.matched[id] = index;
    return status;
}

bool ReplicatedGroup::isLeader() const
{
    std::lock_guard guard(m_lock);
    return !m_isSuspended && m_replica->isLeader();
}

bool ReplicatedGroup::holdsLease() const
{
    std::lock_guard guard(m_lock);
    return !m_isSuspended && m_replica->holdsLease(m_clock.now());
}

bool ReplicatedGroup::isStateCurrent() const
{
    std::lock_guard guard(m_lock);
    return !m_isSuspended && m_replica->holdsLease(m_clock.now()) && m_applied >= m_replica->firstIndexOfTerm();
}

bool ReplicatedGroup::isCaughtUp(const ReplicaId& id) const
{
    std::lock_guard guard(m_lock);
    auto progress = m_replica->progress();
    return std::any_of(progress.begin(), progress.end(), [&](const auto& item) { return item.first == id && item.second >= m_replica->committed(); });
}

bool ReplicatedGroup::isUninitialised() const
{
    std::lock_guard guard(m_lock);
    return m_replica->membership() == Membership() && m_replica->lastIndex().isNone();
}

ReplicaId ReplicatedGroup::self() const
{
    return { m_id, m_identity.incarnation };
}

GroupReply ReplicatedGroup::notLeader() const
{
    GroupReply reply;
    if (auto leader = knownLeader(); leader && leader->keeper != m_id)
        reply.leader = leader->keeper;
    return reply;
}

std::optional<ReplicaId> ReplicatedGroup::knownLeader() const
{
    if (!m_isSuspended)
        return m_replica->leader();
    bool isFresh = m_observedLeader && m_clock.now() - m_observedLeader->lastContact < m_options.replica.electionTimeout;
    return isFresh ? std::optional(m_observedLeader->leader) : std::nullopt;
}

} // namespace hemlockchute
