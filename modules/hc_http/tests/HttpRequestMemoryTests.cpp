#include "Eventually.h"
#include "hemlockchute/http/http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

using namespace hemlockchute;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t maximumBodyBytes = 400'000;
constexpr std::size_t largeBytes = 390'000;
/** Three quarters of it hold one large request, but not two; and a body of the largest size while its string grows. */
constexpr std::size_t budgetBytes = 1'000'000;

/** A server that answers with the length of the body, and holds requests for /hold until it is told to answer. */
struct Fixture {
    Fixture()
        : server(
            context, HttpServer::Options().withMaximumBodyBytes(maximumBodyBytes).withMaximumConnections(2).withReadTimeout(30s).withSingleThread(), [this](HttpExchange& exchange) { return answer(exchange); }, budget)
        , work(asio::make_work_guard(context))
    {
        endpoint = server.listen({ asio::ip::make_address("127.0.0.1"), 0 }).value();
        thread = std::thread([this] { context.run(); });
    }

    ~Fixture()
    {
        context.stop();
        thread.join();
    }

    asio::awaitable<void> answer(HttpExchange& exchange)
    {
        asio::steady_timer timer(context);
        bool isHeld = exchange.request().path() == "/hold";
        while (isHeld && !isReleased) {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_await exchange.respond(HttpResponse::text(200, std::to_string(exchange.request().body.size())));
    }

    tcp::socket connect()
    {
        tcp::socket socket(own);
        socket.connect(endpoint);
        return socket;
    }

    static std::string post(const std::string& path, std::size_t announced)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n";
    }

    static void send(tcp::socket& socket, const std::string& bytes)
    {
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
    }

    /** Everything received until the server closes the connection. */
    static std::string receiveAll(tcp::socket& socket)
    {
        std::string all;
        boost::system::error_code ignored;
        asio::read(socket, asio::dynamic_buffer(all), ignored);
        return all;
    }

    std::string exchangeRaw(const std::string& bytes)
    {
        tcp::socket socket = connect();
        send(socket, bytes);
        return receiveAll(socket);
    }

    std::uint64_t refusals(RequestRefusal refusal) const { return budget->refusals().at(static_cast<std::size_t>(refusal)); }

    asio::io_context context;
    asio::io_context own;
    std::atomic<bool> isReleased { false };
    std::shared_ptr<RequestBufferBudget> budget = std::make_shared<RequestBufferBudget>(RequestBufferBudget::Options().withTotal(budgetBytes).withWindow(200ms));
    HttpServer server;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    tcp::endpoint endpoint;
    std::thread thread;
};

std::string chunkedPost(const std::string& chunks)
{
    return "POST /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpRequestMemoryTests, Fixture)

/** Guards against bodies that are cut short or altered, as they are read in pieces. */
BOOST_AUTO_TEST_CASE(bodiesOfEverySizeUpToTheLimitAreRead)
{
    for (std::size_t size : { std::size_t(0), std::size_t(1), std::size_t(16384), std::size_t(16385), maximumBodyBytes - 1, maximumBodyBytes }) {
        BOOST_TEST(exchangeRaw(post("/x", size) + std::string(size, 'x')).ends_with("\r\n\r\n" + std::to_string(size)));
        std::ostringstream head;
        head << std::hex << size << "\r\n";
        std::string chunk = size == 0 ? "" : head.str() + std::string(size, 'x') + "\r\n";
        BOOST_TEST(exchangeRaw(chunkedPost(chunk + "0\r\n\r\n")).ends_with("\r\n\r\n" + std::to_string(size)));
    }
    BOOST_TEST(eventually([&] { return budget->reservedBytes() == 0; }));
}

/** Guards against a second request in the same bytes that is lost, or read with the first one's header. */
BOOST_AUTO_TEST_CASE(requestsThatArriveTogetherAreAnsweredInOrder)
{
    std::string first = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    std::string all = exchangeRaw(first + chunkedPost("2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"));
    std::size_t end = all.find("\r\n\r\n3");
    BOOST_REQUIRE(end != std::string::npos);
    BOOST_TEST(all.ends_with("\r\n\r\n5"));
}

/** Guards against bodies over the limit that take memory until they end. */
BOOST_AUTO_TEST_CASE(bodiesOverTheLimitAreRefused)
{
    BOOST_TEST(exchangeRaw(post("/x", maximumBodyBytes + 1)).starts_with("HTTP/1.1 413 "));
    std::string chunks;
    for (std::size_t i = 0; i <= maximumBodyBytes / 0x1000; ++i)
        chunks += "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
    tcp::socket socket = connect();
    send(socket, chunkedPost(chunks));
    BOOST_TEST(eventually([&] { return refusals(RequestRefusal::BodyTooLarge) == 2; }));
}

/** Guards against chunks of one byte, whose headers cost several times their content. */
BOOST_AUTO_TEST_CASE(chunkHeadersCountTowardsTheLimit)
{
    constexpr std::size_t chunkCount = maximumBodyBytes / 4;
    std::string chunks;
    for (std::size_t i = 0; i < chunkCount; ++i)
        chunks += "1\r\nx\r\n";
    tcp::socket socket = connect();
    send(socket, chunkedPost(chunks));
    BOOST_TEST(eventually([&] { return refusals(RequestRefusal::BodyTooLarge) == 1; }));
}

/** Guards against a header that takes more memory than its limit. */
BOOST_AUTO_TEST_CASE(aHeaderWithoutAnEndIsRefused)
{
    BOOST_TEST(exchangeRaw("GET /x HTTP/1.1\r\nX: " + std::string(HttpServer::Options().maximumHeaderBytes, 'x')).starts_with("HTTP/1.1 431 "));
    BOOST_TEST(refusals(RequestRefusal::HeaderTooLarge) == 1U);
    BOOST_TEST(eventually([&] { return budget->reservedBytes() == 0; }));
}

/** Guards against memory that is exceeded, or a legal request that is refused, while another one uses the budget. */
BOOST_AUTO_TEST_CASE(aLargeRequestWaitsForTheMemoryOfAnotherOne)
{
    tcp::socket first = connect();
    send(first, post("/hold", largeBytes) + std::string(largeBytes, 'x'));
    BOOST_TEST(eventually([&] { return budget->reservedBytes() >= largeBytes; }));
    auto second = std::async(std::launch::async, [&] { return exchangeRaw(post("/x", largeBytes) + std::string(largeBytes, 'x')); });
    // Far longer than an answer takes without a wait.
    BOOST_TEST((second.wait_for(500ms) == std::future_status::timeout));
    BOOST_TEST(budget->reservedBytes() <= budgetBytes);
    isReleased = true;
    BOOST_TEST(receiveAll(first).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(second.get().starts_with("HTTP/1.1 200 "));
}

/** Guards against ordinary requests that wait behind large ones. */
BOOST_AUTO_TEST_CASE(aSmallRequestIsAnsweredWhileLargeOnesUseUpTheMemory)
{
    server.setOptions(HttpServer::Options().withMaximumBodyBytes(maximumBodyBytes).withReadTimeout(30s).withSingleThread());
    tcp::socket held = connect();
    send(held, post("/hold", largeBytes) + std::string(largeBytes, 'x'));
    BOOST_TEST(eventually([&] { return budget->reservedBytes() >= largeBytes; }));
    tcp::socket waiting = connect();
    send(waiting, post("/x", largeBytes) + std::string(largeBytes, 'x'));
    BOOST_TEST(exchangeRaw(post("/x", 60'000) + std::string(60'000, 'x')).ends_with("\r\n\r\n60000"));
    BOOST_TEST(!isReleased);
    isReleased = true;
    BOOST_TEST(receiveAll(held).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(receiveAll(waiting).starts_with("HTTP/1.1 200 "));
}

/** Guards against a client that holds all memory by a body that it does not complete. */
BOOST_AUTO_TEST_CASE(aRequestThatStopsGivesUpItsMemoryToAnotherOne)
{
    tcp::socket stalled = connect();
    send(stalled, post("/x", largeBytes) + std::string(largeBytes - 7, 'x'));
    BOOST_TEST(eventually([&] { return budget->reservedBytes() >= largeBytes; }));
    BOOST_TEST(exchangeRaw(post("/x", largeBytes) + std::string(largeBytes, 'x')).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(receiveAll(stalled).starts_with("HTTP/1.1 503 "));
    BOOST_TEST(refusals(RequestRefusal::TooSlow) == 1U);
}

/** Guards against a wait without end for memory that there will never be. */
BOOST_AUTO_TEST_CASE(aRequestThatNeedsMoreThanTheBudgetIsRefused)
{
    server.setOptions(HttpServer::Options().withMaximumBodyBytes(2 * budgetBytes).withSingleThread());
    BOOST_TEST(exchangeRaw(post("/x", budgetBytes)).starts_with("HTTP/1.1 413 "));
    BOOST_TEST(refusals(RequestRefusal::BodyTooLarge) == 1U);
}

/** Guards against idle connections that use up the descriptors and keep others out. */
BOOST_AUTO_TEST_CASE(aConnectionBeyondTheLimitClosesTheLongestIdleOne)
{
    tcp::socket longestIdle = connect();
    BOOST_TEST(eventually([&] { return server.connectionCount() == 1; }));
    tcp::socket laterIdle = connect();
    BOOST_TEST(eventually([&] { return server.connectionCount() == 2; }));
    BOOST_TEST(exchangeRaw(post("/x", 1) + "x").starts_with("HTTP/1.1 200 "));
    BOOST_TEST(receiveAll(longestIdle).empty());
    send(laterIdle, post("/x", 1) + "x");
    BOOST_TEST(receiveAll(laterIdle).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(refusals(RequestRefusal::IdleClosed) == 1U);
}

/** Guards against clients that stop just short of the end of small bodies and stay: no new connection was answered until their read time-out. */
BOOST_AUTO_TEST_CASE(stalledRequestsGiveWayToNewConnections)
{
    tcp::socket first = connect();
    tcp::socket second = connect();
    for (tcp::socket* stalled : { &first, &second })
        send(*stalled, post("/stalled", 100) + std::string(90, 'x'));
    std::string answer;
    Instant begin = currentTime();
    while (answer.empty() && currentTime() < begin + 3s) {
        tcp::socket ordinary = connect();
        send(ordinary, post("/ordinary", 2) + "xx");
        answer = receiveAll(ordinary);
        std::this_thread::sleep_for(20ms);
    }
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST((currentTime() > begin + 900ms), "a request may pause for a while");
    BOOST_TEST(receiveAll(first).starts_with("HTTP/1.1 503"));
}

BOOST_AUTO_TEST_SUITE_END()
