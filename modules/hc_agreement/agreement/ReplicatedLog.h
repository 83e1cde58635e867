#pragma once

#include "hemlockchute/agreement/Replica.h"

#include <optional>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    The log entries after a replica's snapshot, and the membership in effect.

    Thread safety: one thread at a time.

    @see Replica
*/
class ReplicatedLog {
public:
    ReplicatedLog(std::optional<ReplicaSnapshot>, std::vector<LogEntry>, Membership initialMembership);

    /** The last index that the snapshot covers. */
    LogIndex baseIndex() const { return m_snapshot.lastIndex; }
    LogIndex lastIndex() const { return LogIndex(baseIndex().value() + m_entries.size()); }
    AgreementTerm lastTerm() const { return *termAt(lastIndex()); }
    /** The term of an entry; empty when the log does not reach it, or when only the snapshot covers it. */
    std::optional<AgreementTerm> termAt(LogIndex) const;
    /** Precondition: the entry is after the snapshot and in the log. */
    const LogEntry& at(LogIndex) const;
    /** Entries from an index on, limited in number and bytes; at least one if there is any. */
    std::vector<LogEntry> slice(LogIndex from, std::size_t maximumEntries, std::size_t maximumBytes) const;
    /** The first index of the run of entries that share the term of the given one. */
    LogIndex firstIndexOfTerm(LogIndex) const;

    /** The latest membership in the log, committed or not. */
    const Membership& membership() const { return m_membership; }
    /** Index of the entry that holds that membership; 0 when no entry after the snapshot does. */
    LogIndex membershipIndex() const { return m_membershipIndex; }

    /** Sets the initial membership; does nothing when there is already a membership or an entry. */
    void bootstrap(const Membership&);
    void append(LogEntry);
    void truncateFrom(LogIndex);
    /** Replaces the log up to an index with a snapshot of the state. Precondition: the index is in the log. */
    const ReplicaSnapshot& compact(LogIndex, ByteString state);
    /** Replaces the log up to a snapshot; keeps later entries only when the log holds the snapshot's last entry. */
    void install(ReplicaSnapshot);
    const ReplicaSnapshot& snapshot() const { return m_snapshot; }

private:
    Membership membershipAt(LogIndex, LogIndex& foundAt) const;
    void updateMembership();

    ReplicaSnapshot m_snapshot;
    std::vector<LogEntry> m_entries;
    Membership m_membership;
    LogIndex m_membershipIndex;
};

} // namespace hemlockchute
