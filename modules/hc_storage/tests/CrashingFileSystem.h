#pragma once

#include "hemlockchute/storage/FileSystem.h"

#include <map>
#include <optional>
#include <random>

namespace hemlockchute {

//==============================================================================
/**
    Files in memory that lose and reorder what was not synced when the machine crashes.

    Bytes reach the disk block by block in any order; changes of a folder reach it one by one in
    any order. After failAt() the operation with that number and every later one fails until
    restart(). Thread safety: one thread at a time.
*/
class CrashingFileSystem : public FileSystem {
public:
    enum class Fault {
        None,
        /** The machine stops: nothing after works until restart(). */
        Crash,
        /** The process stops: nothing works until restart(), but the machine goes on and loses nothing. */
        Kill,
        /** Only a part of the bytes fits. */
        DiskFull,
        /** The sync fails once and loses what it should have written; later ones succeed. */
        SyncFails
    };

    /** Lets the operation that comes after `count` others meet a fault. */
    void failAfter(unsigned count, Fault);
    /** After a crash loses what was not synced, as the seed decides; works again. */
    void restart(std::uint64_t seed);
    bool hasStopped() const { return m_stopped; }
    /** Flips a bit of a file, durably. */
    void flipBit(const std::filesystem::path&, std::size_t offset);
    /** Makes a folder and all in it vanish. */
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

    /** A change of names: the file put at a place, or taken from it, or both for a rename. */
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
