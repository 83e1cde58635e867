#include "hemlockchute/agreement/Replica.h"

#include "agreement/ReplicaCore.h"

#include <cassert>

namespace hemlockchute {

bool Effects::isEmpty() const
{
    return !needsSync() && messages.empty() && committed.empty() && !isOutdated && readsReady.empty() && readsFailed.empty();
}

bool Effects::needsSync() const
{
    return hardState || truncateFrom || install || !append.empty();
}

//==============================================================================
Replica::Options Replica::Options::withHeartbeatInterval(Duration value) const
{
    Options copy = *this;
    copy.heartbeatInterval = value;
    return copy;
}

Replica::Options Replica::Options::withElectionTimeout(Duration value) const
{
    Options copy = *this;
    copy.electionTimeout = value;
    return copy;
}

Replica::Options Replica::Options::withSeed(std::uint64_t value) const
{
    Options copy = *this;
    copy.seed = value;
    return copy;
}

Replica::Options Replica::Options::withSnapshotChunkBytes(std::size_t value) const
{
    Options copy = *this;
    copy.snapshotChunkBytes = value;
    return copy;
}

Replica::Options Replica::Options::withMaximumEntriesPerMessage(std::size_t value) const
{
    Options copy = *this;
    copy.maximumEntriesPerMessage = value;
    return copy;
}

//==============================================================================
Replica::Replica(ReplicaId self, Options options, RecoveredState recovered, Instant now)
    : m_impl(std::make_unique<Impl>(self, options, std::move(recovered), now))
{
}

Replica::~Replica() = default;
Replica::Replica(Replica&&) noexcept = default;

void Replica::bootstrap(const Membership& initial)
{
    m_impl->log.bootstrap(initial);
}

void Replica::tick(Instant now)
{
    m_impl->now = std::max(m_impl->now, now);
    m_impl->tick();
}

void Replica::receive(const AgreementMessage& message, Instant now)
{
    m_impl->now = std::max(m_impl->now, now);
    m_impl->receive(message);
}

Result<LogIndex, AgreementErrorCode> Replica::propose(ByteString command, Instant now)
{
    m_impl->now = std::max(m_impl->now, now);
    return m_impl->propose(LogEntry::Kind::Command, std::move(command));
}

void Replica::stepDown(Instant now)
{
    m_impl->now = std::max(m_impl->now, now);
    m_impl->stepDown();
}

void Replica::read(std::uint64_t token, Instant now)
{
    m_impl->now = std::max(m_impl->now, now);
    m_impl->read(token);
}

Result<LogIndex, AgreementErrorCode> Replica::changeMembership(const Membership& membership, Instant now)
{
    m_impl->now = std::max(m_impl->now, now);
    return m_impl->changeMembership(membership);
}

std::optional<ReplicaSnapshot> Replica::compact(LogIndex appliedIndex, ByteString state)
{
    assert(appliedIndex <= m_impl->committed);
    if (appliedIndex <= m_impl->log.baseIndex())
        return std::nullopt;
    return m_impl->log.compact(appliedIndex, std::move(state));
}

Effects Replica::takeEffects()
{
    return m_impl->takeEffects();
}

void Replica::persisted(Instant now)
{
    m_impl->now = std::max(m_impl->now, now);
    m_impl->persisted();
}

//==============================================================================
bool Replica::isLeader() const
{
    return m_impl->role == Impl::Role::Leader;
}

bool Replica::holdsLease(Instant now)
{
    m_impl->now = std::max(m_impl->now, now);
    return m_impl->holdsLease();
}

std::optional<ReplicaId> Replica::leader() const
{
    return m_impl->leader;
}

AgreementTerm Replica::term() const
{
    return m_impl->hardState.term;
}

LogIndex Replica::committed() const
{
    return m_impl->committed;
}

LogIndex Replica::firstIndexOfTerm() const
{
    return m_impl->firstIndexOfTerm;
}

LogIndex Replica::lastIndex() const
{
    return m_impl->log.lastIndex();
}

const Membership& Replica::membership() const
{
    return m_impl->log.membership();
}

bool Replica::isChangingMembership() const
{
    return m_impl->log.membershipIndex() > m_impl->committed;
}

std::vector<std::pair<ReplicaId, LogIndex>> Replica::progress() const
{
    std::vector<std::pair<ReplicaId, LogIndex>> all;
    for (const auto& [id, peer] : m_impl->progress)
        all.emplace_back(id, peer.matched);
    return all;
}

} // namespace hemlockchute
