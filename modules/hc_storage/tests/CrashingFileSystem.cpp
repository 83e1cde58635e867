#include "CrashingFileSystem.h"

#include <algorithm>

namespace hemlockchute {
namespace {

constexpr std::size_t blockSize = 16;

tl::unexpected<Error<StorageErrorCode>> missing(const std::filesystem::path& path)
{
    return failure(StorageErrorCode::Unavailable, path.string() + ": no such file");
}

} // namespace

//==============================================================================
class CrashingAppendFile : public AppendFile {
public:
    CrashingAppendFile(CrashingFileSystem& fileSystem, std::filesystem::path path, CrashingFileSystem::FilePointer file)
        : m_fileSystem(fileSystem)
        , m_path(std::move(path))
        , m_file(std::move(file))
    {
    }

    StorageResult<void> append(std::string_view bytes) override
    {
        auto started = m_fileSystem.beginOperation(CrashingFileSystem::Fault::DiskFull);
        m_file->bytes += started ? bytes : bytes.substr(0, bytes.size() / 2);
        return started;
    }

    StorageResult<void> sync() override
    {
        if (auto started = m_fileSystem.beginOperation(CrashingFileSystem::Fault::SyncFails); !started) {
            if (started.error().code == StorageErrorCode::SyncFailed)
                std::fill(m_file->bytes.begin() + static_cast<std::ptrdiff_t>(m_file->durable.size()), m_file->bytes.end(), '\0');
            return started;
        }
        auto named = m_fileSystem.m_names.find(m_path);
        if (named == m_fileSystem.m_names.end() || named->second != m_file)
            return missing(m_path);
        m_file->durable = m_file->bytes;
        return {};
    }

private:
    CrashingFileSystem& m_fileSystem;
    std::filesystem::path m_path;
    CrashingFileSystem::FilePointer m_file;
};

//==============================================================================
void CrashingFileSystem::failAfter(unsigned count, Fault fault)
{
    m_countdown = count;
    m_fault = fault;
}

StorageResult<void> CrashingFileSystem::beginOperation(Fault relevant)
{
    if (m_stopped)
        return failure(StorageErrorCode::WriteFailed, "stopped");
    if (!m_countdown)
        return {};
    if (*m_countdown > 0) {
        --*m_countdown;
        return {};
    }
    if (m_fault == Fault::Crash || m_fault == Fault::Kill) {
        m_stopped = true;
        return failure(StorageErrorCode::WriteFailed, "stopped");
    }
    if (m_fault != relevant)
        return {};
    m_countdown.reset();
    return m_fault == Fault::DiskFull ? failure(StorageErrorCode::DiskFull, "disk full") : failure(StorageErrorCode::SyncFailed, "sync failed");
}

void CrashingFileSystem::restart(std::uint64_t seed)
{
    if (m_stopped && m_fault == Fault::Kill) {
        m_countdown.reset();
        m_stopped = false;
        return;
    }
    std::mt19937_64 random(seed);
    for (const DirectoryChange& pending : m_unsyncedChanges) {
        if (random() % 2 == 0)
            apply(m_durableNames, pending);
    }
    m_unsyncedChanges.clear();
    m_names = m_durableNames;
    for (auto& [path, file] : m_names)
        dropUnsyncedBlocks(*file, random);
    m_countdown.reset();
    m_stopped = false;
}

/** Blocks after the durable size are kept or zeroed independently; the size is any from the durable one up. */
void CrashingFileSystem::dropUnsyncedBlocks(File& file, std::mt19937_64& random) const
{
    std::size_t durable = file.durable.size();
    if (file.bytes.size() > durable) {
        file.bytes.resize(durable + random() % (file.bytes.size() - durable + 1));
        for (std::size_t block = durable / blockSize; block * blockSize < file.bytes.size(); ++block) {
            std::size_t begin = std::max(durable, block * blockSize);
            std::size_t end = std::min(file.bytes.size(), (block + 1) * blockSize);
            if (random() % 3 == 0)
                std::fill(file.bytes.begin() + static_cast<std::ptrdiff_t>(begin), file.bytes.begin() + static_cast<std::ptrdiff_t>(end), '\0');
        }
    }
    file.durable = file.bytes;
}

void CrashingFileSystem::flipBit(const std::filesystem::path& path, std::size_t offset)
{
    File& file = *m_names.at(path);
    file.bytes.at(offset) = static_cast<char>(file.bytes.at(offset) ^ 1);
    file.durable = file.bytes;
}

void CrashingFileSystem::removeFolder(const std::filesystem::path& folder)
{
    auto isInside = [&](const auto& item) { return item.first.parent_path() == folder; };
    std::erase_if(m_names, isInside);
    std::erase_if(m_durableNames, isInside);
}

void CrashingFileSystem::change(DirectoryChange change)
{
    apply(m_names, change);
    m_unsyncedChanges.push_back(std::move(change));
}

void CrashingFileSystem::apply(Names& names, const DirectoryChange& change)
{
    if (change.removed)
        names.erase(*change.removed);
    if (change.added)
        names[*change.added] = change.file;
}

//==============================================================================
StorageResult<void> CrashingFileSystem::createFolder(const std::filesystem::path&)
{
    return beginOperation(Fault::None);
}

StorageResult<std::vector<std::string>> CrashingFileSystem::list(const std::filesystem::path& folder)
{
    std::vector<std::string> names;
    for (const auto& [path, file] : m_names) {
        if (path.parent_path() == folder)
            names.push_back(path.filename().string());
    }
    return names;
}

StorageResult<ByteString> CrashingFileSystem::read(const std::filesystem::path& path)
{
    auto found = m_names.find(path);
    if (found == m_names.end())
        return missing(path);
    return found->second->bytes;
}

StorageResult<std::unique_ptr<AppendFile>> CrashingFileSystem::openAppend(const std::filesystem::path& path)
{
    if (auto started = beginOperation(Fault::None); !started)
        return tl::unexpected(started.error());
    if (!m_names.contains(path))
        change({ path, std::nullopt, std::make_shared<File>() });
    return std::make_unique<CrashingAppendFile>(*this, path, m_names.at(path));
}

StorageResult<void> CrashingFileSystem::truncate(const std::filesystem::path& path, std::uint64_t size)
{
    if (auto started = beginOperation(Fault::None); !started)
        return started;
    File& file = *m_names.at(path);
    file.bytes.resize(std::min<std::size_t>(size, file.bytes.size()));
    file.durable = file.bytes;
    return {};
}

StorageResult<void> CrashingFileSystem::rename(const std::filesystem::path& from, const std::filesystem::path& to)
{
    if (auto started = beginOperation(Fault::None); !started)
        return started;
    if (!m_names.contains(from))
        return missing(from);
    change({ to, from, m_names.at(from) });
    return {};
}

StorageResult<void> CrashingFileSystem::remove(const std::filesystem::path& path)
{
    if (auto started = beginOperation(Fault::None); !started)
        return started;
    if (!m_names.contains(path))
        return missing(path);
    change({ std::nullopt, path, nullptr });
    return {};
}

StorageResult<void> CrashingFileSystem::syncFolder(const std::filesystem::path& folder)
{
    if (auto started = beginOperation(Fault::SyncFails); !started)
        return started;
    std::vector<DirectoryChange> others;
    for (DirectoryChange& pending : m_unsyncedChanges) {
        bool isHere = pending.added.value_or(pending.removed.value_or("")).parent_path() == folder;
        if (isHere)
            apply(m_durableNames, pending);
        else
            others.push_back(std::move(pending));
    }
    m_unsyncedChanges = std::move(others);
    return {};
}

} // namespace hemlockchute
