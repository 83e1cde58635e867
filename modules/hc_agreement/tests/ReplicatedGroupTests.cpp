#include "TemporaryFolder.h"
#include "hemlockchute/agreement/ReplicatedGroup.h"
#include "hemlockchute/agreement/agreement.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace hemlockchute;

namespace {

/** The system's files, where a run of consecutive writes, syncs, renames and removals fails. Thread safety: any thread. */
class FaultingFileSystem : public FileSystem {
public:
    /** Fails `count` operations, beginning after `operation` more have succeeded. */
    void failFrom(unsigned operation, unsigned count)
    {
        m_firstFailure = m_operationCount + operation;
        m_endOfFailures = m_firstFailure + count;
    }
    unsigned operationCount() const { return m_operationCount; }

    StorageResult<void> createFolder(const std::filesystem::path& path) override { return m_system.createFolder(path); }
    StorageResult<std::vector<std::string>> list(const std::filesystem::path& folder) override { return m_system.list(folder); }
    StorageResult<ByteString> read(const std::filesystem::path& path) override { return m_system.read(path); }
    StorageResult<void> truncate(const std::filesystem::path& path, std::uint64_t size) override { return shouldFail() ? diskFull() : m_system.truncate(path, size); }
    StorageResult<void> rename(const std::filesystem::path& from, const std::filesystem::path& to) override { return shouldFail() ? diskFull() : m_system.rename(from, to); }
    StorageResult<void> remove(const std::filesystem::path& path) override { return shouldFail() ? diskFull() : m_system.remove(path); }
    StorageResult<void> syncFolder(const std::filesystem::path& path) override { return shouldFail() ? diskFull() : m_system.syncFolder(path); }

    StorageResult<std::unique_ptr<AppendFile>> openAppend(const std::filesystem::path& path) override
    {
        auto file = m_system.openAppend(path);
        if (!file)
            return file;
        return std::make_unique<File>(std::move(*file), *this);
    }

private:
    class File : public AppendFile {
    public:
        File(std::unique_ptr<AppendFile> file, FaultingFileSystem& owner)
            : m_file(std::move(file))
            , m_owner(owner)
        {
        }

        /** An append that fails writes half of its bytes. */
        StorageResult<void> append(std::string_view bytes) override
        {
            if (!m_owner.shouldFail())
                return m_file->append(bytes);
            if (auto written = m_file->append(bytes.substr(0, bytes.size() / 2)); !written)
                return written;
            return diskFull();
        }

        StorageResult<void> sync() override { return m_owner.shouldFail() ? diskFull() : m_file->sync(); }

    private:
        std::unique_ptr<AppendFile> m_file;
        FaultingFileSystem& m_owner;
    };

    static StorageResult<void> diskFull() { return failure(StorageErrorCode::DiskFull, "no space left"); }

    bool shouldFail()
    {
        unsigned number = m_operationCount++;
        return number >= m_firstFailure && number < m_endOfFailures;
    }

    FileSystem& m_system = FileSystem::system();
    std::atomic<unsigned> m_operationCount { 0 };
    std::atomic<unsigned> m_firstFailure { ~0U };
    std::atomic<unsigned> m_endOfFailures { ~0U };
};

/** The applied commands, in order. */
class CommandList : public ReplicatedStateMachine {
public:
    Result<void, AgreementErrorCode> restore(std::string_view snapshot) override
    {
        std::lock_guard guard(m_lock);
        m_commands.assign(snapshot);
        return {};
    }
    ByteString snapshot() const override { return commands(); }
    Result<ByteString, AgreementErrorCode> apply(const LogEntry& entry) override
    {
        std::lock_guard guard(m_lock);
        m_commands += entry.payload + ";";
        return entry.payload;
    }
    std::string commands() const
    {
        std::lock_guard guard(m_lock);
        return m_commands;
    }

private:
    mutable std::mutex m_lock;
    std::string m_commands;
};

const KeeperId keeper { 1 };
const IncarnationId incarnation { 7 };

/** A group of a single voter with its data in a folder. */
class OneVoter {
public:
    OneVoter(FileSystem& files, const std::filesystem::path& folder)
    {
        auto open = [&files, folder] { return KeeperDisk::open(files, folder, incarnation); };
        auto disk = open();
        BOOST_REQUIRE_MESSAGE(disk, disk.error().detail);
        ReplicatedGroup::Options options;
        options.replica = Replica::Options().withHeartbeatInterval(2ms).withElectionTimeout(6ms);
        options.entriesBetweenSnapshots = 5;
        options.initialReopenBackoff = 1ms;
        options.maximumReopenBackoff = 2ms;
        GroupHooks hooks { [](const AgreementMessage&) {}, [] {}, [this](EventId, const std::string& reason) { abortTest(reason); }, open };
        m_group = std::make_unique<ReplicatedGroup>(keeper, std::move(*disk), options, m_clock, state, hooks);
        BOOST_REQUIRE(m_group->start());
        Membership founders;
        founders.voters.insert({ keeper, incarnation });
        m_group->bootstrap(founders);
    }
    ~OneVoter() { m_group->stop(); }

    GroupReply propose(const std::string& command)
    {
        auto reply = std::make_shared<std::promise<GroupReply>>();
        m_group->propose(command, [reply](GroupReply answer) { reply->set_value(std::move(answer)); });
        return reply->get_future().get();
    }

    /** Ticks until the voter leads; false when that takes too long. */
    bool waitUntilLeader()
    {
        for (int i = 0; i < 2000 && !m_group->isLeader(); ++i) {
            m_group->tick();
            std::this_thread::sleep_for(1ms);
        }
        return m_group->isLeader();
    }

    CommandList state;

private:
    [[noreturn]] static void abortTest(const std::string& reason)
    {
        BOOST_TEST_MESSAGE(reason);
        std::abort();
    }

    SuspendAwareClock m_clock;
    std::unique_ptr<ReplicatedGroup> m_group;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicatedGroupTests)

/**
    Guards against lost or reordered commands when the disk fills up for a while. Each storage
    operation in turn is the first that fails, those of compactions included.
*/
BOOST_AUTO_TEST_CASE(transientStorageFailureAtAnyOperationLosesNoCommand)
{
    constexpr unsigned commands = 14;
    constexpr unsigned failures = 5;
    unsigned operations = 1;
    for (unsigned first = 0; first < operations; ++first) {
        TemporaryFolder folder;
        FaultingFileSystem files;
        BOOST_TEST_CONTEXT("the operation " << first << " after the start fails")
        {
            {
                OneVoter voter(files, folder.path);
                BOOST_REQUIRE(voter.waitUntilLeader());
                unsigned startCount = files.operationCount();
                files.failFrom(first, failures);
                for (unsigned number = 0; number < commands; ++number) {
                    std::string command = "c" + std::to_string(number);
                    // A proposal with an unknown outcome may have committed; it is repeated all the same.
                    GroupReply reply;
                    while (reply.kind != GroupReply::Kind::Answered) {
                        BOOST_REQUIRE(voter.waitUntilLeader());
                        reply = voter.propose(command);
                    }
                }
                operations = std::max(operations, files.operationCount() - startCount);
                std::string seen = voter.state.commands();
                for (unsigned number = 0; number < commands; ++number)
                    BOOST_TEST(seen.find("c" + std::to_string(number) + ";") != std::string::npos);
            }
            files.failFrom(0, 0);
            OneVoter again(files, folder.path);
            BOOST_REQUIRE(again.waitUntilLeader());
            BOOST_REQUIRE(again.propose("last").kind == GroupReply::Kind::Answered);
            std::string seen = again.state.commands();
            std::size_t from = 0;
            for (unsigned number = 0; number < commands; ++number) {
                std::size_t at = seen.find("c" + std::to_string(number) + ";", from);
                BOOST_TEST(at != std::string::npos, "command " << number << " is lost or out of order in " << seen);
                from = at == std::string::npos ? from : at;
            }
        }
    }
    BOOST_TEST(operations > commands);
}

BOOST_AUTO_TEST_SUITE_END()
