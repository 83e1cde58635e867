#include "hemlockchute/http/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace hemlockchute;
namespace asio = boost::asio;
namespace data = boost::unit_test::data;
using tcp = asio::ip::tcp;

namespace {

/** The bytes of an answer, after which the server closes the connection, and what they mean if they are valid. */
struct RawAnswer {
    std::string name;
    std::string bytes;
    unsigned status = 200;
    std::string body = "body";

    friend std::ostream& operator<<(std::ostream& stream, const RawAnswer& answer) { return stream << answer.name; }
};

std::string withStatus(const std::string& status)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\nbody";
}

std::string withField(const std::string& line)
{
    return "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody";
}

std::string chunkedWith(const std::string& fields, const std::string& trailer = "")
{
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n4\r\nbody\r\n0\r\n" + trailer + "\r\n";
}

const std::string chunkedField = "Transfer-Encoding: chunked\r\n";
const std::string ok = withStatus("200 OK");

std::vector<RawAnswer> brokenAnswers()
{
    std::vector<RawAnswer> answers;
    for (const std::string status : { "000", "001", "099", "600", "999", "-20", "20", "2000", "2x0" })
        answers.push_back({ "status " + status, withStatus(status + " Any") });
    answers.push_back({ "protocol switch that was not asked for", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n" + ok });
    using namespace std::string_literals;
    for (const std::string& name : { "Odd Name"s, "Odd\tName"s, "Odd\x01Name"s, "Odd\x7fName"s, "Odd\0Name"s, "Odd\rName"s, "Odd "s, " Odd"s, ""s })
        answers.push_back({ "name " + name, withField(name + ": x") });
    answers.push_back({ "blank in the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody" });
    answers.push_back({ "blank in the name of the coding", chunkedWith("Transfer Encoding: chunked\r\n") });
    answers.push_back({ "control byte in a value", withField("Odd: a\x01") });
    answers.push_back({ "line without a colon", withField("Odd") });
    answers.push_back({ "two lengths", withField("Content-Length: 5") });
    for (const std::string length : { "", "+4", "-4", "0x4", "4 4", "4,", "99999999999999999999" })
        answers.push_back({ "length " + length, "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nbody" });
    answers.push_back({ "length and chunks", chunkedWith("Content-Length: 4\r\n" + chunkedField) });
    answers.push_back({ "chunks and length", chunkedWith(chunkedField + "Content-Length: 4\r\n") });
    for (const std::string coding : { "", "gzip", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "chunked;x=y", "xchunked" })
        answers.push_back({ "coding " + coding, chunkedWith("Transfer-Encoding: " + coding + "\r\n") });
    answers.push_back({ "codings in two fields", chunkedWith("Transfer-Encoding: gzip\r\n" + chunkedField) });
    answers.push_back({ "chunked twice", chunkedWith(chunkedField + chunkedField) });
    answers.push_back({ "coding beside a length", withField("Transfer-Encoding: gzip") });
    answers.push_back({ "chunks in version 1.0", "HTTP/1.0 200 OK\r\n" + chunkedField + "\r\n4\r\nbody\r\n0\r\n\r\n" });
    answers.push_back({ "coding without a body", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: gzip\r\n\r\n" });
    answers.push_back({ "chunk size", "HTTP/1.1 200 OK\r\n" + chunkedField + "\r\nx\r\nbody\r\n0\r\n\r\n" });
    answers.push_back({ "chunk longer than its size", "HTTP/1.1 200 OK\r\n" + chunkedField + "\r\n3\r\nbody\r\n0\r\n\r\n" });
    answers.push_back({ "name in a trailer", chunkedWith(chunkedField, "Odd Name: x\r\n") });
    answers.push_back({ "control byte in a trailer", chunkedWith(chunkedField, "Odd\x01Name: x\r\n") });
    answers.push_back({ "broken answer after an interim one", "HTTP/1.1 100 Continue\r\n\r\n" + withStatus("000 Any") });
    answers.push_back({ "broken interim answer", "HTTP/1.1 103 Early Hints\r\nOdd Name: x\r\n\r\n" + ok });
    return answers;
}

std::vector<RawAnswer> validAnswers()
{
    std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    return {
        { "lowest status", withStatus("200 OK") },
        { "unregistered status", withStatus("299 Any"), 299 },
        { "highest status", withStatus("599 Any"), 599 },
        { "no reason", withStatus("200 ") },
        { "reason outside of ASCII", withStatus("200 \xc3\xb5ige") },
        { "version 1.0", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody" },
        { "all characters of names", withField("!#$%&'*+-.^_`|~09azAZ: x") },
        { "empty value", withField("Odd:") },
        { "blanks around a value", withField("Odd: \t x \t") },
        { "value outside of ASCII", withField("Odd: \xf5\xe4\t\xfc") },
        { "folded value", withField("Odd: a\r\n  b") },
        { "repeated length", withField("Content-Length: 4") },
        { "length given as a list", "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\nbody" },
        { "no content", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204, "" },
        { "not modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", 304, "" },
        { "chunks", chunkedWith(chunkedField) },
        { "coding in other case", chunkedWith("transfer-encoding: \tChunked \r\n") },
        { "chunk extension", "HTTP/1.1 200 OK\r\n" + chunkedField + "\r\n4;x=\"y\"\r\nbody\r\n0;z\r\n\r\n" },
        { "trailers", chunkedWith(chunkedField, "Odd: x\r\nOther: y\r\n") },
        { "body until the end of the connection", "HTTP/1.1 200 OK\r\n\r\nbody" },
        { "interim answer", interim + ok },
        { "several interim answers", interim + "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\nLink: </y>\r\n\r\n" + ok },
        { "unregistered interim answer", "HTTP/1.1 199 Any\r\nContent-Length: 0\r\n\r\n" + ok },
    };
}

/** Reads the head of a request from the next connection. */
asio::awaitable<tcp::socket> acceptRequest(tcp::acceptor& acceptor)
{
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::use_awaitable);
    co_return socket;
}

asio::awaitable<void> pause(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

/** Sends an answer in pieces of a given size, one segment each, and closes the connection. */
asio::awaitable<void> serve(tcp::acceptor& acceptor, std::string bytes, std::size_t pieceSize)
{
    tcp::socket socket = co_await acceptRequest(acceptor);
    socket.set_option(tcp::no_delay(true));
    boost::system::error_code error;
    for (std::size_t at = 0; at < bytes.size() && !error; at += pieceSize)
        co_await asio::async_write(socket, asio::buffer(bytes.substr(at, pieceSize)), asio::redirect_error(asio::use_awaitable, error));
}

/** A client, and a server that handles one connection. */
struct Exchange {
    using Answer = Result<HttpResponse, HttpClientErrorCode>;

    template <typename Server>
    Answer run(const Server& server, ByteString body = {})
    {
        asio::co_spawn(context, server(acceptor), asio::detached);
        HttpRequest request { "POST", "/x", {}, std::move(body) };
        auto answer = asio::co_spawn(context, client.send(acceptor.local_endpoint(), std::move(request), currentTime() + 5s), asio::use_future);
        context.run();
        return answer.get();
    }

    asio::io_context context;
    HttpClient client { HttpClient::Options() };
    tcp::acceptor acceptor { context, { asio::ip::make_address("127.0.0.1"), 0 } };
};

const auto pieceSizes = data::make({ std::size_t { 1 }, std::size_t { 4096 } });

} // namespace

BOOST_AUTO_TEST_SUITE(HttpBrokenAnswerTests)

BOOST_DATA_TEST_CASE(anAnswerThatIsNotValidHttpIsRefused, data::make(brokenAnswers()) * pieceSizes, broken, pieceSize)
{
    Exchange exchange;
    auto answer = exchange.run([&](tcp::acceptor& acceptor) { return serve(acceptor, broken.bytes, pieceSize); });
    BOOST_REQUIRE_MESSAGE(!answer, "status " << answer->status << ", body " << answer->body);
    BOOST_TEST((answer.error().code == HttpClientErrorCode::Malformed), answer.error().detail);
}

BOOST_DATA_TEST_CASE(anUnusualAnswerThatIsValidHttpIsRead, data::make(validAnswers()) * pieceSizes, valid, pieceSize)
{
    Exchange exchange;
    auto answer = exchange.run([&](tcp::acceptor& acceptor) { return serve(acceptor, valid.bytes, pieceSize); });
    BOOST_REQUIRE_MESSAGE(answer, answer.error().detail);
    BOOST_TEST(answer->status == valid.status);
    BOOST_TEST(answer->body == valid.body);
}

//==============================================================================
// Answers that come while their request is still being sent

namespace {

enum class UploadEnd {
    Reset,
    CloseWithUnreadBytes,
    CloseWithoutUnreadBytes,
    ResetAfterLength,
    HalfCloseAndRead,
    HalfCloseOnly
};

std::ostream& operator<<(std::ostream& stream, UploadEnd end)
{
    return stream << static_cast<int>(end);
}

/** Exceeds what the sockets of both sides buffer. */
constexpr std::size_t uploadBytes = 32U << 20U;

/** Answers once the head of a long request has come, and ends the connection in one of several ways. */
asio::awaitable<void> answerEarly(tcp::acceptor& acceptor, UploadEnd end)
{
    tcp::socket socket = co_await acceptRequest(acceptor);
    std::string length = end == UploadEnd::ResetAfterLength ? "Content-Length: 4\r\n" : "";
    co_await asio::async_write(socket, asio::buffer("HTTP/1.1 200 OK\r\n" + length + "\r\nbody"), asio::use_awaitable);
    co_await pause(50ms);
    boost::system::error_code error;
    std::vector<char> read(1U << 20U);
    if (end == UploadEnd::Reset || end == UploadEnd::ResetAfterLength)
        socket.set_option(asio::socket_base::linger(true, 0));
    else if (end == UploadEnd::CloseWithoutUnreadBytes) {
        socket.non_blocking(true);
        while (!error)
            socket.read_some(asio::buffer(read), error);
    } else if (end != UploadEnd::CloseWithUnreadBytes)
        socket.shutdown(tcp::socket::shutdown_send);
    if (end == UploadEnd::HalfCloseAndRead) {
        while (!error)
            co_await socket.async_read_some(asio::buffer(read), asio::redirect_error(asio::use_awaitable, error));
    } else if (end == UploadEnd::HalfCloseOnly)
        co_await pause(2s);
}

} // namespace

/** What a server sent before it broke the connection may be a part of its answer only. */
BOOST_DATA_TEST_CASE(anAnswerWithoutALengthIsLostIfTheConnectionBreaksWhileTheRequestIsSent,
    data::make({ UploadEnd::Reset, UploadEnd::CloseWithUnreadBytes, UploadEnd::CloseWithoutUnreadBytes }) * data::xrange(5), end, repetition)
{
    (void)repetition;
    Exchange exchange;
    auto answer = exchange.run([&](tcp::acceptor& acceptor) { return answerEarly(acceptor, end); }, ByteString(uploadBytes, 'x'));
    BOOST_REQUIRE_MESSAGE(!answer, "a part came as an answer: " << answer->body);
    BOOST_TEST((answer.error().code == HttpClientErrorCode::ConnectionLost), answer.error().detail);
}

/** A server may answer before it has read the whole request, and may not want the rest. */
BOOST_DATA_TEST_CASE(aCompleteAnswerThatComesBeforeTheRequestIsSentIsRead, data::make({ UploadEnd::ResetAfterLength, UploadEnd::HalfCloseAndRead, UploadEnd::HalfCloseOnly }), end)
{
    Exchange exchange;
    auto answer = exchange.run([&](tcp::acceptor& acceptor) { return answerEarly(acceptor, end); }, ByteString(uploadBytes, 'x'));
    BOOST_REQUIRE_MESSAGE(answer, answer.error().detail);
    BOOST_TEST(answer->body == "body");
}

BOOST_AUTO_TEST_SUITE_END()
