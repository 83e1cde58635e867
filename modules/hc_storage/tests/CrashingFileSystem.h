#pragma once

#include "hemlockchute/storage/FileSystem.h"

#include <map>
#include <optional>
#include <random>

namespace hemlockchute {

//==============================================================================
/**
    Files in memory; a simulated crash loses and reorders whatever was not synced.

    Each unsynced block of a file and each unsynced change of a folder may survive a crash or not,
    in any order. failAfter() chooses the operation that meets a fault; after Crash or Kill every
    later one fails as well, until restart(). Thread safety: one thread at a time.
*/
class CrashingFileSystem : public FileSystem {
public:
    enum class Fault {
        None,
        /** The machine stops: every modifying operation fails until restart(), which loses what was not synced. */
        Crash,
        /** The process stops: as Crash, but the machine runs on and nothing is lost. */
        Kill,
        /** An append writes only half of its bytes. */
        DiskFull,
        /** A sync fails once and loses what it should have written; later ones succeed. */
        SyncFails
    };

    /** Injects a fault after `count` more operations; disk and sync faults wait for the next operation that they apply to. */
    void failAfter(unsigned count, Fault);
    /** Ends a crash or a kill; unless the process was killed, loses unsynced data as the seed decides. */
    void restart(std::uint64_t seed);
    bool hasStopped() const { return m_stopped; }
    /** Flips a bit of a file, durably. */
    void flipBit(const std::filesystem::path&, std::size_t offset);
    /** Removes a folder with its contents, durably. */
    void removeFolder(const std::filesystem::path&);

    StorageResult<void> createFolder(const std::filesystem::path&) override;
    StorageResult<std::vector<std::string>> list(const std::filesystem::path& folder) override;
    StorageResult<ByteString> read(const std::filesystem::path&) override;
    StorageResult<std::unique_ptr<AppendFile>> openAppend(const std::filesystem::path&) override;
    StorageResult<void> truncate(const std::filesystem::path&, std::uint64_t size) override;
    StorageResult<void> rename(const std::filesystem::path& from, const std::filesystem::path& to) override;
    StorageResult<void> remove(const std::filesystem::path&) override;
    StorageResult<void> syncFolder(const std::filesystem::path&) override;

private:
    friend class CrashingAppendFile;

    struct File {
        ByteString bytes;
        ByteString durable;
    };
    using FilePointer = std::shared_ptr<File>;
    using Names = std::map<std::filesystem::path, FilePointer>;

    /** A change of directory entries: one added, one removed, or both for a rename. */
    struct DirectoryChange {
        std::optional<std::filesystem::path> added;
        std::optional<std::filesystem::path> removed;
        FilePointer file;
    };

    StorageResult<void> beginOperation(Fault relevant);
    void change(DirectoryChange);
    static void apply(Names&, const DirectoryChange&);
    void dropUnsyncedBlocks(File&, std::mt19937_64&) const;

    Names m_names;
    Names m_durableNames;
    std::vector<DirectoryChange> m_unsyncedChanges;
    std::optional<unsigned> m_countdown;
    Fault m_fault = Fault::None;
    bool m_stopped = false;
};

} // namespace hemlockchute
