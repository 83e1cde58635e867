#include "hemlockchute/http/HttpClient.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace hemlockchute;
namespace asio = boost::asio;
namespace data = boost::unit_test::data;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t maximumBodyBytes = 256U << 10U;
/** The body, and what the sockets of both sides buffer. */
constexpr std::uint64_t maximumSentBytes = 16U << 20U;

/** An answer that has a beginning and repeats a piece until the peer closes the connection. */
struct EndlessAnswer {
    std::string name;
    std::string begin;
    std::string piece;

    friend std::ostream& operator<<(std::ostream& stream, const EndlessAnswer& answer) { return stream << answer.name; }
};

std::vector<EndlessAnswer> endlessAnswers()
{
    std::string ok = "HTTP/1.1 200 OK\r\n";
    std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    std::string filler(64U << 10U, 'x');
    return {
        { "head", ok + "X-Long: ", filler },
        { "status line", "HTTP/1.1 200 ", filler },
        { "body with a length", ok + "Content-Length: 1000000000000\r\n\r\n", filler },
        { "body until close", ok + "\r\n", filler },
        { "chunks", chunked, "10000\r\n" + filler + "\r\n" },
        { "chunk size", chunked, std::string(64U << 10U, '0') },
        { "chunk extension", chunked + "4;x=", filler },
        { "trailer", chunked + "4\r\nbody\r\n0\r\nX-Long: ", filler },
        { "many trailers", chunked + "0\r\n", "X-Trailer: x\r\n" },
    };
}

/** Accepts one connection and answers without end. */
class EndlessServer {
public:
    explicit EndlessServer(EndlessAnswer answer)
        : m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_thread([this, answer = std::move(answer)] { serve(answer); })
    {
    }
    ~EndlessServer() { m_thread.join(); }

    tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    std::uint64_t sentBytes() const { return m_sentBytes; }

private:
    void serve(const EndlessAnswer& answer)
    {
        tcp::socket socket = m_acceptor.accept();
        boost::system::error_code error;
        asio::write(socket, asio::buffer(answer.begin), error);
        while (!error)
            m_sentBytes += asio::write(socket, asio::buffer(answer.piece), error);
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::atomic<std::uint64_t> m_sentBytes { 0 };
    std::thread m_thread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpEndlessAnswerTests)

/** Guards against a client that keeps all bytes of a faulty server until its process runs out of memory. */
BOOST_DATA_TEST_CASE(anAnswerWithoutEndIsCutOffWhereverItDoesNotEnd, data::make(endlessAnswers()), answer)
{
    EndlessServer server(answer);
    asio::io_context context;
    HttpClient client(HttpClient::Options().withMaximumBodyBytes(maximumBodyBytes));
    Instant begin = std::chrono::steady_clock::now();
    HttpRequest request { "GET", "/", {}, {} };
    auto response = asio::co_spawn(context, client.send(server.endpoint(), std::move(request), begin + 5s), asio::use_future);
    context.run();
    auto result = response.get();
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().code == HttpClientErrorCode::TooLarge || result.error().code == HttpClientErrorCode::Malformed), result.error().detail);
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 2s));
    BOOST_TEST(server.sentBytes() < maximumSentBytes);
}

namespace {

/** What a caller of open() has read of a body when it ends. */
struct ReadBody {
    ByteString bytes;
    std::size_t pieces = 0;
    std::optional<HttpClientErrorCode> error;
};

/** Reads a body until its end, an error or the limit; the time between the head and the first read is spent without reading. */
asio::awaitable<ReadBody> readBody(HttpClient& client, tcp::endpoint endpoint, Instant deadline, Instant limit, Duration suspended = {})
{
    ReadBody read;
    HttpRequest request;
    request.method = "GET";
    request.target = "/";
    auto stream = co_await client.open(endpoint, std::move(request), deadline);
    if (!stream) {
        read.error = stream.error().code;
        co_return read;
    }
    if (suspended > Duration::zero())
        std::this_thread::sleep_for(suspended);
    while (currentTime() < limit) {
        auto piece = co_await (*stream)->read(deadline);
        if (!piece)
            read.error = piece.error().code;
        if (!piece || !*piece)
            co_return read;
        read.bytes += **piece;
        ++read.pieces;
    }
    co_return read;
}

/** Accepts one connection, sends an answer and waits for the peer to close. */
std::thread serveOnce(tcp::acceptor& acceptor, std::string answer)
{
    return std::thread([&acceptor, answer = std::move(answer)] {
        tcp::socket socket = acceptor.accept();
        boost::system::error_code error;
        asio::write(socket, asio::buffer(answer), error);
        char bytes[1024];
        while (!error)
            socket.read_some(asio::buffer(bytes), error);
    });
}

std::vector<EndlessAnswer> endlessBodies()
{
    std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::vector<EndlessAnswer> bodies = endlessAnswers();
    std::erase_if(bodies, [](const EndlessAnswer& answer) { return !answer.name.starts_with("body") && answer.name != "chunks"; });
    std::string smallChunks;
    for (int i = 0; i < 1000; ++i)
        smallChunks += "1\r\nx\r\n";
    bodies.push_back({ "small chunks", chunked, smallChunks });
    bodies.push_back({ "chunks with long heads", chunked, "1;x=" + std::string(8U << 10U, 'y') + "\r\nx\r\n" });
    return bodies;
}

} // namespace

/** Guards against a deadline that only a waiting read meets: an answer whose bytes never pause was read until its caller left. */
BOOST_DATA_TEST_CASE(aBodyThatNeverPausesEndsAtTheDeadline, data::make(endlessBodies()), answer)
{
    EndlessServer server(answer);
    asio::io_context context;
    HttpClient client { HttpClient::Options() };
    Instant deadline = currentTime() + 300ms;
    auto result = asio::co_spawn(context, readBody(client, server.endpoint(), deadline, deadline + 2s), asio::use_future);
    context.run();
    BOOST_TEST((result.get().error == HttpClientErrorCode::TimedOut));
    BOOST_TEST((currentTime() < deadline + 500ms));
}

/** An answer that has arrived is delivered, also if this process was suspended past the deadline. */
BOOST_AUTO_TEST_CASE(aBodyThatHasArrivedIsReadAfterTheDeadline)
{
    std::string body(64U << 10U, 'x');
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    std::thread server = serveOnce(acceptor, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    ReadBody read;
    {
        HttpClient client { HttpClient::Options() };
        Instant deadline = currentTime() + 200ms;
        auto result = asio::co_spawn(context, readBody(client, acceptor.local_endpoint(), deadline, deadline + 5s, 1s), asio::use_future);
        context.run();
        read = result.get();
    }
    server.join();
    BOOST_TEST(!read.error);
    BOOST_TEST(read.bytes == body);
}

/** Guards against a read, and what its caller does for each piece, for every byte of a body in chunks of one byte. */
BOOST_AUTO_TEST_CASE(chunksThatHaveArrivedAreReadTogether)
{
    constexpr std::size_t chunks = 4000;
    std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < chunks; ++i)
        answer += "1\r\nx\r\n";
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    std::thread server = serveOnce(acceptor, answer + "0\r\n\r\n");
    ReadBody read;
    {
        HttpClient client { HttpClient::Options() };
        Instant deadline = currentTime() + 5s;
        auto result = asio::co_spawn(context, readBody(client, acceptor.local_endpoint(), deadline, deadline, 50ms), asio::use_future);
        context.run();
        read = result.get();
    }
    server.join();
    BOOST_TEST(!read.error);
    BOOST_TEST(read.bytes == std::string(chunks, 'x'));
    BOOST_TEST(read.pieces < chunks / 16);
}

BOOST_AUTO_TEST_SUITE_END()
