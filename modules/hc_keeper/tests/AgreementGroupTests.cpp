#include "TemporaryFolder.h"
#include "keeper/AgreementGroup.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace hemlockchute;
namespace asio = boost::asio;

namespace {

template <typename Condition>
bool eventually(Condition condition)
{
    for (int i = 0; i < 2000 && !condition(); ++i)
        std::this_thread::sleep_for(5ms);
    return condition();
}

Command claim(const std::string& key)
{
    Command command;
    command.body = ClaimRun { IdempotencyKey(key), AttemptId("a-" + key), ServiceName("booking"), Digest::of(key), 24h };
    return command;
}

/** A cluster of three groups in one process, which deliver messages to each other in memory. */
class ThreeGroups {
public:
    ThreeGroups()
        : m_work(asio::make_work_guard(m_context))
        , m_pool([this] { m_context.run(); })
    {
        for (std::uint64_t id = 1; id <= 3; ++id)
            open(id);
        Membership all;
        for (auto& [id, group] : m_groups)
            all.voters.insert({ KeeperId(id), group->identity().incarnation });
        for (auto& [id, group] : m_groups)
            group->bootstrap(all);
        m_ticker = std::thread([this] { tickAll(); });
    }

    ~ThreeGroups()
    {
        m_isStopping = true;
        m_ticker.join();
        for (std::uint64_t id = 1; id <= 3; ++id)
            close(id);
        m_context.stop();
        m_pool.join();
    }

    void open(std::uint64_t id)
    {
        auto disk = KeeperDisk::open(FileSystem::system(), m_folder.path / std::to_string(id), IncarnationId(100 + id));
        BOOST_REQUIRE_MESSAGE(disk, disk.error().detail);
        auto replica = Replica::Options().withHeartbeatInterval(20ms).withElectionTimeout(200ms).withSeed(id);
        AgreementGroupHooks hooks { [this](const AgreementMessage& message) { deliver(message); }, [](const DocumentPointer&) {},
            [](EventId, const std::string&) { std::abort(); } };
        auto group = std::make_shared<AgreementGroup>(KeeperId(id), std::move(*disk), AgreementGroup::Options().withReplica(replica).withEntriesBetweenSnapshots(20), m_clock, hooks);
        BOOST_REQUIRE(group->start());
        std::lock_guard guard(m_lock);
        m_groups[id] = group;
    }

    void close(std::uint64_t id)
    {
        std::shared_ptr<AgreementGroup> group = find(id);
        {
            std::lock_guard guard(m_lock);
            m_groups.erase(id);
        }
        if (group)
            group->stop();
    }

    std::shared_ptr<AgreementGroup> find(std::uint64_t id)
    {
        std::lock_guard guard(m_lock);
        auto found = m_groups.find(id);
        return found == m_groups.end() ? nullptr : found->second;
    }

    std::uint64_t leader()
    {
        std::uint64_t found = 0;
        BOOST_REQUIRE(eventually([&] {
            for (std::uint64_t id = 1; id <= 3; ++id) {
                auto group = find(id);
                if (group && group->isLeader())
                    found = id;
            }
            return found != 0;
        }));
        return found;
    }

    /** Proposes at the leader until the command is committed. */
    RunAnswer propose(const Command& command)
    {
        for (int attempt = 0; attempt < 100; ++attempt) {
            auto reply = std::make_shared<std::promise<KeeperReply>>();
            auto group = find(leader());
            if (group)
                group->propose(command, [reply](KeeperReply answer) { reply->set_value(std::move(answer)); });
            KeeperReply answer = group ? reply->get_future().get() : KeeperReply();
            if (answer.kind == KeeperReply::Kind::Answered)
                return std::get<RunAnswer>(decodeAnswer(answer.answer).value());
            std::this_thread::sleep_for(20ms);
        }
        BOOST_FAIL("command was not committed in 100 attempts");
        return {};
    }

    RunAnswer read(const std::string& key)
    {
        for (int attempt = 0; attempt < 100; ++attempt) {
            auto reply = std::make_shared<std::promise<KeeperReply>>();
            find(leader())->readRun(IdempotencyKey(key), [reply](KeeperReply answer) { reply->set_value(std::move(answer)); });
            KeeperReply answer = reply->get_future().get();
            if (answer.kind == KeeperReply::Kind::Answered)
                return std::get<RunAnswer>(decodeAnswer(answer.answer).value());
        }
        BOOST_FAIL("run record was not read in 100 attempts");
        return {};
    }

private:
    void deliver(const AgreementMessage& message)
    {
        asio::post(m_context, [this, message] {
            if (auto group = find(message.to.keeper.value()))
                group->receive(message);
        });
    }

    void tickAll()
    {
        while (!m_isStopping) {
            for (std::uint64_t id = 1; id <= 3; ++id) {
                if (auto group = find(id))
                    group->tick();
            }
            std::this_thread::sleep_for(5ms);
        }
    }

    TemporaryFolder m_folder;
    SystemClock m_clock;
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::mutex m_lock;
    std::map<std::uint64_t, std::shared_ptr<AgreementGroup>> m_groups;
    std::atomic<bool> m_isStopping { false };
    std::thread m_pool;
    std::thread m_ticker;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AgreementGroupTests)

BOOST_AUTO_TEST_CASE(committedCommandsSurviveLeaderLossAndARestart)
{
    ThreeGroups keepers;
    BOOST_TEST((keepers.propose(claim("k0")).state == RunAnswer::State::Claimed));
    BOOST_TEST((keepers.read("k0").state == RunAnswer::State::InProgress));
    std::uint64_t former = keepers.leader();
    keepers.close(former);
    for (int i = 1; i < 60; ++i)
        keepers.propose(claim("k" + std::to_string(i)));
    keepers.open(former);
    BOOST_TEST(eventually([&] { return keepers.find(former)->status().committed >= LogIndex(60); }));
    for (std::uint64_t id = 1; id <= 3; ++id) {
        keepers.close(id);
        keepers.open(id);
    }
    BOOST_TEST((keepers.read("k0").state == RunAnswer::State::InProgress));
    BOOST_TEST((keepers.read("k59").state == RunAnswer::State::InProgress));
    BOOST_TEST((keepers.read("never").state == RunAnswer::State::None));
}

BOOST_AUTO_TEST_CASE(followersRedirectToTheLeader)
{
    ThreeGroups keepers;
    keepers.propose(claim("k"));
    std::uint64_t leader = keepers.leader();
    std::uint64_t follower = leader % 3 + 1;
    std::promise<KeeperReply> reply;
    keepers.find(follower)->propose(claim("other"), [&](KeeperReply answer) { reply.set_value(std::move(answer)); });
    KeeperReply answer = reply.get_future().get();
    BOOST_TEST((answer.kind == KeeperReply::Kind::NotLeader));
    BOOST_TEST((answer.leader == KeeperId(leader) || answer.leader.isNone()));
}

BOOST_AUTO_TEST_SUITE_END()
