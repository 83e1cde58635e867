#pragma once

#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/core/Units.h"
#include "hemlockchute/storage/FileSystem.h"
#include "hemlockchute/storage/StorageError.h"

#include <memory>
#include <vector>

namespace hemlockchute {

struct LogRecord {
    LogIndex index;
    ByteString payload;

    friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

//==============================================================================
/**
    An append-only log of checksummed records in segment files of one folder.

    append() only buffers; sync() writes the batch and makes it durable with one sync. After any
    error the log is unusable and must be reopened. Opening truncates a torn tail and refuses
    damage before it. Thread safety: one thread at a time.

    @see SnapshotStore
*/
class WriteAheadLog {
public:
    struct Options {
        /** A new segment is started once the last one is longer than this. */
        ByteCount segmentSize = ByteCount::mebibytes(8);

        Options withSegmentSize(ByteCount) const;
    };

    /** Opens or creates the log in a folder. */
    static StorageResult<std::unique_ptr<WriteAheadLog>> open(FileSystem&, std::filesystem::path folder, Options);
    virtual ~WriteAheadLog() = default;

    /** Every record in the log, in order. */
    virtual const std::vector<LogRecord>& records() const = 0;
    /** Adds a record after the last. Precondition: its index is one above the last, or the log is empty. */
    virtual StorageResult<void> append(LogRecord) = 0;
    /** Drops the records from the index on, as when a new leader overwrites them. */
    virtual StorageResult<void> truncateFrom(LogIndex) = 0;
    /** Deletes the segments that hold only records up to the index, as when a snapshot covers them. */
    virtual StorageResult<void> dropThrough(LogIndex) = 0;
    /** Makes all that was appended and truncated durable. */
    virtual StorageResult<void> sync() = 0;
};

} // namespace hemlockchute
