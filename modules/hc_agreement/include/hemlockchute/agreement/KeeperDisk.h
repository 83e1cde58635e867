#pragma once

#include "hemlockchute/agreement/StateCodec.h"
#include "hemlockchute/storage/storage.h"

namespace hemlockchute {

//==============================================================================
/**
    A keeper's data folder: who it is, its hard state, its snapshot and its log.

    A folder without an identity must be empty otherwise, and becomes a new incarnation. After any
    error nothing more may be written; the process stops and opens the folder anew. Thread safety:
    one thread at a time.

    @see ReplicatedGroup
*/
class KeeperDisk {
public:
    /** Opens the folder, or makes it the given new incarnation when it is empty. */
    static StorageResult<std::unique_ptr<KeeperDisk>> open(FileSystem&, const std::filesystem::path& folder, IncarnationId newIncarnation);

    const KeeperIdentity& identity() const { return m_identity; }
    /** Writes down the members that the cluster began with. */
    StorageResult<void> bootstrap(const Membership&);
    /** Makes this folder another incarnation, which may vote only once it was added anew. */
    StorageResult<void> replaceIncarnation(IncarnationId);
    /** What was in the folder when it was opened. */
    RecoveredState takeRecovered() { return std::move(m_recovered); }

    /** Makes the effects durable, with one sync for all log entries. */
    StorageResult<void> store(const Effects&);
    /** Shows that the folder takes writes and syncs. */
    StorageResult<void> probe();
    /** Writes a snapshot and drops the log that it covers. */
    StorageResult<void> compact(const ReplicaSnapshot&);

private:
    KeeperDisk(FileSystem&, const std::filesystem::path& folder);

    StorageResult<void> readIdentity(IncarnationId newIncarnation, bool isEmptyFolder);
    StorageResult<void> recover();
    StorageResult<void> recoverEntries();
    StorageResult<void> storeEntries(const Effects&);

    SnapshotStore m_values;
    std::unique_ptr<WriteAheadLog> m_log;
    KeeperIdentity m_identity;
    RecoveredState m_recovered;
};

} // namespace hemlockchute
