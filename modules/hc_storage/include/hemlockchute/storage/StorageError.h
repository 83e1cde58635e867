#pragma once

#include "hemlockchute/core/Errors.h"

namespace hemlockchute {

enum class StorageErrorCode {
    /** The folder or file is not there, or cannot be opened. */
    Unavailable,
    DiskFull,
    WriteFailed,
    /** A sync failed: what was written since the last good sync may be lost, and a later sync proves nothing. */
    SyncFailed,
    /** Bytes in the middle of a file are not what was written; the detail names file and offset. */
    Damaged
};

template <typename T>
using StorageResult = Result<T, StorageErrorCode>;

} // namespace hemlockchute
