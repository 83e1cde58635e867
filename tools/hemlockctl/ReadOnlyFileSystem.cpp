#include "ReadOnlyFileSystem.h"

namespace hemlockchute {
namespace {

/** Discards everything that is appended. */
class DiscardingFile : public AppendFile {
public:
    StorageResult<void> append(std::string_view) override { return {}; }
    StorageResult<void> sync() override { return {}; }
};

} // namespace

ReadOnlyFileSystem::ReadOnlyFileSystem(FileSystem& files)
    : m_files(files)
{
}

StorageResult<void> ReadOnlyFileSystem::createFolder(const std::filesystem::path& folder)
{
    if (!std::filesystem::is_directory(folder))
        return failure(StorageErrorCode::Unavailable, folder.string() + ": there is no such folder");
    return {};
}

StorageResult<std::vector<std::string>> ReadOnlyFileSystem::list(const std::filesystem::path& folder)
{
    return m_files.list(folder);
}

StorageResult<ByteString> ReadOnlyFileSystem::read(const std::filesystem::path& path)
{
    return m_files.read(path);
}

StorageResult<std::unique_ptr<AppendFile>> ReadOnlyFileSystem::openAppend(const std::filesystem::path&)
{
    return std::unique_ptr<AppendFile>(std::make_unique<DiscardingFile>());
}

StorageResult<void> ReadOnlyFileSystem::truncate(const std::filesystem::path& path, std::uint64_t size)
{
    m_truncations.push_back({ path, size });
    return {};
}

StorageResult<void> ReadOnlyFileSystem::rename(const std::filesystem::path&, const std::filesystem::path&)
{
    return {};
}

StorageResult<void> ReadOnlyFileSystem::remove(const std::filesystem::path&)
{
    return {};
}

StorageResult<void> ReadOnlyFileSystem::syncFolder(const std::filesystem::path&)
{
    return {};
}

} // namespace hemlockchute
