#pragma once

#include "hemlockchute/core/Units.h"
#include "hemlockchute/storage/StorageError.h"

#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockchute {

/** A file open for appending. Closed when destroyed. Thread safety: one thread at a time. */
class AppendFile {
public:
    virtual ~AppendFile() = default;
    virtual StorageResult<void> append(std::string_view bytes) = 0;
    /** Makes the file's contents durable. */
    virtual StorageResult<void> sync() = 0;
};

//==============================================================================
/**
    The file operations that storage needs; tests replace it to simulate crashes and errors.

    Thread safety: as the operating system's.
*/
class FileSystem {
public:
    virtual ~FileSystem() = default;

    virtual StorageResult<void> createFolder(const std::filesystem::path&) = 0;
    /** Names of the files in a folder, in order. */
    virtual StorageResult<std::vector<std::string>> list(const std::filesystem::path& folder) = 0;
    virtual StorageResult<ByteString> read(const std::filesystem::path&) = 0;
    /** Opens for appending; creates the file if necessary. */
    virtual StorageResult<std::unique_ptr<AppendFile>> openAppend(const std::filesystem::path&) = 0;
    /** Truncates a file to a size, durably. */
    virtual StorageResult<void> truncate(const std::filesystem::path&, std::uint64_t size) = 0;
    virtual StorageResult<void> rename(const std::filesystem::path& from, const std::filesystem::path& to) = 0;
    virtual StorageResult<void> remove(const std::filesystem::path&) = 0;
    /** Makes creations, renames and removals in a folder durable. */
    virtual StorageResult<void> syncFolder(const std::filesystem::path&) = 0;

    /** The file system of the operating system. */
    static FileSystem& system();
};

} // namespace hemlockchute
