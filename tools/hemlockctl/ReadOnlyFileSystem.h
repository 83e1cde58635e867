#pragma once

#include "hemlockchute/storage/FileSystem.h"

namespace hemlockchute {

//==============================================================================
/**
    Forwards reads to another file system and discards writes, recording only truncations, so that a
    log can be verified without changing it.

    Thread safety: one thread at a time.
*/
class ReadOnlyFileSystem : public FileSystem {
public:
    /** A file that would have been truncated, and the size it would have had. */
    struct Truncation {
        std::filesystem::path path;
        std::uint64_t size = 0;
    };

    explicit ReadOnlyFileSystem(FileSystem&);

    const std::vector<Truncation>& truncations() const { return m_truncations; }

    StorageResult<void> createFolder(const std::filesystem::path&) override;
    StorageResult<std::vector<std::string>> list(const std::filesystem::path& folder) override;
    StorageResult<ByteString> read(const std::filesystem::path&) override;
    StorageResult<std::unique_ptr<AppendFile>> openAppend(const std::filesystem::path&) override;
    StorageResult<void> truncate(const std::filesystem::path&, std::uint64_t size) override;
    StorageResult<void> rename(const std::filesystem::path& from, const std::filesystem::path& to) override;
    StorageResult<void> remove(const std::filesystem::path&) override;
    StorageResult<void> syncFolder(const std::filesystem::path&) override;

private:
    FileSystem& m_files;
    std::vector<Truncation> m_truncations;
};

} // namespace hemlockchute
