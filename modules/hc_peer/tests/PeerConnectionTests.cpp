#include "PeerFixture.h"
#include "peer/Handshake.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace hemlockchute;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/** A server that counts the calls which reach its handler. */
struct CountingServer {
    explicit CountingServer(asio::io_context& context)
        : server(context, identity("b"))
    {
        server.handle(PeerMethod::Propose, [this](PeerCall call) {
            ++calls;
            call.reply(call.payload);
        });
        endpoint = *server.listen(anyLoopbackPort);
    }

    std::atomic<int> calls { 0 };
    PeerServer server;
    Endpoint endpoint;
};

PeerClient::Options quickOptions()
{
    return PeerClient::Options().withHeartbeatInterval(50ms).withHeartbeatTimeout(400ms);
}

/** Sends bytes to a server and waits until it closes the connection. */
void sendUntilClosed(const Endpoint& endpoint, const ByteString& bytes)
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(endpoint);
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::vector<char> buffer(4096);
    while (!error)
        socket.read_some(asio::buffer(buffer), error);
}

/** The first bytes that a PeerClient sends. */
ByteString recordFirstBytes()
{
    RunningContext running;
    asio::io_context context;
    tcp::acceptor acceptor(context, anyLoopbackPort);
    PeerClient client(running.context, identity("a"), {});
    client.call(acceptor.local_endpoint(), PeerMethod::Propose, "x", 200ms, [](const Reply&) {});
    tcp::socket socket = acceptor.accept();
    ByteString bytes;
    std::vector<char> buffer(4096);
    boost::system::error_code error;
    while (!error) {
        std::size_t size = socket.read_some(asio::buffer(buffer), error);
        bytes.append(buffer.data(), size);
    }
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerConnectionTests)

BOOST_AUTO_TEST_CASE(AConnectionWithoutHeartbeatAnswersIsDroppedAndReplaced)
{
    RunningContext running;
    CountingServer counting(running.context);
    BlackholeProxy proxy(running.context, counting.endpoint);
    PeerClient client(running.context, identity("a"), quickOptions());
    BOOST_TEST(callAndWait(client, proxy.endpoint(), PeerMethod::Propose, "x").has_value());
    proxy.blackholeOpenConnections();
    Reply lost = callAndWait(client, proxy.endpoint(), PeerMethod::Propose, "x");
    BOOST_REQUIRE(!lost);
    BOOST_CHECK(lost.error().code == PeerErrorCode::ConnectionLost);
    BOOST_TEST(callAndWait(client, proxy.endpoint(), PeerMethod::Propose, "x").has_value());
    BOOST_TEST(proxy.accepted() == 2U);
}

BOOST_AUTO_TEST_CASE(AServerThatNeverCompletesTheHandshakeIsUnreachableAndRetried)
{
    RunningContext running;
    CountingServer counting(running.context);
    BlackholeProxy proxy(running.context, counting.endpoint);
    asio::io_context context;
    tcp::acceptor acceptor(context, anyLoopbackPort);
    Endpoint endpoint = acceptor.local_endpoint();
    PeerClient client(running.context, identity("a"), quickOptions().withConnectTimeout(100ms));
    for (int i = 0; i < 2; ++i) {
        std::promise<Reply> replied;
        client.call(endpoint, PeerMethod::Propose, "x", generousTimeout, [&](Reply reply) { replied.set_value(std::move(reply)); });
        tcp::socket silent = acceptor.accept();
        BOOST_CHECK(replied.get_future().get().error().code == PeerErrorCode::Unreachable);
    }
}

BOOST_AUTO_TEST_CASE(AnIdleConnectionThatAnswersHeartbeatsIsKept)
{
    RunningContext running;
    CountingServer counting(running.context);
    BlackholeProxy proxy(running.context, counting.endpoint);
    PeerClient client(running.context, identity("a"), quickOptions().withHeartbeatInterval(10ms));
    BOOST_TEST(callAndWait(client, proxy.endpoint(), PeerMethod::Propose, "x").has_value());
    std::this_thread::sleep_for(600ms);
    BOOST_TEST(callAndWait(client, proxy.endpoint(), PeerMethod::Propose, "x").has_value());
    BOOST_TEST(proxy.accepted() == 1U);
}

BOOST_AUTO_TEST_CASE(CallersWithAnotherClusterOrKeyReachNoHandler)
{
    RunningContext running;
    CountingServer counting(running.context);
    PeerClient otherCluster(running.context, identity("a", "other"), {});
    PeerClient otherKey(running.context, identity("a", "test", "another key of the right length"), {});
    BOOST_CHECK(callAndWait(otherCluster, counting.endpoint, PeerMethod::Propose, "x").error().code == PeerErrorCode::NotAuthentic);
    BOOST_CHECK(callAndWait(otherKey, counting.endpoint, PeerMethod::Propose, "x").error().code == PeerErrorCode::NotAuthentic);
    BOOST_TEST(counting.calls == 0);
}

BOOST_AUTO_TEST_CASE(AProofIsValidOnlyForItsSideAndTranscript)
{
    ByteString one = Handshake::newChallenge();
    ByteString two = Handshake::newChallenge();
    Handshake handshake("key", "cluster", "host", "role", one, two);
    BOOST_TEST(handshake.isProof(Handshake::Side::Caller, handshake.proof(Handshake::Side::Caller)));
    BOOST_TEST(!handshake.isProof(Handshake::Side::Caller, handshake.proof(Handshake::Side::Server)));
    BOOST_TEST(!handshake.isProof(Handshake::Side::Caller, ""));
    for (const Handshake& other : { Handshake("kez", "cluster", "host", "role", one, two), Handshake("key", "clusterh", "ost", "role", one, two), Handshake("key", "cluster", "host", "role", two, one) })
        BOOST_TEST(!other.isProof(Handshake::Side::Caller, handshake.proof(Handshake::Side::Caller)));
}

BOOST_AUTO_TEST_CASE(MutatedAndRandomBytesReachNoHandlerAndDoNotStopTheServer)
{
    RunningContext running;
    CountingServer counting(running.context);
    ByteString recorded = recordFirstBytes();
    BOOST_REQUIRE(!recorded.empty());
    std::mt19937 random(7);
    std::vector<std::thread> threads;
    for (int i = 0; i < 40; ++i) {
        ByteString bytes = i % 8 == 0 ? ByteString(random() % 300, '\0') : recorded;
        for (unsigned change = 0; change < 1 + random() % 6 && !bytes.empty(); ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        threads.emplace_back([bytes, endpoint = counting.endpoint] { sendUntilClosed(endpoint, bytes); });
    }
    for (std::thread& thread : threads)
        thread.join();
    BOOST_TEST(counting.calls == 0);
    PeerClient client(running.context, identity("a"), {});
    BOOST_TEST(callAndWait(client, counting.endpoint, PeerMethod::Propose, "x").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
