/*
    hc_storage: crash-safe storage.

    A write-ahead log of checksummed records and a store of snapshots, on a small file system
    interface that tests replace with one that crashes and loses writes.
*/
#pragma once

#include "hemlockchute/storage/SnapshotStore.h"
#include "hemlockchute/storage/StorageError.h"
#include "hemlockchute/storage/WriteAheadLog.h"
