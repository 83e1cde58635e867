#include "hemlockchute/storage/SnapshotStore.h"

#include "hemlockchute/core/Digest.h"
#include "storage/ByteCodec.h"

#include <algorithm>

namespace hemlockchute {
namespace {

constexpr std::string_view valueSuffix = ".snapshot";
constexpr std::string_view temporarySuffix = ".aside";
constexpr std::uint64_t snapshotMagic = 0x31504E5348434C48; // "HLCHSNP1" on disk

ByteString withChecksum(std::string_view bytes)
{
    Digest digest = Digest::of(bytes);
    ByteString all;
    all.reserve(bytes.size() + 4 * sizeof(std::uint64_t));
    ByteWriter(all).number(snapshotMagic).number<std::uint64_t>(bytes.size()).number(digest.high()).number(digest.low()).bytes(bytes);
    return all;
}

std::optional<ByteString> withoutChecksum(std::string_view all)
{
    ByteReader reader(all);
    bool isSnapshot = reader.number<std::uint64_t>() == snapshotMagic;
    auto size = reader.number<std::uint64_t>();
    auto high = reader.number<std::uint64_t>();
    auto low = reader.number<std::uint64_t>();
    std::string_view bytes = reader.bytes(size);
    if (!isSnapshot || reader.hasFailed() || !reader.isAtEnd() || Digest::of(bytes) != Digest(high, low))
        return std::nullopt;
    return ByteString(bytes);
}

} // namespace

SnapshotStore::SnapshotStore(FileSystem& fileSystem, std::filesystem::path folder)
    : m_fileSystem(fileSystem)
    , m_folder(std::move(folder))
{
}

StorageResult<void> SnapshotStore::write(std::string_view name, std::string_view bytes)
{
    std::filesystem::path path = m_folder / (std::string(name) + std::string(valueSuffix));
    std::filesystem::path temporary = path.string() + std::string(temporarySuffix);
    if (auto created = m_fileSystem.createFolder(m_folder); !created)
        return created;
    auto file = m_fileSystem.openAppend(temporary);
    if (!file)
        return tl::unexpected(file.error());
    if (auto emptied = m_fileSystem.truncate(temporary, 0); !emptied)
        return emptied;
    if (auto written = (*file)->append(withChecksum(bytes)); !written)
        return written;
    if (auto synced = (*file)->sync(); !synced)
        return synced;
    if (auto renamed = m_fileSystem.rename(temporary, path); !renamed)
        return renamed;
    return m_fileSystem.syncFolder(m_folder);
}

StorageResult<std::optional<ByteString>> SnapshotStore::read(std::string_view name) const
{
    std::string fileName = std::string(name) + std::string(valueSuffix);
    auto names = m_fileSystem.list(m_folder);
    if (!names)
        return tl::unexpected(names.error());
    if (std::find(names->begin(), names->end(), fileName) == names->end())
        return std::nullopt;
    if (auto synced = m_fileSystem.syncFolder(m_folder); !synced)
        return tl::unexpected(synced.error());
    auto all = m_fileSystem.read(m_folder / fileName);
    if (!all)
        return tl::unexpected(all.error());
    std::optional<ByteString> bytes = withoutChecksum(*all);
    if (!bytes)
        return failure(StorageErrorCode::Damaged, (m_folder / fileName).string() + ": offset 0: the checksum does not match");
    return bytes;
}

} // namespace hemlockchute
