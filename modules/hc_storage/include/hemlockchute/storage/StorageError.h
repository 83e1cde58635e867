#pragma once

#include "hemlockchute/core/Errors.h"

namespace hemlockchute {

enum class StorageErrorCode {
    /** The folder or file does not exist, or cannot be opened. */
    Unavailable,
    DiskFull,
    WriteFailed,
    /** A sync failed: writes since the last successful sync may be lost, even if a later sync succeeds. */
    SyncFailed,
    /** A file is damaged in another way than by a torn tail; the detail names file and offset. */
    Damaged
};

template <typename T>
using StorageResult = Result<T, StorageErrorCode>;

} // namespace hemlockchute
