#pragma once

#include "hemlockchute/agreement/Replica.h"

#include <optional>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    The entries of a replica behind its snapshot, and the memberships they set.

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
    /** The term of an entry, or nothing when it is not there or only the snapshot covers it. */
    std::optional<AgreementTerm> termAt(LogIndex) const;
    /** Precondition: the entry is behind the snapshot and in the log. */
    const LogEntry& at(LogIndex) const;
    /** Entries from an index on, bounded by number and bytes; always one when there is one. */
    std::vector<LogEntry> slice(LogIndex from, std::size_t maximumEntries, std::size_t maximumBytes) const;
    /** The first index of the run of entries that share an entry's term. */
    LogIndex firstIndexOfTerm(LogIndex) const;

    /** The latest membership in the log, committed or not. */
    const Membership& membership() const { return m_membership; }
    /** Where that membership stands; 0 when the log does not hold it. */
    LogIndex membershipIndex() const { return m_membershipIndex; }

    /** Sets the first membership; does nothing once there is one, or an entry. */
    void bootstrap(const Membership&);
    void append(LogEntry);
    void truncateFrom(LogIndex);
    /** Lets a snapshot of the state cover the log up to an index that is in it. */
    const ReplicaSnapshot& compact(LogIndex, ByteString state);
    /** Puts a snapshot in place of the log up to it; keeps what follows only when it fits. */
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
