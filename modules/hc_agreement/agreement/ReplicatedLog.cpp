#include "agreement/ReplicatedLog.h"

#include <algorithm>
#include <cassert>

namespace hemlockchute {

ReplicatedLog::ReplicatedLog(std::optional<ReplicaSnapshot> snapshot, std::vector<LogEntry> entries, Membership initialMembership)
{
    if (snapshot)
        m_snapshot = std::move(*snapshot);
    else
        m_snapshot.membership = std::move(initialMembership);
    for (LogEntry& entry : entries) {
        if (entry.index == lastIndex().next())
            m_entries.push_back(std::move(entry));
    }
    updateMembership();
}

std::optional<AgreementTerm> ReplicatedLog::termAt(LogIndex index) const
{
    if (index == baseIndex())
        return m_snapshot.lastTerm;
    if (index < baseIndex() || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

const LogEntry& ReplicatedLog::at(LogIndex index) const
{
    assert(index > baseIndex() && index <= lastIndex());
    return m_entries[index.value() - baseIndex().value() - 1];
}

std::vector<LogEntry> ReplicatedLog::slice(LogIndex from, std::size_t maximumEntries, std::size_t maximumBytes) const
{
    std::vector<LogEntry> entries;
    std::size_t bytes = 0;
    for (LogIndex index = from; index <= lastIndex() && entries.size() < maximumEntries; index = index.next()) {
        bytes += at(index).payload.size();
        if (!entries.empty() && bytes > maximumBytes)
            break;
        entries.push_back(at(index));
    }
    return entries;
}

LogIndex ReplicatedLog::firstIndexOfTerm(LogIndex index) const
{
    AgreementTerm term = *termAt(index);
    while (index > baseIndex().next() && at(LogIndex(index.value() - 1)).term == term)
        index = LogIndex(index.value() - 1);
    return index;
}

void ReplicatedLog::bootstrap(const Membership& initial)
{
    bool isBlank = lastIndex().isNone() && m_membership == Membership();
    if (!isBlank)
        return;
    m_snapshot.membership = initial;
    updateMembership();
}

void ReplicatedLog::append(LogEntry entry)
{
    assert(entry.index == lastIndex().next());
    m_entries.push_back(std::move(entry));
    if (m_entries.back().kind == LogEntry::Kind::Membership)
        updateMembership();
}

void ReplicatedLog::truncateFrom(LogIndex index)
{
    assert(index > baseIndex());
    if (index > lastIndex())
        return;
    m_entries.resize(index.value() - baseIndex().value() - 1);
    if (m_membershipIndex >= index)
        updateMembership();
}

const ReplicaSnapshot& ReplicatedLog::compact(LogIndex index, ByteString state)
{
    assert(index >= baseIndex() && index <= lastIndex());
    LogIndex foundAt;
    ReplicaSnapshot snapshot { index, *termAt(index), membershipAt(index, foundAt), std::move(state) };
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(index.value() - baseIndex().value()));
    m_snapshot = std::move(snapshot);
    return m_snapshot;
}

void ReplicatedLog::install(ReplicaSnapshot snapshot)
{
    if (termAt(snapshot.lastIndex) == snapshot.lastTerm)
        m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(snapshot.lastIndex.value() - baseIndex().value()));
    else
        m_entries.clear();
    m_snapshot = std::move(snapshot);
    updateMembership();
}

Membership ReplicatedLog::membershipAt(LogIndex index, LogIndex& foundAt) const
{
    for (; index > baseIndex(); index = LogIndex(index.value() - 1)) {
        if (at(index).kind != LogEntry::Kind::Membership)
            continue;
        foundAt = index;
        return decodeMembership(at(index).payload).value();
    }
    foundAt = LogIndex();
    return m_snapshot.membership;
}

void ReplicatedLog::updateMembership()
{
    m_membership = membershipAt(lastIndex(), m_membershipIndex);
}

} // namespace hemlockchute
