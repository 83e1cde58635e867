#include "hemlockchute/storage/WriteAheadLog.h"

#include "storage/ByteCodec.h"
#include "storage/LogFrame.h"

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <optional>

namespace hemlockchute {
namespace {

constexpr std::string_view segmentSuffix = ".wal";
constexpr std::size_t sequenceDigits = 20;

enum class Operation : std::uint8_t {
    Append = 1,
    TruncateFrom = 2
};

/** A segment file and the highest record index in any of its operations. */
struct Segment {
    std::uint64_t firstSequence = 0;
    std::uint64_t size = 0;
    LogIndex highestIndex;
};

std::string segmentName(std::uint64_t firstSequence)
{
    char name[sequenceDigits + 1];
    std::snprintf(name, sizeof name, "%020llu", static_cast<unsigned long long>(firstSequence));
    return name + std::string(segmentSuffix);
}

std::optional<std::uint64_t> segmentSequence(const std::string& name)
{
    bool hasLength = name.size() == sequenceDigits + segmentSuffix.size();
    if (!hasLength || !name.ends_with(segmentSuffix) || name.find_first_not_of("0123456789") != sequenceDigits)
        return std::nullopt;
    return std::stoull(name.substr(0, sequenceDigits));
}

//==============================================================================
class SegmentedLog : public WriteAheadLog {
public:
    SegmentedLog(FileSystem& fileSystem, std::filesystem::path folder, Options options)
        : m_fileSystem(fileSystem)
        , m_folder(std::move(folder))
        , m_options(options)
    {
    }

    StorageResult<void> load()
    {
        if (auto created = m_fileSystem.createFolder(m_folder); !created)
            return created;
        auto names = m_fileSystem.list(m_folder);
        if (!names)
            return tl::unexpected(names.error());
        std::vector<std::uint64_t> sequences;
        for (const std::string& name : *names) {
            if (auto sequence = segmentSequence(name))
                sequences.push_back(*sequence);
        }
        for (std::uint64_t sequence : sequences) {
            if (auto loaded = loadSegment(sequence, sequence == sequences.back()); !loaded)
                return loaded;
        }
        return openLastSegment();
    }

    //==============================================================================
    const std::vector<LogRecord>& records() const override { return m_records; }

    StorageResult<void> append(LogRecord record) override
    {
        assert(m_records.empty() || record.index == m_records.back().index.next());
        if (m_failed)
            return unusable();
        writeOperation(Operation::Append, record.index, record.payload);
        m_records.push_back(std::move(record));
        return {};
    }

    StorageResult<void> truncateFrom(LogIndex index) override
    {
        if (m_failed)
            return unusable();
        writeOperation(Operation::TruncateFrom, index, {});
        eraseFrom(index);
        return {};
    }

    StorageResult<void> dropThrough(LogIndex index) override
    {
        if (m_failed)
            return unusable();
        std::size_t dropped = 0;
        while (dropped + 1 < m_segments.size() && m_segments[dropped].highestIndex <= index)
            ++dropped;
        for (std::size_t i = 0; i < dropped; ++i) {
            if (auto removed = removeSegment(m_segments[i]); !removed)
                return fail(removed);
        }
        if (dropped == 0)
            return {};
        m_segments.erase(m_segments.begin(), m_segments.begin() + static_cast<std::ptrdiff_t>(dropped));
        eraseThrough(index);
        return {};
    }

    StorageResult<void> sync() override
    {
        if (m_failed)
            return unusable();
        if (m_pending.empty())
            return {};
        if (m_segments.empty() || m_segments.back().size > m_options.segmentSize.value()) {
            if (auto started = beginSegment(); !started)
                return fail(started);
        }
        auto written = writeFrame();
        return written ? written : fail(written);
    }

private:
    std::filesystem::path pathOf(const Segment& segment) const { return m_folder / segmentName(segment.firstSequence); }

    StorageResult<void> unusable() const
    {
        return failure(StorageErrorCode::Unavailable, m_folder.string() + ": the log has failed and must be reopened");
    }

    StorageResult<void> fail(StorageResult<void> result)
    {
        m_failed = true;
        return result;
    }

    void writeOperation(Operation operation, LogIndex index, std::string_view payload)
    {
        ByteWriter(m_pending).number(operation).number(index.value()).number(static_cast<std::uint32_t>(payload.size())).bytes(payload);
        m_pendingHighest = std::max(m_pendingHighest, index);
    }

    void eraseFrom(LogIndex index)
    {
        while (!m_records.empty() && m_records.back().index >= index)
            m_records.pop_back();
    }

    void eraseThrough(LogIndex index)
    {
        auto kept = std::find_if(m_records.begin(), m_records.end(), [&](const LogRecord& record) { return record.index > index; });
        m_records.erase(m_records.begin(), kept);
    }

    //==============================================================================
    /** Syncs after each removal, so that no crash leaves a gap between segments. */
    StorageResult<void> removeSegment(const Segment& segment)
    {
        if (auto removed = m_fileSystem.remove(pathOf(segment)); !removed)
            return removed;
        return m_fileSystem.syncFolder(m_folder);
    }

    /** The first batch of a segment is durable only once the segment's entry in the folder is. */
    StorageResult<void> writeFrame()
    {
        Segment& segment = m_segments.back();
        ByteString frame = LogFrame::encode(m_nextSequence, segment.size, m_pending);
        if (auto appended = m_file->append(frame); !appended)
            return appended;
        if (auto synced = m_file->sync(); !synced)
            return synced;
        if (segment.size == 0) {
            if (auto synced = m_fileSystem.syncFolder(m_folder); !synced)
                return synced;
        }
        segment.size += frame.size();
        segment.highestIndex = std::max(segment.highestIndex, m_pendingHighest);
        ++m_nextSequence;
        m_pending.clear();
        m_pendingHighest = {};
        return {};
    }

    StorageResult<void> beginSegment()
    {
        Segment segment { m_nextSequence, 0, {} };
        auto file = m_fileSystem.openAppend(pathOf(segment));
        if (!file)
            return tl::unexpected(file.error());
        m_file = std::move(*file);
        m_segments.push_back(segment);
        return {};
    }

    /**
        The last batch may have been read from the page cache only, if the previous process ended
        before its sync or the sync failed. An empty batch after it makes a later loss count as
        damage, and not as a torn tail.
    */
    StorageResult<void> openLastSegment()
    {
        if (m_segments.empty())
            return {};
        auto file = m_fileSystem.openAppend(pathOf(m_segments.back()));
        if (!file)
            return tl::unexpected(file.error());
        m_file = std::move(*file);
        if (auto synced = m_fileSystem.syncFolder(m_folder); !synced)
            return synced;
        return m_segments.back().size > 0 ? writeFrame() : StorageResult<void>();
    }

    //==============================================================================
    StorageResult<void> loadSegment(std::uint64_t firstSequence, bool isLast)
    {
        Segment segment { firstSequence, 0, {} };
        if (!m_segments.empty() && firstSequence != m_nextSequence)
            return damaged(segment, 0, "earlier segments are missing or truncated");
        m_nextSequence = firstSequence;
        auto bytes = m_fileSystem.read(pathOf(segment));
        if (!bytes)
            return tl::unexpected(bytes.error());
        if (auto replayed = replay(*bytes, segment); !replayed)
            return replayed;
        if (segment.size < bytes->size()) {
            if (auto cut = cutTornTail(*bytes, segment, isLast); !cut)
                return cut;
        }
        m_segments.push_back(segment);
        return {};
    }

    StorageResult<void> replay(std::string_view bytes, Segment& segment)
    {
        while (auto frame = LogFrame::decode(bytes, segment.size)) {
            if (frame->sequence != m_nextSequence)
                return damaged(segment, segment.size, "a batch has the wrong sequence number");
            if (!replayBody(frame->body, segment))
                return damaged(segment, segment.size, "a batch is malformed");
            segment.size = frame->end;
            ++m_nextSequence;
        }
        return {};
    }

    bool replayBody(std::string_view body, Segment& segment)
    {
        ByteReader reader(body);
        while (!reader.isAtEnd()) {
            auto operation = reader.number<Operation>();
            LogIndex index(reader.number<std::uint64_t>());
            std::string_view payload = reader.bytes(reader.number<std::uint32_t>());
            if (reader.hasFailed())
                return false;
            segment.highestIndex = std::max(segment.highestIndex, index);
            if (!replayOperation(operation, index, payload))
                return false;
        }
        return true;
    }

    bool replayOperation(Operation operation, LogIndex index, std::string_view payload)
    {
        if (operation == Operation::TruncateFrom) {
            eraseFrom(index);
            return true;
        }
        bool follows = m_records.empty() || index == m_records.back().index.next();
        if (operation != Operation::Append || !follows)
            return false;
        m_records.push_back({ index, ByteString(payload) });
        return true;
    }

    /** Only the very last batch can be torn: every earlier one was synced before the next was written. */
    StorageResult<void> cutTornTail(std::string_view bytes, const Segment& segment, bool isLast)
    {
        if (!isLast || LogFrame::hasHeaderAfter(bytes, segment.size, m_nextSequence + 1))
            return damaged(segment, segment.size, "a batch is damaged and later ones follow");
        return m_fileSystem.truncate(pathOf(segment), segment.size);
    }

    StorageResult<void> damaged(const Segment& segment, std::uint64_t offset, const std::string& what) const
    {
        return failure(StorageErrorCode::Damaged, pathOf(segment).string() + ": offset " + std::to_string(offset) + ": " + what);
    }

    FileSystem& m_fileSystem;
    std::filesystem::path m_folder;
    Options m_options;
    std::vector<LogRecord> m_records;
    std::vector<Segment> m_segments;
    std::uint64_t m_nextSequence = 1;
    std::unique_ptr<AppendFile> m_file;
    ByteString m_pending;
    LogIndex m_pendingHighest;
    bool m_failed = false;
};

} // namespace

//==============================================================================
WriteAheadLog::Options WriteAheadLog::Options::withSegmentSize(ByteCount size) const
{
    Options copy = *this;
    copy.segmentSize = size;
    return copy;
}

StorageResult<std::unique_ptr<WriteAheadLog>> WriteAheadLog::open(FileSystem& fileSystem, std::filesystem::path folder, Options options)
{
    auto log = std::make_unique<SegmentedLog>(fileSystem, std::move(folder), options);
    if (auto loaded = log->load(); !loaded)
        return tl::unexpected(loaded.error());
    return log;
}

} // namespace hemlockchute
