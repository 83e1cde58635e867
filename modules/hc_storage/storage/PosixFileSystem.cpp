#include "hemlockchute/storage/FileSystem.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace hemlockchute {
namespace {

constexpr mode_t fileMode = 0600;
constexpr std::size_t readSize = 1U << 16U;

StorageErrorCode codeOf(int error, StorageErrorCode otherwise)
{
    if (error == ENOSPC || error == EDQUOT)
        return StorageErrorCode::DiskFull;
    if (error == ENOENT || error == ENOTDIR || error == EACCES)
        return StorageErrorCode::Unavailable;
    return otherwise;
}

tl::unexpected<Error<StorageErrorCode>> systemFailure(const std::filesystem::path& path, int error, StorageErrorCode otherwise)
{
    return failure(codeOf(error, otherwise), path.string() + ": " + std::generic_category().message(error));
}

/** Closes a descriptor at the end of its scope. */
class Descriptor {
public:
    Descriptor(const std::filesystem::path& path, int flags)
        : m_descriptor(::open(path.c_str(), flags | O_CLOEXEC, fileMode))
    {
    }
    ~Descriptor()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
    }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;

    bool isOpen() const { return m_descriptor >= 0; }
    int number() const { return m_descriptor; }

private:
    int m_descriptor;
};

//==============================================================================
class PosixAppendFile : public AppendFile {
public:
    explicit PosixAppendFile(std::filesystem::path path)
        : m_path(std::move(path))
        , m_descriptor(m_path, O_WRONLY | O_CREAT | O_APPEND)
    {
    }

    bool isOpen() const { return m_descriptor.isOpen(); }

    StorageResult<void> append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            ssize_t written = ::write(m_descriptor.number(), bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                return systemFailure(m_path, errno, StorageErrorCode::WriteFailed);
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return {};
    }

    StorageResult<void> sync() override
    {
        if (::fdatasync(m_descriptor.number()) != 0)
            return failure(StorageErrorCode::SyncFailed, m_path.string() + ": " + std::generic_category().message(errno));
        return checkStillLinked();
    }

private:
    /** Writes to a file that was removed, or whose folder was moved away, succeed but cannot be found again. */
    StorageResult<void> checkStillLinked() const
    {
        struct stat opened { };
        struct stat named { };
        bool isSame = ::fstat(m_descriptor.number(), &opened) == 0 && ::stat(m_path.c_str(), &named) == 0
            && opened.st_dev == named.st_dev && opened.st_ino == named.st_ino;
        if (!isSame)
            return failure(StorageErrorCode::Unavailable, m_path.string() + ": the file was removed or replaced while it was open");
        return {};
    }

    std::filesystem::path m_path;
    Descriptor m_descriptor;
};

//==============================================================================
class PosixFileSystem : public FileSystem {
public:
    StorageResult<void> createFolder(const std::filesystem::path& path) override
    {
        std::error_code error;
        if (path.empty() || std::filesystem::is_directory(path, error))
            return {};
        if (auto created = createFolder(path.parent_path()); !created)
            return created;
        std::filesystem::create_directory(path, error);
        if (error)
            return systemFailure(path, error.value(), StorageErrorCode::Unavailable);
        return syncFolder(path.parent_path());
    }

    StorageResult<std::vector<std::string>> list(const std::filesystem::path& folder) override
    {
        std::error_code error;
        std::vector<std::string> names;
        for (std::filesystem::directory_iterator entry(folder, error), end; !error && entry != end; entry.increment(error))
            names.push_back(entry->path().filename().string());
        if (error)
            return systemFailure(folder, error.value(), StorageErrorCode::Unavailable);
        std::sort(names.begin(), names.end());
        return names;
    }

    StorageResult<ByteString> read(const std::filesystem::path& path) override
    {
        Descriptor descriptor(path, O_RDONLY);
        if (!descriptor.isOpen())
            return systemFailure(path, errno, StorageErrorCode::Unavailable);
        ByteString bytes;
        std::size_t size = 0;
        for (;;) {
            bytes.resize(size + readSize);
            ssize_t count = ::read(descriptor.number(), bytes.data() + size, readSize);
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0)
                return systemFailure(path, errno, StorageErrorCode::Unavailable);
            size += static_cast<std::size_t>(count);
            if (count == 0)
                break;
        }
        bytes.resize(size);
        return bytes;
    }

    StorageResult<std::unique_ptr<AppendFile>> openAppend(const std::filesystem::path& path) override
    {
        auto file = std::make_unique<PosixAppendFile>(path);
        if (!file->isOpen())
            return systemFailure(path, errno, StorageErrorCode::Unavailable);
        return file;
    }

    StorageResult<void> truncate(const std::filesystem::path& path, std::uint64_t size) override
    {
        Descriptor descriptor(path, O_WRONLY);
        if (!descriptor.isOpen())
            return systemFailure(path, errno, StorageErrorCode::Unavailable);
        if (::ftruncate(descriptor.number(), static_cast<off_t>(size)) != 0)
            return systemFailure(path, errno, StorageErrorCode::WriteFailed);
        if (::fsync(descriptor.number()) != 0)
            return failure(StorageErrorCode::SyncFailed, path.string() + ": " + std::generic_category().message(errno));
        return {};
    }

    StorageResult<void> rename(const std::filesystem::path& from, const std::filesystem::path& to) override
    {
        if (::rename(from.c_str(), to.c_str()) != 0)
            return systemFailure(from, errno, StorageErrorCode::WriteFailed);
        return {};
    }

    StorageResult<void> remove(const std::filesystem::path& path) override
    {
        if (::unlink(path.c_str()) != 0)
            return systemFailure(path, errno, StorageErrorCode::WriteFailed);
        return {};
    }

    StorageResult<void> syncFolder(const std::filesystem::path& path) override
    {
        Descriptor descriptor(path.empty() ? std::filesystem::path(".") : path, O_RDONLY | O_DIRECTORY);
        if (!descriptor.isOpen())
            return systemFailure(path, errno, StorageErrorCode::Unavailable);
        if (::fsync(descriptor.number()) != 0)
            return failure(StorageErrorCode::SyncFailed, path.string() + ": " + std::generic_category().message(errno));
        return {};
    }
};

} // namespace

FileSystem& FileSystem::system()
{
    static PosixFileSystem fileSystem;
    return fileSystem;
}

} // namespace hemlockchute
