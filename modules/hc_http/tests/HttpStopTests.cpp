#include "Eventually.h"
#include "hemlockchute/http/http.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace hemlockchute;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

const tcp::endpoint anyPort(asio::ip::make_address("127.0.0.1"), 0);

/** A server to stop while requests are in transit. */
struct StoppingServer {
    StoppingServer()
        : server(serverContext, HttpServer::Options().withSingleThread(), [](HttpExchange& exchange) -> asio::awaitable<void> {
            HttpResponse response = HttpResponse::text(200, exchange.request().body + "ok");
            co_await exchange.respond(std::move(response));
        })
        , address(server.listen(anyPort).value())
        , work(asio::make_work_guard(serverContext))
    {
    }

    ~StoppingServer()
    {
        serverContext.stop();
        if (thread.joinable())
            thread.join();
    }

    void run()
    {
        thread = std::thread([this] { serverContext.run(); });
    }

    tcp::socket connect()
    {
        tcp::socket socket(callerContext);
        socket.connect(address);
        return socket;
    }

    static std::string readToEnd(tcp::socket& socket)
    {
        std::string answer;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

    asio::io_context serverContext;
    asio::io_context callerContext;
    HttpServer server;
    tcp::endpoint address;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;
};

const std::string posted = "POST /x HTTP/1.1\r\nContent-Length: 5\r\n\r\nbody ";

/** Stops a server after it has received `before` bytes of a request, then sends the readToEnd. */
void checkStop(bool isUsed, bool isDrained, std::size_t before)
{
    StoppingServer stopping;
    stopping.run();
    tcp::socket socket = stopping.connect();
    BOOST_REQUIRE(eventually([&] { return stopping.server.connectionCount() == 1; }));
    if (isUsed) {
        socket.send(asio::buffer(posted));
        std::string answer;
        asio::read_until(socket, asio::dynamic_buffer(answer), "body ok");
    }
    socket.send(asio::buffer(posted.substr(0, before)));
    std::this_thread::sleep_for(20ms);
    stopping.server.disableKeepAlive();
    std::promise<void> drained;
    if (isDrained)
        stopping.server.drain([&] { drained.set_value(); });
    std::this_thread::sleep_for(50ms);
    boost::system::error_code error;
    asio::write(socket, asio::buffer(posted.substr(before)), error);
    BOOST_TEST(StoppingServer::readToEnd(socket).ends_with("body ok"), "stopped after " << before << " bytes" << (isDrained ? ", draining" : "") << (isUsed ? ", second request" : ""));
    if (isDrained)
        BOOST_TEST((drained.get_future().wait_for(2s) == std::future_status::ready));
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpStopTests)

/** A stop under traffic: the system has completed connections that the server has not accepted yet. They must not be reset. */
BOOST_AUTO_TEST_CASE(connectionsInTheListenQueueAtAStopAreAnswered)
{
    constexpr int callers = 40;
    StoppingServer stopping;
    std::vector<tcp::socket> sockets;
    for (int i = 0; i < callers; ++i) {
        sockets.push_back(stopping.connect());
        sockets.back().send(asio::buffer(posted));
    }
    std::promise<void> drained;
    stopping.server.disableKeepAlive();
    stopping.server.drain([&] { drained.set_value(); });
    stopping.run();
    int answered = 0;
    for (tcp::socket& socket : sockets)
        answered += StoppingServer::readToEnd(socket).ends_with("body ok") ? 1 : 0;
    BOOST_TEST(answered == callers);
    BOOST_TEST((drained.get_future().wait_for(2s) == std::future_status::ready));
}

/** Stops the server while a request has arrived in part, and before the first request on a new connection. */
BOOST_AUTO_TEST_CASE(requestsInTransitAtAStopAreAnswered)
{
    for (bool isUsed : { false, true }) {
        for (bool isDrained : { false, true }) {
            // An idle connection that has served a request may be closed.
            for (std::size_t before : { std::size_t(isUsed ? 1 : 0), std::size_t(3), posted.size() - 5, posted.size() - 2 })
                checkStop(isUsed, isDrained, before);
        }
    }
}

/** An idle connection that has served a request is closed at once, and one that never sends anything does not delay the stop. */
BOOST_AUTO_TEST_CASE(idleConnectionsDoNotDelayAStop)
{
    StoppingServer stopping;
    stopping.run();
    tcp::socket used = stopping.connect();
    used.send(asio::buffer(posted));
    BOOST_TEST(eventually([&] { return used.available() > 0; }));
    tcp::socket unused = stopping.connect();
    BOOST_REQUIRE(eventually([&] { return stopping.server.connectionCount() == 2; }));
    std::promise<void> drained;
    Instant start = std::chrono::steady_clock::now();
    stopping.server.drain([&] { drained.set_value(); });
    BOOST_TEST((drained.get_future().wait_for(2s) == std::future_status::ready));
    BOOST_TEST((std::chrono::steady_clock::now() - start < 1s));
}

BOOST_AUTO_TEST_SUITE_END()
