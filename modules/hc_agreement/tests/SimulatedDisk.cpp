#include "SimulatedDisk.h"

#include <algorithm>
#include <stdexcept>

namespace hemlockchute {
namespace {

constexpr std::string_view folder = "/data";
/** Small enough that snapshots drop segments. */
constexpr ByteCount segmentSize(400);
/** The most operations of one batch: three values, a log batch and its folder, and some removed segments. */
constexpr unsigned operationsOfABatch = 24;

void require(bool holds, const std::string& what)
{
    if (!holds)
        throw std::logic_error(what);
}

} // namespace

//==============================================================================
bool SimulatedDisk::Model::contains(const LogEntry& entry) const
{
    return std::find(entries.begin(), entries.end(), entry) != entries.end();
}

void SimulatedDisk::Model::apply(const Effects& effects)
{
    hardState = effects.hardState.value_or(hardState);
    if (effects.install) {
        snapshot = effects.install;
        std::erase_if(entries, [&](const LogEntry& entry) { return entry.index <= base(); });
    }
    if (effects.truncateFrom)
        std::erase_if(entries, [&](const LogEntry& entry) { return entry.index >= *effects.truncateFrom; });
    for (const LogEntry& entry : effects.append) {
        LogIndex last = entries.empty() ? base() : entries.back().index;
        require(entry.index == last.next(), "the log has a gap");
        entries.push_back(entry);
    }
}

//==============================================================================
SimulatedDisk::SimulatedDisk(IncarnationId incarnation, const Membership& initial, std::uint64_t seed)
    : m_incarnation(incarnation)
    , m_random(seed)
{
    open();
    if (!initial.voters.empty())
        require(m_disk->bootstrap(initial).has_value(), "the initial membership is not written");
}

void SimulatedDisk::open()
{
    m_disk.reset();
    auto disk = KeeperDisk::open(m_files, folder, m_incarnation, segmentSize);
    require(disk.has_value(), disk ? std::string() : disk.error().detail);
    m_disk = std::move(*disk);
}

void SimulatedDisk::store(const Effects& effects)
{
    require(m_disk->store(effects).has_value(), "a write failed");
    m_durable.apply(effects);
    m_intended = m_durable;
}

void SimulatedDisk::compact(const ReplicaSnapshot& snapshot)
{
    require(m_disk->compact(snapshot).has_value(), "a snapshot is not written");
    m_durable.snapshot = snapshot;
    std::erase_if(m_durable.entries, [&](const LogEntry& entry) { return entry.index <= snapshot.lastIndex; });
    m_intended = m_durable;
}

void SimulatedDisk::interrupt(const Effects& effects)
{
    using Fault = CrashingFileSystem::Fault;
    static constexpr Fault faults[] = { Fault::Crash, Fault::Kill, Fault::DiskFull, Fault::SyncFails };
    Fault fault = faults[m_random() % std::size(faults)];
    m_files.failAfter(static_cast<unsigned>(m_random() % operationsOfABatch), fault);
    // An error is the interruption itself.
    (void)m_disk->store(effects);
    m_intended.apply(effects);
    bool losesUnsynced = fault == Fault::Crash || fault == Fault::Kill;
    if (losesUnsynced)
        m_files.restart(m_random());
    m_files.failAfter(~0U, Fault::None);
}

RecoveredState SimulatedDisk::reopen()
{
    open();
    RecoveredState recovered = m_disk->takeRecovered();
    check(recovered);
    m_durable = { recovered.hardState, recovered.snapshot, recovered.entries };
    m_intended = m_durable;
    return recovered;
}

/** What the interrupted write does not change has to be there, and nothing that was dropped before it. */
void SimulatedDisk::check(const RecoveredState& recovered) const
{
    LogIndex base = recovered.snapshot ? recovered.snapshot->lastIndex : LogIndex();
    require(recovered.hardState == m_durable.hardState || recovered.hardState == m_intended.hardState, "a vote or a term is lost");
    require(base == m_durable.base() || base == m_intended.base(), "a snapshot is lost");
    LogIndex last = base;
    for (const LogEntry& entry : recovered.entries) {
        require(entry.index == last.next(), "the recovered log has a gap");
        require(m_durable.contains(entry) || m_intended.contains(entry), "a dropped entry is back");
        last = entry.index;
    }
    for (const LogEntry& entry : m_durable.entries) {
        bool isRecovered = entry.index <= base || std::find(recovered.entries.begin(), recovered.entries.end(), entry) != recovered.entries.end();
        require(isRecovered || !m_intended.contains(entry), "a durable entry is lost");
    }
}

} // namespace hemlockchute
