#include "TemporaryFolder.h"
#include "hemlockchute/agreement/ReplicatedGroup.h"
#include "hemlockchute/agreement/agreement.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace hemlockchute;

namespace {

/** The system's files; from one operation on so many writes, syncs and renames fail. Thread safety: any thread. */
class FaultingFileSystem : public FileSystem {
public:
    /** The operations from this one on fail, so many of them. */
    void failFrom(unsigned operation, unsigned count)
    {
        m_first = m_done + operation;
        m_last = m_first + count;
    }
    unsigned done() const { return m_done; }

    StorageResult<void> createFolder(const std::filesystem::path& path) override { return m_system.createFolder(path); }
    StorageResult<std::vector<std::string>> list(const std::filesystem::path& folder) override { return m_system.list(folder); }
    StorageResult<ByteString> read(const std::filesystem::path& path) override { return m_system.read(path); }
    StorageResult<void> truncate(const std::filesystem::path& path, std::uint64_t size) override { return isDue() ? refused() : m_system.truncate(path, size); }
    StorageResult<void> rename(const std::filesystem::path& from, const std::filesystem::path& to) override { return isDue() ? refused() : m_system.rename(from, to); }
    StorageResult<void> remove(const std::filesystem::path& path) override { return isDue() ? refused() : m_system.remove(path); }
    StorageResult<void> syncFolder(const std::filesystem::path& path) override { return isDue() ? refused() : m_system.syncFolder(path); }

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

        /** Half of what does not fit is written. */
        StorageResult<void> append(std::string_view bytes) override
        {
            if (!m_owner.isDue())
                return m_file->append(bytes);
            if (auto written = m_file->append(bytes.substr(0, bytes.size() / 2)); !written)
                return written;
            return refused();
        }

        StorageResult<void> sync() override { return m_owner.isDue() ? refused() : m_file->sync(); }

    private:
        std::unique_ptr<AppendFile> m_file;
        FaultingFileSystem& m_owner;
    };

    static StorageResult<void> refused() { return failure(StorageErrorCode::DiskFull, "no space left"); }

    bool isDue()
    {
        unsigned number = m_done++;
        return number >= m_first && number < m_last;
    }

    FileSystem& m_system = FileSystem::system();
    std::atomic<unsigned> m_done { 0 };
    std::atomic<unsigned> m_first { ~0U };
    std::atomic<unsigned> m_last { ~0U };
};

/** The commands that were applied, in their order. */
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

/** A group of one voter over a folder. */
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
        GroupHooks hooks { [](const AgreementMessage&) {}, [] {}, [this](EventId, const std::string& reason) { end(reason); }, open };
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

    /** Lets it become leader and waits for that. */
    bool leads()
    {
        for (int i = 0; i < 2000 && !m_group->isLeader(); ++i) {
            m_group->tick();
            std::this_thread::sleep_for(1ms);
        }
        return m_group->isLeader();
    }

    CommandList state;

private:
    [[noreturn]] static void end(const std::string& reason)
    {
        BOOST_TEST_MESSAGE(reason);
        std::abort();
    }

    SuspendAwareClock m_clock;
    std::unique_ptr<ReplicatedGroup> m_group;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicatedGroupTests)

/** Each operation of the storage is tried as the first that fails, compactions included. */
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
                BOOST_REQUIRE(voter.leads());
                unsigned begun = files.done();
                files.failFrom(first, failures);
                for (unsigned number = 0; number < commands; ++number) {
                    std::string command = "c" + std::to_string(number);
                    // What was given up may have been agreed on; it is put again.
                    GroupReply reply;
                    while (reply.kind != GroupReply::Kind::Answered) {
                        BOOST_REQUIRE(voter.leads());
                        reply = voter.propose(command);
                    }
                }
                operations = std::max(operations, files.done() - begun);
                std::string seen = voter.state.commands();
                for (unsigned number = 0; number < commands; ++number)
                    BOOST_TEST(seen.find("c" + std::to_string(number) + ";") != std::string::npos);
            }
            files.failFrom(0, 0);
            OneVoter again(files, folder.path);
            BOOST_REQUIRE(again.leads());
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
