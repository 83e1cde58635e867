#pragma once

#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/core/Units.h"
#include "hemlockchute/storage/FileSystem.h"
#include "hemlockchute/storage/StorageError.h"

#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    Keeps named, checksummed values in files that are replaced atomically.

    A value is written to a temporary file, synced and renamed over the old one; then the folder is
    synced. Thread safety: one thread at a time.

    @see WriteAheadLog
*/
class SnapshotStore {
public:
    SnapshotStore(FileSystem&, std::filesystem::path folder);

    /** Replaces a value. After an error it is either the old or the new value, complete. */
    StorageResult<void> write(std::string_view name, std::string_view bytes);
    /** Returns a value, made durable before it is returned, or nothing when it was never written. Damage is an error. */
    StorageResult<std::optional<ByteString>> read(std::string_view name) const;

private:
    FileSystem& m_fileSystem;
    std::filesystem::path m_folder;
};

} // namespace hemlockchute
