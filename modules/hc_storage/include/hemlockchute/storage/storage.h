/*
    hc_storage: files that survive a crash.

    A write-ahead log of checksummed records and snapshots, behind a small file interface that
    tests replace with one that crashes and loses writes.
*/
#pragma once

#include "hemlockchute/storage/SnapshotStore.h"
#include "hemlockchute/storage/StorageError.h"
#include "hemlockchute/storage/WriteAheadLog.h"
