#include "CrashingFileSystem.h"
#include "PropertyCheck.h"
#include "hemlockchute/storage/storage.h"

#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace hemlockchute;
using Fault = CrashingFileSystem::Fault;

namespace {

const std::filesystem::path folder = "log";
const auto smallSegments = WriteAheadLog::Options().withSegmentSize(ByteCount(200));

LogRecord record(std::uint64_t index, std::size_t size = 40)
{
    return { LogIndex(index), ByteString(size, static_cast<char>('a' + index % 26)) };
}

std::unique_ptr<WriteAheadLog> openLog(FileSystem& fileSystem, const std::filesystem::path& where = folder)
{
    auto log = WriteAheadLog::open(fileSystem, where, smallSegments);
    BOOST_REQUIRE_MESSAGE(log, log.error().detail);
    return std::move(*log);
}

/** Writes records in a batch each. */
void fill(WriteAheadLog& log, std::uint64_t first, std::uint64_t last)
{
    for (std::uint64_t index = first; index <= last; ++index) {
        BOOST_REQUIRE(log.append(record(index)));
        BOOST_REQUIRE(log.sync());
    }
}

/** A folder in the system's temporary folder, removed at the end of the scope. */
struct TemporaryFolder {
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "hc_storage_XXXXXX").string();
        path = ::mkdtemp(name.data());
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    std::filesystem::path path;
};

} // namespace

BOOST_AUTO_TEST_SUITE(WriteAheadLogTests)

BOOST_AUTO_TEST_CASE(recordsSurviveReopeningOnTheSystemsFiles)
{
    TemporaryFolder temporary;
    fill(*openLog(FileSystem::system(), temporary.path / "a" / "log"), 1, 20);
    auto log = openLog(FileSystem::system(), temporary.path / "a" / "log");
    BOOST_REQUIRE(log->records().size() == 20U);
    BOOST_TEST((log->records().back() == record(20)));
    BOOST_REQUIRE(log->truncateFrom(LogIndex(15)));
    BOOST_REQUIRE(log->dropThrough(LogIndex(8)));
    fill(*log, 15, 16);
    log = openLog(FileSystem::system(), temporary.path / "a" / "log");
    BOOST_TEST(log->records().back().index == LogIndex(16));
    BOOST_TEST(log->records().front().index > LogIndex(1));
}

BOOST_AUTO_TEST_CASE(syncFailsOnceTheFolderIsRemoved)
{
    TemporaryFolder temporary;
    auto log = openLog(FileSystem::system(), temporary.path / "log");
    fill(*log, 1, 2);
    std::filesystem::remove_all(temporary.path / "log");
    BOOST_REQUIRE(log->append(record(3)));
    auto synced = log->sync();
    BOOST_REQUIRE(!synced);
    BOOST_TEST((synced.error().code == StorageErrorCode::Unavailable));
}

BOOST_AUTO_TEST_CASE(damageInTheMiddleIsRefusedWithFileAndOffset)
{
    CrashingFileSystem fileSystem;
    fill(*openLog(fileSystem), 1, 3);
    std::filesystem::path segment = folder / "00000000000000000001.wal";
    fileSystem.flipBit(segment, 50);
    auto log = WriteAheadLog::open(fileSystem, folder, smallSegments);
    BOOST_REQUIRE(!log);
    BOOST_TEST((log.error().code == StorageErrorCode::Damaged));
    BOOST_TEST(log.error().detail.find(segment.string() + ": offset 0") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(damageInAnEarlierSegmentIsRefused)
{
    CrashingFileSystem fileSystem;
    fill(*openLog(fileSystem), 1, 10);
    std::filesystem::path segment = folder / "00000000000000000001.wal";
    fileSystem.flipBit(segment, fileSystem.read(segment)->size() - 1);
    BOOST_TEST(!WriteAheadLog::open(fileSystem, folder, smallSegments));
}

BOOST_AUTO_TEST_CASE(failedSyncIsNeverRetried)
{
    CrashingFileSystem fileSystem;
    auto log = openLog(fileSystem);
    fill(*log, 1, 2);
    fileSystem.failAfter(0, Fault::SyncFails);
    BOOST_REQUIRE(log->append(record(3)));
    auto synced = log->sync();
    BOOST_REQUIRE(!synced);
    BOOST_TEST((synced.error().code == StorageErrorCode::SyncFailed));
    BOOST_TEST(!log->sync());
    BOOST_TEST(!log->append(record(4)));
    BOOST_TEST(openLog(fileSystem)->records().size() == 2U);
}

BOOST_AUTO_TEST_CASE(fullDiskLosesNoSyncedRecord)
{
    CrashingFileSystem fileSystem;
    auto log = openLog(fileSystem);
    fill(*log, 1, 2);
    fileSystem.failAfter(0, Fault::DiskFull);
    BOOST_REQUIRE(log->append(record(3)));
    auto synced = log->sync();
    BOOST_REQUIRE(!synced);
    BOOST_TEST((synced.error().code == StorageErrorCode::DiskFull));
    auto reopened = openLog(fileSystem);
    BOOST_TEST(reopened->records().size() == 2U);
    fill(*reopened, 3, 3);
    BOOST_TEST(openLog(fileSystem)->records().size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

//==============================================================================
namespace {

/** A reference model of the log. */
struct LogOracle {
    std::map<LogIndex, ByteString> synced;
    std::map<LogIndex, ByteString> buffered;
    LogIndex dropped;

    LogIndex last() const { return buffered.empty() ? dropped : buffered.rbegin()->first; }

    static bool agrees(const std::map<LogIndex, ByteString>& expected, const std::vector<LogRecord>& found, LogIndex dropped)
    {
        std::map<LogIndex, ByteString> above;
        for (const LogRecord& item : found) {
            if (item.index > dropped)
                above[item.index] = item.payload;
        }
        auto first = expected.upper_bound(dropped);
        return std::equal(first, expected.end(), above.begin(), above.end());
    }
};

/** Runs random operations with random faults and compares the log with the oracle after each reopening. */
class LogRun {
public:
    void run(std::size_t steps)
    {
        reopen();
        for (std::size_t step = 0; step < steps; ++step) {
            if (*rc::gen::inRange(0, 6) == 0)
                m_fileSystem.failAfter(*rc::gen::inRange(0U, 12U), *rc::gen::element(Fault::Crash, Fault::Kill, Fault::DiskFull, Fault::SyncFails));
            if (!runOperation(*rc::gen::inRange(0, 10)))
                recover();
        }
    }

private:
    bool runOperation(int kind)
    {
        if (kind < 5)
            return append();
        if (kind == 5)
            return truncate();
        if (kind == 6)
            return drop();
        if (kind == 7)
            return stop();
        return sync();
    }

    /** Ends the process, or cuts the machine's power, between two operations. */
    bool stop()
    {
        if (*rc::gen::arbitrary<bool>())
            m_fileSystem.restart(*rc::gen::arbitrary<std::uint64_t>());
        return false;
    }

    bool append()
    {
        LogIndex index = m_oracle.last().next();
        ByteString payload(*rc::gen::inRange<std::size_t>(0, 90), static_cast<char>(*rc::gen::inRange('a', 'z')));
        m_oracle.buffered[index] = payload;
        return m_log->append({ index, payload }).has_value();
    }

    bool truncate()
    {
        LogIndex from(*rc::gen::inRange(m_oracle.dropped.value() + 1, m_oracle.last().value() + 2));
        m_oracle.buffered.erase(m_oracle.buffered.lower_bound(from), m_oracle.buffered.end());
        return m_log->truncateFrom(from).has_value();
    }

    bool drop()
    {
        LogIndex lastSynced = m_oracle.synced.empty() ? m_oracle.dropped : m_oracle.synced.rbegin()->first;
        std::uint64_t most = std::min(lastSynced, m_oracle.last()).value();
        m_oracle.dropped = std::max(m_oracle.dropped, LogIndex(*rc::gen::inRange<std::uint64_t>(0, most + 1)));
        return m_log->dropThrough(m_oracle.dropped).has_value();
    }

    bool sync()
    {
        m_unconfirmedSync = m_oracle.buffered;
        if (!m_log->sync())
            return false;
        m_oracle.synced = m_oracle.buffered;
        m_unconfirmedSync.reset();
        return true;
    }

    void recover()
    {
        if (m_fileSystem.hasStopped())
            m_fileSystem.restart(*rc::gen::arbitrary<std::uint64_t>());
        reopen();
    }

    void reopen()
    {
        m_log.reset();
        auto log = WriteAheadLog::open(m_fileSystem, folder, smallSegments);
        while (!log && log.error().code != StorageErrorCode::Damaged) {
            if (m_fileSystem.hasStopped())
                m_fileSystem.restart(*rc::gen::arbitrary<std::uint64_t>());
            log = WriteAheadLog::open(m_fileSystem, folder, smallSegments);
        }
        if (!log)
            RC_FAIL("not opened: " + log.error().detail);
        m_log = std::move(*log);
        verifyRecovered();
    }

    void verifyRecovered()
    {
        if (m_unconfirmedSync && LogOracle::agrees(*m_unconfirmedSync, m_log->records(), m_oracle.dropped))
            m_oracle.synced = *m_unconfirmedSync;
        m_unconfirmedSync.reset();
        RC_ASSERT(LogOracle::agrees(m_oracle.synced, m_log->records(), m_oracle.dropped));
        m_oracle.buffered = m_oracle.synced;
    }

    CrashingFileSystem m_fileSystem;
    std::unique_ptr<WriteAheadLog> m_log;
    LogOracle m_oracle;
    std::optional<std::map<LogIndex, ByteString>> m_unconfirmedSync;
};

} // namespace

BOOST_AUTO_TEST_SUITE(StorageFuzz)

BOOST_AUTO_TEST_CASE(logHoldsExactlyWhatWasSynced)
{
    checkProperty("the log holds exactly what was synced", 1000, [] { LogRun().run(100); });
}

BOOST_AUTO_TEST_CASE(snapshotReplacementIsAtomic)
{
    checkProperty("a snapshot is replaced whole or not at all", 400, [] {
        CrashingFileSystem fileSystem;
        SnapshotStore store(fileSystem, folder);
        std::optional<ByteString> held;
        for (int step = 0; step < 20; ++step) {
            ByteString bytes(*rc::gen::inRange<std::size_t>(0, 100), static_cast<char>(*rc::gen::inRange('a', 'z')));
            fileSystem.failAfter(*rc::gen::inRange(0U, 14U), *rc::gen::element(Fault::Crash, Fault::Kill, Fault::DiskFull, Fault::SyncFails));
            bool written = store.write("state", bytes).has_value();
            if (!written || *rc::gen::inRange(0, 4) == 0)
                fileSystem.restart(*rc::gen::arbitrary<std::uint64_t>());
            auto found = store.read("state");
            while (!found && found.error().code != StorageErrorCode::Damaged) {
                fileSystem.restart(*rc::gen::arbitrary<std::uint64_t>());
                found = store.read("state");
            }
            RC_ASSERT(found.has_value());
            RC_ASSERT(*found == bytes || (!written && *found == held));
            held = *found;
        }
    });
}

BOOST_AUTO_TEST_CASE(damagedSnapshotIsRefused)
{
    CrashingFileSystem fileSystem;
    SnapshotStore store(fileSystem, folder);
    BOOST_REQUIRE(store.write("state", "value"));
    fileSystem.flipBit(folder / "state.snapshot", 33);
    auto found = store.read("state");
    BOOST_REQUIRE(!found);
    BOOST_TEST((found.error().code == StorageErrorCode::Damaged));
}

BOOST_AUTO_TEST_SUITE_END()
