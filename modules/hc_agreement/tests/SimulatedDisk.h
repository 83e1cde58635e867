#pragma once

#include "CrashingFileSystem.h"
#include "hemlockchute/agreement/KeeperDisk.h"
#include "hemlockchute/agreement/agreement.h"

#include <random>

namespace hemlockchute {

//==============================================================================
/**
    The data folder of a simulated keeper: a KeeperDisk whose writes may stop at any operation.

    Compares each recovered state with a model of what was made durable, and throws
    std::logic_error when they differ. Thread safety: one thread at a time.
*/
class SimulatedDisk {
public:
    SimulatedDisk(IncarnationId, const Membership& initial, std::uint64_t seed);

    IncarnationId incarnation() const { return m_incarnation; }
    void store(const Effects&);
    void compact(const ReplicaSnapshot&);
    /** Stores the effects until an operation meets a crash, a full disk or a sync that fails. The disk has to be reopened. */
    void interrupt(const Effects&);
    RecoveredState reopen();

private:
    struct Model {
        HardState hardState;
        std::optional<ReplicaSnapshot> snapshot;
        std::vector<LogEntry> entries;

        LogIndex base() const { return snapshot ? snapshot->lastIndex : LogIndex(); }
        bool contains(const LogEntry&) const;
        void apply(const Effects&);
    };

    void open();
    void check(const RecoveredState&) const;

    IncarnationId m_incarnation;
    std::mt19937_64 m_random;
    CrashingFileSystem m_files;
    std::unique_ptr<KeeperDisk> m_disk;
    Model m_durable;
    /** What is durable when an interrupted write has been completed. */
    Model m_intended;
};

} // namespace hemlockchute
