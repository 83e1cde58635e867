#include "Eventually.h"
#include "hemlockchute/http/http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <mutex>
#include <stdexcept>
#include <thread>

using namespace hemlockchute;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

const tcp::endpoint anyPort(asio::ip::make_address("127.0.0.1"), 0);

const HttpHeaders plainText { { "Content-Type", "text/plain" } };

std::atomic<bool> isHolding { false };
std::atomic<bool> isReleased { false };

asio::awaitable<void> holdUntilReleased(HttpExchange& exchange)
{
    isHolding = true;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!isReleased) {
        timer.expires_after(5ms);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_await exchange.respond(HttpResponse::text(200, "held"));
}

asio::awaitable<void> answer(HttpExchange& exchange, std::atomic<int>& callersGone)
{
    const HttpRequest& request = exchange.request();
    if (request.path() == "/echo") {
        co_await exchange.respond(HttpResponse::text(200, request.body + request.queryParameter("tail").value_or("")));
    } else if (request.path() == "/stream") {
        co_await exchange.startStream(200, plainText);
        co_await exchange.write("one ");
        co_await exchange.write("two ");
        co_await exchange.write("three");
        co_await exchange.finish();
    } else if (request.path() == "/joined") {
        co_await exchange.startStream(200, plainText, "one ");
        co_await exchange.write("two ");
        co_await exchange.finish("three");
    } else if (request.path() == "/cut") {
        co_await exchange.startStream(200, {});
        co_await exchange.write("half");
    } else if (request.path() == "/throw") {
        throw std::runtime_error("thrown by the handler");
    } else if (request.path() == "/flood") {
        co_await exchange.startStream(200, {});
        while (co_await exchange.write(ByteString(1U << 20U, 'x'))) { }
        ++callersGone;
    } else if (request.path() == "/hold") {
        co_await holdUntilReleased(exchange);
    } else if (request.path() == "/wait") {
        asio::steady_timer timer(co_await asio::this_coro::executor, 1h);
        exchange.onCallerDisconnect([&] {
            ++callersGone;
            timer.cancel();
        });
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

/** A server and two threads that run it and its client. */
struct Fixture {
    Fixture()
        : server(context, HttpServer::Options().withMaximumHeaderBytes(2048).withMaximumBodyBytes(4096).withReadTimeout(200ms).withIdleTimeout(300ms).withWriteTimeout(300ms), [this](HttpExchange& exchange) { return answer(exchange, callersGone); })
        , client(HttpClient::Options())
        , work(asio::make_work_guard(context))
    {
        endpoint = server.listen(anyPort).value();
        for (int i = 0; i < 2; ++i)
            threads.emplace_back([this] { context.run(); });
    }

    ~Fixture()
    {
        context.stop();
        for (std::thread& thread : threads)
            thread.join();
    }

    Result<HttpResponse, HttpClientErrorCode> send(HttpRequest request, Duration timeout = 5s)
    {
        return asio::co_spawn(asio::make_strand(context), client.send(endpoint, std::move(request), std::chrono::steady_clock::now() + timeout), asio::use_future).get();
    }

    /** Sends raw bytes and returns everything received until the server closes the connection. */
    std::string exchangeRaw(const std::string& bytes)
    {
        asio::io_context own;
        tcp::socket socket(own);
        socket.connect(endpoint);
        boost::system::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        std::string all;
        asio::read(socket, asio::dynamic_buffer(all), error);
        return all;
    }

    asio::io_context context;
    std::atomic<int> callersGone { 0 };
    HttpServer server;
    HttpClient client;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    tcp::endpoint endpoint;
    std::vector<std::thread> threads;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpTests, Fixture)

BOOST_AUTO_TEST_CASE(completeAnswersAreReceived)
{
    for (int i = 0; i < 3; ++i) {
        auto response = send({ "POST", "/echo?tail=%21", {}, "hello" });
        BOOST_REQUIRE_MESSAGE(response, response.error().detail);
        BOOST_TEST(response->status == 200U);
        BOOST_TEST(response->body == "hello!");
    }
    BOOST_TEST(server.connectionCount() == 1U);
}

BOOST_AUTO_TEST_CASE(aClosedPortIsReportedAsRefused)
{
    asio::io_context own;
    tcp::acceptor closed(own, anyPort);
    endpoint = closed.local_endpoint();
    closed.close();
    auto answer = send({});
    BOOST_REQUIRE(!answer);
    BOOST_TEST((answer.error().code == HttpClientErrorCode::ConnectionRefused));
    BOOST_TEST(isCertainlyNotSent(answer.error().code));
}

BOOST_AUTO_TEST_CASE(aConnectionOpenedAheadIsUsedByTheNextRequest)
{
    auto open = [&] { return asio::co_spawn(asio::make_strand(context), client.openIdle(endpoint, std::chrono::steady_clock::now() + 1s), asio::use_future).get(); };
    BOOST_TEST(open().has_value());
    BOOST_TEST(send({ "POST", "/echo", {}, "hello" }).has_value());
    BOOST_TEST(server.connectionCount() == 1U);
}

BOOST_AUTO_TEST_CASE(truncatedStreamsAreReported)
{
    auto whole = send({ "GET", "/stream", {}, {} });
    BOOST_REQUIRE(whole);
    BOOST_TEST(whole->body == "one two three");
    auto joined = send({ "GET", "/joined", {}, {} });
    BOOST_REQUIRE(joined);
    BOOST_TEST(joined->body == "one two three");
    auto cut = send({ "GET", "/cut", {}, {} });
    BOOST_REQUIRE(!cut);
    BOOST_TEST((cut.error().code == HttpClientErrorCode::ConnectionLost));
}

/** Guards against a daemon that does not start, as an outgoing connection has its port for a moment. */
BOOST_AUTO_TEST_CASE(aPortThatIsTakenForAMomentIsListenedOnOnceItIsFree)
{
    asio::io_context own;
    tcp::socket taker(own);
    taker.open(tcp::v4());
    taker.bind(anyPort);
    taker.connect(endpoint);
    tcp::endpoint wanted = taker.local_endpoint();
    HttpServer late(context, HttpServer::Options(), [this](HttpExchange& exchange) { return answer(exchange, callersGone); });
    auto listening = std::async(std::launch::async, [&] { return late.listen(wanted); });
    std::this_thread::sleep_for(300ms);
    taker.set_option(asio::socket_base::linger(true, 0));
    taker.close();
    BOOST_TEST(listening.get().has_value());
}

/** Guards against a request that ends without an answer or a log line, as its handler has thrown. */
BOOST_AUTO_TEST_CASE(aHandlerThatThrowsIsAnsweredWith500)
{
    for (int i = 0; i < 2; ++i) {
        auto response = send({ "GET", "/throw", {}, {} });
        BOOST_REQUIRE_MESSAGE(response, response.error().detail);
        BOOST_TEST(response->status == 500U);
    }
}

BOOST_AUTO_TEST_CASE(oversizedHeaderIsRefused)
{
    std::string answer = exchangeRaw("GET /echo HTTP/1.1\r\nX-Long: " + std::string(8192, 'a') + "\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 431"));
}

BOOST_AUTO_TEST_CASE(oversizedBodyIsRefused)
{
    std::string answer = exchangeRaw("POST /echo HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + std::string(5000, 'a'));
    BOOST_TEST(answer.starts_with("HTTP/1.1 413"));
}

BOOST_AUTO_TEST_CASE(brokenChunkIsRefused)
{
    std::string answer = exchangeRaw("POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 400"));
}

BOOST_AUTO_TEST_CASE(silentConnectionsAreClosed)
{
    BOOST_TEST(exchangeRaw("").empty());
    BOOST_TEST(exchangeRaw("POST /echo HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc").empty());
}

BOOST_AUTO_TEST_CASE(halfClosedConnectionIsClosedAfterItsRequest)
{
    asio::io_context own;
    tcp::socket socket(own);
    socket.connect(endpoint);
    socket.send(asio::buffer(std::string("GET /stream HTTP/1.1\r\n\r\n")));
    socket.shutdown(tcp::socket::shutdown_send);
    BOOST_TEST(eventually([&] { return server.connectionCount() == 0; }));
}

BOOST_AUTO_TEST_CASE(slowReaderIsCutOff)
{
    asio::io_context own;
    tcp::socket socket(own);
    socket.connect(endpoint);
    socket.send(asio::buffer(std::string("GET /flood HTTP/1.1\r\n\r\n")));
    BOOST_TEST(eventually([&] { return callersGone == 1; }));
    BOOST_TEST(eventually([&] { return server.connectionCount() == 0; }));
}

BOOST_AUTO_TEST_CASE(callerDisconnectIsDetected)
{
    {
        asio::io_context own;
        tcp::socket socket(own);
        socket.connect(endpoint);
        socket.send(asio::buffer(std::string("GET /wait HTTP/1.1\r\n\r\n")));
        BOOST_TEST(eventually([&] { return server.connectionCount() == 1; }));
    }
    BOOST_TEST(eventually([&] { return callersGone == 1; }));
}

/** The next request on a connection often arrives while the server finishes the one before. */
BOOST_AUTO_TEST_CASE(callerDisconnectIsDetectedAfterARequestThatArrivesEarly)
{
    constexpr int connections = 3000;
    const std::string first = "POST /echo HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
    const std::string second = "GET /wait HTTP/1.1\r\n\r\n";
    asio::io_context own;
    for (int i = 0; i < connections; ++i) {
        tcp::socket socket(own);
        socket.connect(endpoint);
        socket.set_option(tcp::no_delay(true));
        asio::write(socket, asio::buffer(first));
        std::string answer;
        asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\nab");
        asio::write(socket, asio::buffer(second));
        std::this_thread::sleep_for(300us);
    }
    BOOST_TEST(eventually([&] { return callersGone == connections; }), callersGone << " of " << connections);
}

BOOST_AUTO_TEST_CASE(refusedConnectionIsCertainlyNotSent)
{
    std::promise<void> drained;
    server.drain([&] { drained.set_value(); });
    drained.get_future().wait();
    auto response = send({ "GET", "/echo", {}, {} });
    BOOST_REQUIRE(!response);
    BOOST_TEST(isCertainlyNotSent(response.error().code));
}

BOOST_AUTO_TEST_CASE(silentServerTimesOutAndTheRequestMayHaveBeenSent)
{
    auto response = send({ "GET", "/wait", {}, {} }, 100ms);
    BOOST_REQUIRE(!response);
    BOOST_TEST((response.error().code == HttpClientErrorCode::TimedOut));
    BOOST_TEST(!isCertainlyNotSent(response.error().code));
}

/** A link is cut while a request is in transit: the abandoned request must not arrive when the link works again. */
BOOST_AUTO_TEST_CASE(anAbandonedRequestIsReset)
{
    asio::io_context own;
    tcp::acceptor silent(own, anyPort);
    endpoint = silent.local_endpoint();
    auto response = send({ "POST", "/", {}, "body" }, 100ms);
    BOOST_TEST(!response);
    tcp::socket socket = silent.accept();
    std::string all;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(all), error);
    BOOST_TEST((error == asio::error::connection_reset));
}

/** Serves one connection at a time and counts the connections. */
class CountingServer {
public:
    explicit CountingServer(std::string answer)
        : m_answer(std::move(answer))
        , m_acceptor(m_context, anyPort)
        , m_socket(m_context)
        , m_thread([this] { run(); })
    {
    }

    ~CountingServer()
    {
        m_isStopping = true;
        boost::system::error_code ignored;
        {
            std::lock_guard guard(m_lock);
            m_socket.shutdown(tcp::socket::shutdown_both, ignored);
        }
        tcp::socket waker(m_context);
        waker.connect(endpoint(), ignored);
        m_thread.join();
    }

    tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    unsigned connections() const { return m_connections; }

private:
    void run()
    {
        while (!m_isStopping) {
            tcp::socket socket = m_acceptor.accept();
            if (m_isStopping)
                return;
            ++m_connections;
            {
                std::lock_guard guard(m_lock);
                m_socket = std::move(socket);
            }
            std::string request;
            boost::system::error_code error;
            while (!error && !m_isStopping) {
                std::size_t end = asio::read_until(m_socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
                request.erase(0, end);
                if (!error)
                    asio::write(m_socket, asio::buffer(m_answer), error);
            }
        }
    }

    std::string m_answer;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::mutex m_lock;
    tcp::socket m_socket;
    std::atomic<bool> m_isStopping { false };
    std::atomic<unsigned> m_connections { 0 };
    std::thread m_thread;
};

BOOST_AUTO_TEST_CASE(anIdleConnectionIsNotReusedPastTheServersKeepAliveTime)
{
    CountingServer counting("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok");
    endpoint = counting.endpoint();
    BOOST_TEST(send({}).has_value());
    BOOST_TEST(send({}).has_value());
    BOOST_TEST(counting.connections() == 1U);
    std::this_thread::sleep_for(700ms);
    BOOST_TEST(send({}).has_value());
    BOOST_TEST(counting.connections() == 2U);
}

/** Bytes of a body would be taken for the answer to the next request on the connection. */
BOOST_AUTO_TEST_CASE(answersToHeadRequestsHaveNoBody)
{
    for (const std::string path : { "/echo", "/stream", "/throw", "/unknown" }) {
        std::string requests = "HEAD " + path + " HTTP/1.1\r\n\r\n";
        requests += "HEAD " + path + " HTTP/1.1\r\nConnection: close\r\n\r\n";
        std::string heads = exchangeRaw(requests);
        BOOST_REQUIRE(heads.starts_with("HTTP/1.1 "));
        std::size_t end = heads.find("\r\n\r\n") + 4;
        BOOST_TEST(heads.substr(end).starts_with("HTTP/1.1 "), heads);
        BOOST_TEST(heads.find("\r\n\r\n", end) == heads.size() - 4, heads);
        BOOST_TEST(heads.find("Content-Length: 0") == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(aBodyIsNotAwaitedAfterAHeadRequest)
{
    CountingServer counting("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    endpoint = counting.endpoint();
    for (int i = 0; i < 2; ++i)
        BOOST_TEST(send({ "HEAD", "/", {}, {} }).value().body.empty());
    BOOST_TEST(counting.connections() == 1U);
}

/** Its last second lies beyond what a clock can represent. */
BOOST_AUTO_TEST_CASE(aConnectionWithAVeryLongKeepAliveTimeIsReused)
{
    for (const std::string seconds : { "9223372036854775807", "18446744073709551615", "99999999999999999999" }) {
        CountingServer counting("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=" + seconds + "\r\nContent-Length: 2\r\n\r\nok");
        endpoint = counting.endpoint();
        BOOST_TEST(send({}).has_value());
        BOOST_TEST(send({}).has_value());
        BOOST_TEST(counting.connections() == 1U);
    }
}

/** The bytes that it announces may come later, when another request uses the connection. */
BOOST_AUTO_TEST_CASE(aConnectionIsNotReusedAfterAnAnswerThatAnnouncesABodyItCannotHave)
{
    for (const std::string length : { "4", "0" }) {
        CountingServer counting("HTTP/1.1 204 No Content\r\nContent-Length: " + length + "\r\n\r\n");
        endpoint = counting.endpoint();
        BOOST_TEST(send({}).has_value());
        BOOST_TEST(send({}).has_value());
        BOOST_TEST(counting.connections() == (length == "0" ? 1U : 2U));
    }
}

BOOST_AUTO_TEST_CASE(aServerWithKeepAliveDisabledClosesIdleConnectionsAndServesNewOnes)
{
    asio::io_context own;
    tcp::socket idle(own);
    idle.connect(endpoint);
    std::this_thread::sleep_for(50ms);
    server.disableKeepAlive();
    std::string rest;
    boost::system::error_code error;
    asio::read(idle, asio::dynamic_buffer(rest), error);
    BOOST_TEST((rest.empty() && error == asio::error::eof));
    std::string answer = exchangeRaw("GET /echo HTTP/1.1\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

/** The server closes the connection while a request arrives, at many points in time: the request must either be answered or not be handled. */
BOOST_AUTO_TEST_CASE(aRequestThatRacesWithTheCloseIsAnsweredOrNotHandled)
{
    constexpr int trials = 600;
    constexpr int longestSpin = 300;
    const std::size_t firstAnswer = std::string("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok").size();
    int handled = 0;
    int lost = 0;
    for (int trial = 0; trial < trials; ++trial) {
        asio::io_context serverContext;
        std::atomic<bool> isHandled { false };
        HttpServer own(serverContext, HttpServer::Options().withSingleThread(), [&](HttpExchange& exchange) -> asio::awaitable<void> {
            isHandled = true;
            HttpResponse response = HttpResponse::text(200, "ok");
            co_await exchange.respond(std::move(response));
        });
        tcp::endpoint address = own.listen(anyPort).value();
        auto work = asio::make_work_guard(serverContext);
        std::thread thread([&] { serverContext.run(); });
        asio::io_context callerContext;
        tcp::socket socket(callerContext);
        socket.connect(address);
        // A new connection stays open for its first request; only the second one can race with the close.
        socket.send(asio::buffer(std::string("GET /x HTTP/1.1\r\n\r\n")));
        std::string first(firstAnswer, '\0');
        asio::read(socket, asio::buffer(first));
        isHandled = false;
        socket.send(asio::buffer(std::string("GET /x HTTP/1.1\r\n\r\n")));
        Instant closing = std::chrono::steady_clock::now() + std::chrono::microseconds(trial % longestSpin);
        while (std::chrono::steady_clock::now() < closing) { }
        own.disableKeepAlive();
        std::string answer;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        handled += isHandled ? 1 : 0;
        lost += isHandled && !answer.ends_with("ok") ? 1 : 0;
        serverContext.stop();
        thread.join();
    }
    BOOST_TEST(lost == 0);
    BOOST_TEST((handled > 0 && handled < trials));
}

BOOST_AUTO_TEST_CASE(drainWaitsForTheRequestInProgress)
{
    asio::io_context own;
    tcp::socket socket(own);
    socket.connect(endpoint);
    socket.send(asio::buffer(std::string("GET /hold HTTP/1.1\r\n\r\n")));
    BOOST_TEST(eventually([&] { return isHolding.load(); }));
    std::promise<void> drained;
    std::future<void> whenDrained = drained.get_future();
    server.drain([&] { drained.set_value(); });
    BOOST_TEST((whenDrained.wait_for(50ms) == std::future_status::timeout));
    isReleased = true;
    std::string answer;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    BOOST_TEST(answer.ends_with("held"));
    whenDrained.wait();
}

BOOST_AUTO_TEST_SUITE_END()
