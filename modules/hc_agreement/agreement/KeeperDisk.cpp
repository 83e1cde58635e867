#include "hemlockchute/agreement/KeeperDisk.h"

namespace hemlockchute {
namespace {

constexpr std::string_view identityName = "identity";
constexpr std::string_view hardStateName = "hard-state";
constexpr std::string_view snapshotName = "state";
constexpr std::string_view probeName = "probe";

tl::unexpected<Error<StorageErrorCode>> unreadable(std::string_view name, const Error<AgreementErrorCode>& error)
{
    return failure(StorageErrorCode::Damaged, std::string(name) + ": " + error.detail);
}

/** Reads and decodes one value; empty when it was never written. */
template <typename Value>
StorageResult<std::optional<Value>> readValue(const SnapshotStore& values, std::string_view name, Result<Value, AgreementErrorCode> (*decode)(std::string_view))
{
    auto bytes = values.read(name);
    if (!bytes)
        return tl::unexpected(bytes.error());
    if (!*bytes)
        return std::nullopt;
    auto value = decode(**bytes);
    if (!value)
        return unreadable(name, value.error());
    return *value;
}

} // namespace

//==============================================================================
KeeperDisk::KeeperDisk(FileSystem& fileSystem, const std::filesystem::path& folder)
    : m_values(fileSystem, folder)
{
}

StorageResult<std::unique_ptr<KeeperDisk>> KeeperDisk::open(FileSystem& fileSystem, const std::filesystem::path& folder, IncarnationId newIncarnation, ByteCount segmentSize)
{
    std::unique_ptr<KeeperDisk> disk(new KeeperDisk(fileSystem, folder));
    if (auto created = fileSystem.createFolder(folder); !created)
        return tl::unexpected(created.error());
    auto names = fileSystem.list(folder);
    if (!names)
        return tl::unexpected(names.error());
    if (auto read = disk->readIdentity(newIncarnation, names->empty()); !read)
        return tl::unexpected(read.error());
    auto log = WriteAheadLog::open(fileSystem, folder / "log", WriteAheadLog::Options().withSegmentSize(segmentSize));
    if (!log)
        return tl::unexpected(log.error());
    disk->m_log = std::move(*log);
    if (auto recovered = disk->recover(); !recovered)
        return tl::unexpected(recovered.error());
    return disk;
}

/** A crash during the first write of the identity leaves neither identity nor hard state; the folder is still new. */
StorageResult<void> KeeperDisk::readIdentity(IncarnationId newIncarnation, bool isEmptyFolder)
{
    auto identity = readValue(m_values, identityName, decodeIdentity);
    if (!identity)
        return tl::unexpected(identity.error());
    if (*identity) {
        m_identity = **identity;
        return {};
    }
    auto hardState = m_values.read(hardStateName);
    bool isNew = isEmptyFolder || (hardState && !*hardState);
    if (!isNew)
        return failure(StorageErrorCode::Damaged, "the data folder holds a state but no identity; empty it and have the keeper replaced");
    m_identity.incarnation = newIncarnation;
    return m_values.write(identityName, encodeIdentity(m_identity));
}

StorageResult<void> KeeperDisk::bootstrap(const Membership& membership)
{
    KeeperIdentity bootstrapped { m_identity.incarnation, membership };
    if (auto written = m_values.write(identityName, encodeIdentity(bootstrapped)); !written)
        return written;
    m_identity = bootstrapped;
    return {};
}

StorageResult<void> KeeperDisk::replaceIncarnation(IncarnationId incarnation)
{
    m_identity = { incarnation, std::nullopt };
    return m_values.write(identityName, encodeIdentity(m_identity));
}

//==============================================================================
StorageResult<void> KeeperDisk::recover()
{
    auto hardState = readValue(m_values, hardStateName, decodeHardState);
    if (!hardState)
        return tl::unexpected(hardState.error());
    auto snapshot = readValue(m_values, snapshotName, decodeSnapshot);
    if (!snapshot)
        return tl::unexpected(snapshot.error());
    m_recovered.hardState = hardState->value_or(HardState());
    m_recovered.snapshot = std::move(*snapshot);
    if (m_identity.initialMembership)
        m_recovered.initialMembership = *m_identity.initialMembership;
    return recoverEntries();
}

/**
    Entries after the snapshot are valid only if the log adjoins it without a gap and agrees with its last term.

    A log that does not agree was left by a crash before the log was cut, or by an earlier version, which
    cut it after the snapshot's end only. The entries appended after such a cut are valid. They differ from
    those of the abandoned log: none is older than the snapshot, and the first has not the conflicting term.
*/
StorageResult<void> KeeperDisk::recoverEntries()
{
    LogIndex base = m_recovered.snapshot ? m_recovered.snapshot->lastIndex : LogIndex();
    AgreementTerm baseTerm = m_recovered.snapshot ? m_recovered.snapshot->lastTerm : AgreementTerm();
    std::vector<LogEntry>& entries = m_recovered.entries;
    std::optional<AgreementTerm> conflictingTerm;
    for (const LogRecord& record : m_log->records()) {
        auto entry = decodeEntry(record.payload);
        if (!entry)
            return unreadable("log entry " + std::to_string(record.index.value()), entry.error());
        if (entry->index == base && entry->term != baseTerm)
            conflictingTerm = entry->term;
        if (entry->index > base)
            entries.push_back(std::move(*entry));
    }
    if (m_log->records().empty())
        return {};
    bool adjoinsSnapshot = m_log->records().front().index <= base.next() && m_log->records().back().index >= base;
    bool wasCutAfterSnapshot = !entries.empty() && entries.front().term >= baseTerm && entries.front().term != conflictingTerm;
    if (adjoinsSnapshot && (!conflictingTerm || wasCutAfterSnapshot))
        return {};
    entries.clear();
    if (auto cut = m_log->truncateFrom(m_log->records().front().index); !cut)
        return cut;
    return m_log->sync();
}

//==============================================================================
/** A snapshot is durable before the log that it replaces is modified. */
StorageResult<void> KeeperDisk::store(const Effects& effects)
{
    if (effects.hardState) {
        if (auto written = m_values.write(hardStateName, encodeHardState(*effects.hardState)); !written)
            return written;
    }
    if (effects.install) {
        if (auto written = m_values.write(snapshotName, encodeSnapshot(*effects.install)); !written)
            return written;
    }
    return storeEntries(effects);
}

StorageResult<void> KeeperDisk::storeEntries(const Effects& effects)
{
    LogIndex kept = m_log->records().empty() ? LogIndex() : m_log->records().back().index;
    std::optional<LogIndex> cut = effects.truncateFrom;
    if (cut && kept >= *cut)
        kept = LogIndex(cut->value() - 1);
    // Entries after the snapshot adjoin nothing that ends before it.
    bool leavesGap = effects.install && kept < effects.install->lastIndex;
    if (leavesGap)
        cut = LogIndex(1);
    if (cut) {
        if (auto done = m_log->truncateFrom(*cut); !done)
            return done;
    }
    for (const LogEntry& entry : effects.append) {
        if (auto done = m_log->append({ entry.index, encodeEntry(entry) }); !done)
            return done;
    }
    if (auto synced = m_log->sync(); !synced)
        return synced;
    return effects.install ? m_log->dropThrough(effects.install->lastIndex) : StorageResult<void>();
}

StorageResult<void> KeeperDisk::probe()
{
    return m_values.write(probeName, "writes are taken");
}

StorageResult<void> KeeperDisk::compact(const ReplicaSnapshot& snapshot)
{
    if (auto written = m_values.write(snapshotName, encodeSnapshot(snapshot)); !written)
        return written;
    return m_log->dropThrough(snapshot.lastIndex);
}

} // namespace hemlockchute
