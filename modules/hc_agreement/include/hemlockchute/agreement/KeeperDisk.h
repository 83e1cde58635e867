#pragma once

#include "hemlockchute/agreement/StateCodec.h"
#include "hemlockchute/storage/storage.h"

namespace hemlockchute {

//==============================================================================
/**
    The data folder of a replica: its identity, hard state, snapshot and log.

    A folder with neither an identity nor a hard state becomes a new incarnation; a hard state
    without an identity is refused as damaged. After any error nothing more may be written until
    the folder has been reopened. Thread safety: one thread at a time.

    @see ReplicatedGroup
*/
class KeeperDisk {
public:
    /** Opens the folder; initialises an empty one with the given incarnation. */
    static StorageResult<std::unique_ptr<KeeperDisk>> open(FileSystem&, const std::filesystem::path& folder, IncarnationId newIncarnation, ByteCount segmentSize = ByteCount::mebibytes(1));

    const KeeperIdentity& identity() const { return m_identity; }
    /** Persists the initial membership of the cluster. */
    StorageResult<void> bootstrap(const Membership&);
    /** Gives the folder a new incarnation without a membership, which votes only after it has been added to the group. */
    StorageResult<void> replaceIncarnation(IncarnationId);
    /** Moves out the state that was read when the folder was opened. */
    RecoveredState takeRecovered() { return std::move(m_recovered); }

    /** Makes the effects durable, with one sync for all log entries. */
    StorageResult<void> store(const Effects&);
    /** Checks that the folder accepts writes and syncs. */
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
