#include "hemlockchute/agreement/ReplicatedGroup.h"

#include <algorithm>

namespace hemlockchute {

ReplicatedGroup::ReplicatedGroup(KeeperId id, std::unique_ptr<KeeperDisk> disk, Options options, const Clock& clock, AgreedState& state, GroupHooks hooks)
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
        for (auto& [token, read] : m_reads)
            answers.emplace_back(std::move(read.reply), notLeader());
        m_reads.clear();
    }
    for (auto& [reply, answer] : answers)
        reply(std::move(answer));
}

//==============================================================================
void ReplicatedGroup::tick()
{
    std::lock_guard guard(m_lock);
    m_replica->tick(m_clock.now());
    m_hasWork = true;
    m_wake.notify_one();
}

void ReplicatedGroup::receive(const AgreementMessage& message)
{
    std::lock_guard guard(m_lock);
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
        auto index = m_replica->propose(std::move(command), m_clock.now());
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
    std::lock_guard guard(m_lock);
    m_reads[m_nextToken] = { std::move(read), std::move(reply) };
    m_replica->read(m_nextToken++, m_clock.now());
    m_hasWork = true;
    m_wake.notify_one();
}

Result<LogIndex, AgreementErrorCode> ReplicatedGroup::changeMembership(const Membership& membership)
{
    std::lock_guard guard(m_lock);
    auto index = m_replica->changeMembership(membership, m_clock.now());
    m_hasWork = true;
    m_wake.notify_one();
    return index;
}

void ReplicatedGroup::begin(const Membership& membership)
{
    std::lock_guard guard(m_lock);
    if (m_identity.initialMembership)
        return;
    m_toBegin = membership;
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
    status.leader = m_replica->leader();
    status.isLeader = m_replica->isLeader();
    status.term = m_replica->term();
    status.committed = m_replica->committed();
    status.membership = m_replica->membership();
    status.isMembershipSettled = !m_replica->isChangingMembership();
    status.matched[status.self] = m_replica->lastIndex();
    for (const auto& [id, index] : m_replica->progress())
        status.matched[id] = index;
    return status;
}

bool ReplicatedGroup::isLeader() const
{
    std::lock_guard guard(m_lock);
    return m_replica->isLeader();
}

bool ReplicatedGroup::holdsLease() const
{
    std::lock_guard guard(m_lock);
    return m_replica->holdsLease(m_clock.now());
}

bool ReplicatedGroup::isCaughtUp(const ReplicaId& id) const
{
    std::lock_guard guard(m_lock);
    auto progress = m_replica->progress();
    return std::any_of(progress.begin(), progress.end(), [&](const auto& item) { return item.first == id && item.second >= m_replica->committed(); });
}

bool ReplicatedGroup::isBlank() const
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
    if (auto leader = m_replica->leader(); leader && leader->keeper != m_id)
        reply.leader = leader->keeper;
    return reply;
}

} // namespace hemlockchute
