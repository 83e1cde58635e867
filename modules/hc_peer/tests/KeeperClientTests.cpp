#include "PeerFixture.h"
#include "hemlockchute/peer/KeeperClient.h"
#include "hemlockchute/state/CommandCodec.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;
namespace asio = boost::asio;

namespace {

using ProposeResult = Result<Answer, KeeperClientErrorCode>;

/** A keeper whose replies are given by the test's handler. */
struct FakeKeeper {
    FakeKeeper(asio::io_context& context, std::function<void(PeerCall)> handler)
        : server(context, identity("keeper"))
    {
        server.handle(PeerMethod::Propose, handler);
        server.handle(PeerMethod::ReadRun, handler);
        endpoint = *server.listen(anyLoopbackPort);
    }

    PeerServer server;
    Endpoint endpoint;
};

void replyWith(const PeerCall& call, const KeeperReply& reply)
{
    call.reply(encodeKeeperReply(reply));
}

std::function<void(PeerCall)> redirectTo(std::uint64_t leader)
{
    return [leader](const PeerCall& call) { replyWith(call, { KeeperReply::Kind::NotLeader, KeeperId(leader), {} }); };
}

const TermAnswer granted { true, FencingNumber(7), HostName("a"), 5s };

void grant(const PeerCall& call)
{
    replyWith(call, { KeeperReply::Kind::Answered, KeeperId(), encodeAnswer(granted) });
}

std::vector<KeeperAddress> addresses(const std::vector<Endpoint>& endpoints)
{
    std::vector<KeeperAddress> keepers;
    for (std::size_t i = 0; i < endpoints.size(); ++i)
        keepers.push_back({ KeeperId(i + 1), HostName("keeper"), DataCentreName("d"), endpoints[i] });
    return keepers;
}

struct TestClient {
    explicit TestClient(std::vector<Endpoint> keepers)
        : client(running.context, identity("a"), PeerClient::Options().withConnectTimeout(200ms))
        , keeperClient(client, addresses(keepers))
    {
    }

    ProposeResult propose(Duration timeout)
    {
        std::promise<ProposeResult> result;
        asio::co_spawn(running.context, run(timeout, result), asio::detached);
        return result.get_future().get();
    }

    asio::awaitable<void> run(Duration timeout, std::promise<ProposeResult>& result)
    {
        AcquireTerm command { DataCentreName("d"), HostName("a"), "attempt", {} };
        ProposeResult answer = co_await keeperClient.propose(command, timeout);
        result.set_value(answer);
    }

    RunningContext running;
    PeerClient client;
    KeeperClient keeperClient;
};

} // namespace

BOOST_AUTO_TEST_SUITE(KeeperClientTests)

BOOST_AUTO_TEST_CASE(FollowsRedirectsToTheLeader)
{
    RunningContext running;
    FakeKeeper one(running.context, redirectTo(3));
    FakeKeeper two(running.context, redirectTo(0));
    FakeKeeper three(running.context, grant);
    TestClient testClient({ one.endpoint, two.endpoint, three.endpoint });
    ProposeResult answer = testClient.propose(generousTimeout);
    BOOST_REQUIRE(answer);
    BOOST_CHECK(std::get<TermAnswer>(*answer) == granted);
}

BOOST_AUTO_TEST_CASE(TriesEveryKeeperWhenSomeAreDownOrKnowNoLeader)
{
    RunningContext running;
    Endpoint down;
    {
        FakeKeeper gone(running.context, grant);
        down = gone.endpoint;
    }
    FakeKeeper two(running.context, redirectTo(0));
    FakeKeeper three(running.context, grant);
    TestClient testClient({ down, two.endpoint, three.endpoint });
    BOOST_TEST(testClient.propose(generousTimeout).has_value());
}

BOOST_AUTO_TEST_CASE(ReportsNotAcceptedOnlyWhenNoKeeperCanHaveAcceptedTheCommand)
{
    RunningContext running;
    FakeKeeper one(running.context, redirectTo(2));
    FakeKeeper two(running.context, redirectTo(1));
    TestClient testClient({ one.endpoint, two.endpoint });
    ProposeResult answer = testClient.propose(300ms);
    BOOST_REQUIRE(!answer);
    BOOST_CHECK(answer.error().code == KeeperClientErrorCode::NotAccepted);
}

BOOST_AUTO_TEST_CASE(ReportsUnknownWhenAKeeperTimedOutOrLostLeadership)
{
    RunningContext running;
    FakeKeeper lost(running.context, [](const PeerCall& call) { replyWith(call, { KeeperReply::Kind::Unknown, KeeperId(), {} }); });
    FakeKeeper silent(running.context, [](const PeerCall&) {});
    FakeKeeper unreadable(running.context, [](const PeerCall& call) { call.reply(ByteString("?")); });
    FakeKeeper redirecting(running.context, redirectTo(0));
    for (const Endpoint& first : { lost.endpoint, silent.endpoint, unreadable.endpoint }) {
        TestClient testClient({ first, redirecting.endpoint });
        ProposeResult answer = testClient.propose(500ms);
        BOOST_REQUIRE(!answer);
        BOOST_CHECK(answer.error().code == KeeperClientErrorCode::Unknown);
    }
}

BOOST_AUTO_TEST_SUITE_END()
