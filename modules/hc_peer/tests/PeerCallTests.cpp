#include "PeerFixture.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;
namespace asio = boost::asio;

BOOST_AUTO_TEST_SUITE(PeerCallTests)

BOOST_AUTO_TEST_CASE(CallsAndAnswers)
{
    RunningContext running;
    PeerServer server(running.context, identity("b"));
    server.handle(PeerMethod::Propose, echo);
    Endpoint endpoint = *server.listen(anyLoopbackPort);
    PeerClient client(running.context, identity("a"), {});
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(callAndWait(client, endpoint, PeerMethod::Propose, std::to_string(i)).value() == std::to_string(i) + " from a");
}

BOOST_AUTO_TEST_CASE(TwoProcessesCallEachOther)
{
    RunningContext one;
    RunningContext two;
    PeerServer serverOne(one.context, identity("one"));
    PeerServer serverTwo(two.context, identity("two"));
    serverOne.handle(PeerMethod::PromiseTerm, echo);
    serverTwo.handle(PeerMethod::PromiseTerm, echo);
    Endpoint endpointOne = *serverOne.listen(anyLoopbackPort);
    Endpoint endpointTwo = *serverTwo.listen(anyLoopbackPort);
    PeerClient clientOne(one.context, identity("one"), {});
    PeerClient clientTwo(two.context, identity("two"), {});
    BOOST_TEST(callAndWait(clientOne, endpointTwo, PeerMethod::PromiseTerm, "x").value() == "x from one");
    BOOST_TEST(callAndWait(clientTwo, endpointOne, PeerMethod::PromiseTerm, "y").value() == "y from two");
}

BOOST_AUTO_TEST_CASE(CoroutinesWaitForReplies)
{
    RunningContext running;
    PeerServer server(running.context, identity("b"));
    server.handle(PeerMethod::Propose, echo);
    Endpoint endpoint = *server.listen(anyLoopbackPort);
    PeerClient client(running.context, identity("a"), {});
    std::promise<Reply> replied;
    asio::co_spawn(
        running.context, [&]() -> asio::awaitable<void> {
            Reply reply = co_await client.call(endpoint, PeerMethod::Propose, "z", generousTimeout);
            replied.set_value(reply);
        },
        asio::detached);
    BOOST_TEST(replied.get_future().get().value() == "z from a");
}

BOOST_AUTO_TEST_CASE(RepliesMayComeFromAnyThreadAndOutOfOrder)
{
    RunningContext running;
    PeerServer server(running.context, identity("b"));
    std::promise<PeerCall> held;
    server.handle(PeerMethod::ReadRun, [&](PeerCall call) { held.set_value(std::move(call)); });
    server.handle(PeerMethod::Propose, echo);
    Endpoint endpoint = *server.listen(anyLoopbackPort);
    PeerClient client(running.context, identity("a"), {});
    std::promise<Reply> first;
    client.call(endpoint, PeerMethod::ReadRun, "first", generousTimeout, [&](Reply reply) { first.set_value(std::move(reply)); });
    PeerCall call = held.get_future().get();
    BOOST_TEST(callAndWait(client, endpoint, PeerMethod::Propose, "second").has_value());
    std::thread([&] {
        call.reply(ByteString("late"));
        call.reply(ByteString("twice"));
    }).join();
    BOOST_TEST(first.get_future().get().value() == "late");
}

BOOST_AUTO_TEST_CASE(ACallThatIsNeverAnsweredTimesOut)
{
    RunningContext running;
    PeerServer server(running.context, identity("b"));
    server.handle(PeerMethod::Propose, [](PeerCall) {});
    Endpoint endpoint = *server.listen(anyLoopbackPort);
    PeerClient client(running.context, identity("a"), {});
    Reply reply = callAndWait(client, endpoint, PeerMethod::Propose, "x", 300ms);
    BOOST_REQUIRE(!reply);
    BOOST_CHECK(reply.error().code == PeerErrorCode::TimedOut);
}

BOOST_AUTO_TEST_CASE(AMethodThatIsNotServedIsRejected)
{
    RunningContext running;
    PeerServer server(running.context, identity("b"));
    server.handle(PeerMethod::ReadRun, [](PeerCall call) { call.reply(failure(PeerErrorCode::Rejected, "unreadable")); });
    Endpoint endpoint = *server.listen(anyLoopbackPort);
    PeerClient client(running.context, identity("a"), {});
    BOOST_CHECK(callAndWait(client, endpoint, PeerMethod::Propose, "x").error().code == PeerErrorCode::Rejected);
    Reply refused = callAndWait(client, endpoint, PeerMethod::ReadRun, "x");
    BOOST_CHECK(refused.error().code == PeerErrorCode::Rejected);
    BOOST_TEST(refused.error().detail == "unreadable");
}

BOOST_AUTO_TEST_CASE(LargePayloadsPassAndTooLargeOnesAreRejected)
{
    RunningContext running;
    PeerServer server(running.context, identity("b"));
    server.handle(PeerMethod::Agreement, [](PeerCall call) { call.reply(call.payload); });
    Endpoint endpoint = *server.listen(anyLoopbackPort);
    PeerClient client(running.context, identity("a"), {});
    ByteString large(24U << 20U, 'x');
    BOOST_CHECK(callAndWait(client, endpoint, PeerMethod::Agreement, large).value() == large);
    BOOST_CHECK(callAndWait(client, endpoint, PeerMethod::Agreement, ByteString(33U << 20U, 'x')).error().code == PeerErrorCode::Rejected);
}

BOOST_AUTO_TEST_CASE(ARefusedConnectionIsUnreachable)
{
    RunningContext running;
    Endpoint endpoint;
    {
        PeerServer server(running.context, identity("b"));
        endpoint = *server.listen(anyLoopbackPort);
    }
    PeerClient client(running.context, identity("a"), {});
    BOOST_CHECK(callAndWait(client, endpoint, PeerMethod::Propose, "x").error().code == PeerErrorCode::Unreachable);
}

BOOST_AUTO_TEST_CASE(TheClientReconnectsToARestartedServer)
{
    RunningContext running;
    PeerClient client(running.context, identity("a"), {});
    Endpoint endpoint = anyLoopbackPort;
    for (int incarnation = 0; incarnation < 4; ++incarnation) {
        PeerServer server(running.context, identity("b"));
        server.handle(PeerMethod::Propose, echo);
        endpoint = *server.listen(endpoint);
        Reply reply = callAndWait(client, endpoint, PeerMethod::Propose, "x");
        while (!reply)
            reply = callAndWait(client, endpoint, PeerMethod::Propose, "x");
        BOOST_TEST(reply.value() == "x from a");
    }
}

BOOST_AUTO_TEST_CASE(ACallInProgressFailsWhenTheServerCloses)
{
    RunningContext running;
    PeerServer server(running.context, identity("b"));
    std::promise<void> started;
    server.handle(PeerMethod::Propose, [&](PeerCall) { started.set_value(); });
    Endpoint endpoint = *server.listen(anyLoopbackPort);
    PeerClient client(running.context, identity("a"), {});
    std::promise<Reply> replied;
    client.call(endpoint, PeerMethod::Propose, "x", generousTimeout, [&](Reply reply) { replied.set_value(std::move(reply)); });
    started.get_future().get();
    server.close();
    BOOST_CHECK(replied.get_future().get().error().code == PeerErrorCode::ConnectionLost);
}

BOOST_AUTO_TEST_CASE(ACallInProgressFailsWhenTheClientIsDestroyed)
{
    RunningContext running;
    PeerServer server(running.context, identity("b"));
    std::promise<void> started;
    server.handle(PeerMethod::Propose, [&](PeerCall) { started.set_value(); });
    Endpoint endpoint = *server.listen(anyLoopbackPort);
    std::promise<Reply> replied;
    {
        PeerClient client(running.context, identity("a"), {});
        client.call(endpoint, PeerMethod::Propose, "x", generousTimeout, [&](Reply reply) { replied.set_value(std::move(reply)); });
        started.get_future().get();
    }
    BOOST_CHECK(replied.get_future().get().error().code == PeerErrorCode::ConnectionLost);
}

BOOST_AUTO_TEST_CASE(AContextMayBeDestroyedBeforeItsClientsAndServers)
{
    auto running = std::make_unique<RunningContext>();
    PeerServer server(running->context, identity("b"));
    std::promise<void> started;
    PeerReply late;
    server.handle(PeerMethod::Propose, [&](PeerCall call) {
        late = call.reply;
        started.set_value();
    });
    Endpoint endpoint = *server.listen(anyLoopbackPort);
    PeerClient client(running->context, identity("a"), {});
    std::atomic<bool> isReplied { false };
    client.call(endpoint, PeerMethod::Propose, "x", generousTimeout, [&](Reply) { isReplied = true; });
    started.get_future().get();
    running.reset();
    late(ByteString("too late"));
    BOOST_TEST(!isReplied);
}

BOOST_AUTO_TEST_SUITE_END()
