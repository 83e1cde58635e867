#include "hemlockchute/http/http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace hemlockchute;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t bodyBytes = 8U << 20U;
constexpr std::chrono::milliseconds acknowledgeTimeout { 300 };

/** A server that reads nothing for a while, so that its receive buffer is full, and then goes on. */
asio::awaitable<void> answerAfterPause(tcp::acceptor& acceptor)
{
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::use_awaitable);
    asio::steady_timer timer(co_await asio::this_coro::executor, 4 * acknowledgeTimeout);
    co_await timer.async_wait(asio::use_awaitable);
    boost::system::error_code error;
    while (!error && request.size() < bodyBytes)
        co_await asio::async_read(socket, asio::dynamic_buffer(request), asio::transfer_at_least(1), asio::redirect_error(asio::use_awaitable, error));
    co_await asio::async_write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")), asio::redirect_error(asio::use_awaitable, error));
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpLongBodyTests)

/** Its host acknowledges every probe; only the process is silent. */
BOOST_AUTO_TEST_CASE(aServerThatPausesWithinALongBodyKeepsItsConnection)
{
    asio::io_context context;
    HttpClient client { HttpClient::Options().withAcknowledgeTimeout(acknowledgeTimeout) };
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    asio::co_spawn(context, answerAfterPause(acceptor), asio::detached);
    HttpRequest request { "POST", "/x", {}, ByteString(bodyBytes, 'x') };
    auto result = asio::co_spawn(context, client.send(acceptor.local_endpoint(), std::move(request), currentTime() + 5s), asio::use_future);
    context.run();
    auto answer = result.get();
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
