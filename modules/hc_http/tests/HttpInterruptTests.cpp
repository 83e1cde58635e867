#include "hemlockchute/http/http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace hemlockchute;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string body = "5\r\none, \r\n3\r\ntwo\r\n0\r\n\r\n";

asio::awaitable<void> pause(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

/** A server that pauses once within its answer. */
asio::awaitable<void> answerWithPause(tcp::acceptor& acceptor, std::size_t split)
{
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::use_awaitable);
    std::string first = (head + body).substr(0, split);
    std::string rest = (head + body).substr(split);
    co_await asio::async_write(socket, asio::buffer(first), asio::use_awaitable);
    co_await pause(20ms);
    co_await asio::async_write(socket, asio::buffer(rest), asio::use_awaitable);
    co_await pause(20ms);
}

struct Received {
    std::string body;
    unsigned interruptions = 0;
    bool isComplete = false;
};

asio::awaitable<void> interruptAfter(HttpResponseStream& stream, Duration duration)
{
    co_await pause(duration);
    stream.interrupt();
}

asio::awaitable<Received> receive(HttpClient& client, tcp::endpoint endpoint)
{
    auto executor = co_await asio::this_coro::executor;
    Instant deadline = currentTime() + 2s;
    HttpRequest request;
    request.method = "GET";
    request.target = "/x";
    auto stream = co_await client.begin(endpoint, std::move(request), deadline);
    Received received;
    if (!stream)
        co_return received;
    asio::co_spawn(executor, interruptAfter(**stream, 10ms), asio::detached);
    auto readHead = co_await (*stream)->readHead(deadline);
    while (!readHead && readHead.error().code == HttpClientErrorCode::Interrupted) {
        ++received.interruptions;
        readHead = co_await (*stream)->readHead(deadline);
    }
    while (readHead) {
        auto piece = co_await (*stream)->read(deadline);
        bool isInterrupted = !piece && piece.error().code == HttpClientErrorCode::Interrupted;
        received.interruptions += isInterrupted ? 1 : 0;
        if (isInterrupted)
            continue;
        received.isComplete = piece && !*piece;
        if (!piece || !*piece)
            break;
        received.body += **piece;
    }
    co_await pause(20ms);
    co_return received;
}

/** Interrupts the stream while nothing is being read. */
asio::awaitable<unsigned> receiveAfterInterrupt(HttpClient& client, tcp::endpoint endpoint)
{
    Instant deadline = currentTime() + 500ms;
    HttpRequest request;
    request.method = "GET";
    request.target = "/x";
    auto stream = co_await client.open(endpoint, std::move(request), deadline);
    if (!stream)
        co_return 0;
    (*stream)->interrupt();
    unsigned interruptions = 0;
    while (true) {
        auto piece = co_await (*stream)->read(deadline);
        interruptions += !piece && piece.error().code == HttpClientErrorCode::Interrupted ? 1 : 0;
        if (piece && !*piece)
            break;
        if (!piece && piece.error().code != HttpClientErrorCode::Interrupted)
            co_return 0;
    }
    co_return interruptions;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpInterruptTests)

/** Otherwise the interruption would be lost, and with it the move to another server. */
BOOST_AUTO_TEST_CASE(anInterruptionBetweenTwoReadsIsNotLost)
{
    asio::io_context context;
    HttpClient client { HttpClient::Options() };
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    asio::co_spawn(context, answerWithPause(acceptor, head.size()), asio::detached);
    auto result = asio::co_spawn(context, receiveAfterInterrupt(client, acceptor.local_endpoint()), asio::use_future);
    context.run();
    BOOST_TEST(result.get() == 1U);
}

/** The answer is split at each byte, so that the interruption comes within header lines, chunk sizes and ends of chunks too. */
BOOST_AUTO_TEST_CASE(anInterruptedReadLosesNothing)
{
    for (std::size_t split = 0; split < head.size() + body.size(); ++split) {
        asio::io_context context;
        HttpClient client { HttpClient::Options() };
        tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        asio::co_spawn(context, answerWithPause(acceptor, split), asio::detached);
        auto result = asio::co_spawn(context, receive(client, acceptor.local_endpoint()), asio::use_future);
        context.run();
        Received received = result.get();
        BOOST_TEST(received.interruptions == 1U, "split at " << split);
        BOOST_TEST(received.isComplete, "split at " << split);
        BOOST_TEST(received.body == "one, two", "split at " << split);
    }
}

BOOST_AUTO_TEST_SUITE_END()
