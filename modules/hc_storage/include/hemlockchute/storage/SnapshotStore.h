#pragma once

#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/core/Units.h"
#include "hemlockchute/storage/FileSystem.h"
#include "hemlockchute/storage/StorageError.h"

#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    Keeps named, checksummed values in files that are replaced whole or not at all.

    Each is written aside, synced and renamed, and its folder synced. Thread safety: one thread at
    a time.

    @see WriteAheadLog
*/
class SnapshotStore {
public:
    SnapshotStore(FileSystem&, std::filesystem::path folder);

    /** Replaces a value; on an error the value is the old one or the new one, whole. */
    StorageResult<void> write(std::string_view name, std::string_view bytes);
    /** A value, durable once it was read, or nothing when it was never written; damage is an error. */
    StorageResult<std::optional<ByteString>> read(std::string_view name) const;

private:
    FileSystem& m_fileSystem;
    std::filesystem::path m_folder;
};

} // namespace hemlockchute
