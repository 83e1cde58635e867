#include "backend/EventStreamParser.h"
#include "hemlockchute/backend/backend.h"
#include "hemlockchute/http/HttpServer.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <thread>

using namespace hemlockchute;
namespace asio = boost::asio;

namespace {

Instant soon(Duration timeout = 5s)
{
    return std::chrono::steady_clock::now() + timeout;
}

/** A backend server whose answers the test sets. */
struct Fixture {
    Fixture()
        : server(context, HttpServer::Options(), [this](HttpExchange& exchange) { return answer(exchange); })
        , work(asio::make_work_guard(context))
        , protocol(PluginRegistry<BackendProtocol>::instance().create("hemlock-http-1"))
    {
        backend.endpoint = server.listen({ asio::ip::make_address("127.0.0.1"), 0 }).value();
        for (int i = 0; i < 2; ++i)
            threads.emplace_back([this] { context.run(); });
    }

    ~Fixture()
    {
        protocol.reset();
        context.stop();
        for (std::thread& thread : threads)
            thread.join();
    }

    asio::awaitable<void> answer(HttpExchange& exchange)
    {
        lastRequest = exchange.request();
        if (exchange.request().path() != "/v1/infer") {
            co_await exchange.respond(response);
            co_return;
        }
        if (response.status != 200) {
            co_await exchange.respond(response);
            co_return;
        }
        co_await exchange.startStream(200, response.headers);
        for (const std::string& event : events)
            co_await exchange.write("data: " + event + "\n\n");
        if (!isCut)
            co_await exchange.finish();
    }

    template <typename T>
    T run(asio::awaitable<T> task)
    {
        return asio::co_spawn(asio::make_strand(context), std::move(task), asio::use_future).get();
    }

    /** Reads an answer to its end; returns the joined tokens, or the error that ended it. */
    asio::awaitable<Result<std::string, BackendErrorCode>> readAnswer(InferRequest request)
    {
        auto stream = co_await protocol->infer(backend, std::move(request), soon());
        if (!stream)
            co_return tl::unexpected(stream.error());
        std::string text;
        while (true) {
            auto token = co_await (*stream)->next(soon());
            if (!token)
                co_return tl::unexpected(token.error());
            if (!*token)
                co_return text;
            text += (*token)->text;
        }
    }

    Result<std::string, BackendErrorCode> infer(std::vector<std::string> resumeAfter = {})
    {
        InferRequest request;
        request.attempt = AttemptId("A");
        request.body = R"({"model":"m"})";
        request.resumeAfter = std::move(resumeAfter);
        return run(readAnswer(std::move(request)));
    }

    BackendErrorCode failureOf(std::vector<std::string> answered, bool cut = false)
    {
        events = std::move(answered);
        isCut = cut;
        auto result = infer();
        BOOST_REQUIRE(!result);
        return result.error().code;
    }

    asio::io_context context;
    HttpServer server;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::unique_ptr<BackendProtocol> protocol;
    BackendServer backend;
    std::vector<std::thread> threads;
    HttpRequest lastRequest;
    HttpResponse response;
    std::vector<std::string> events;
    bool isCut = false;
};

const std::string hello = R"({"attempt":"A","index":0,"token":"Hello"})";
const std::string world = R"({"attempt":"A","index":1,"token":" world"})";
const std::string done = R"({"attempt":"A","done":true,"tokens":2})";

} // namespace

BOOST_FIXTURE_TEST_SUITE(HemlockHttpProtocolTests, Fixture)

BOOST_AUTO_TEST_CASE(completeAnswersReuseOneConnection)
{
    events = { hello, world, done };
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(infer().value() == "Hello world");
    BOOST_TEST(lastRequest.headers.find("X-Attempt-Id").value() == "A");
    BOOST_TEST(server.connectionCount() == 1U);
}

BOOST_AUTO_TEST_CASE(resumedAnswersContinueTheTokenIndex)
{
    events = { world, done };
    BOOST_TEST(infer({ "Hello" }).value() == " world");
    BOOST_TEST(lastRequest.body == R"({"model":"m","resume_after":["Hello"]})");
}

BOOST_AUTO_TEST_CASE(foreignDuplicateMissingAndTruncatedEventsAreErrors)
{
    BOOST_TEST((failureOf({ hello, R"({"attempt":"B","index":1,"token":"x"})", done }) == BackendErrorCode::Malformed));
    BOOST_TEST((failureOf({ world, done }) == BackendErrorCode::Malformed));
    BOOST_TEST((failureOf({ hello, hello, done }) == BackendErrorCode::Malformed));
    BOOST_TEST((failureOf({ hello, done }) == BackendErrorCode::Malformed));
    BOOST_TEST((failureOf({ hello, R"({"attempt":"A","index":"1","token":"x"})" }) == BackendErrorCode::Malformed));
    BOOST_TEST((failureOf({ hello, world }) == BackendErrorCode::Lost));
    BOOST_TEST((failureOf({ hello }, true) == BackendErrorCode::Lost));
}

BOOST_AUTO_TEST_CASE(refusedRequestsHaveCertainlyNotRun)
{
    for (unsigned status : { 404U, 429U, 503U }) {
        response.status = status;
        auto result = infer();
        BOOST_REQUIRE(!result);
        BOOST_TEST(hasCertainlyNotRun(result.error().code));
    }
}

/** An engine that refuses its first request, and repeats the refusal before its answer to a second one on the same connection. */
class RepeatingEngine {
public:
    RepeatingEngine()
        : m_acceptor(m_context, { asio::ip::address_v4::loopback(), 0 })
        , m_thread([this] { serve(); })
    {
    }
    ~RepeatingEngine() { m_thread.join(); }
    RepeatingEngine(const RepeatingEngine&) = delete;
    RepeatingEngine& operator=(const RepeatingEngine&) = delete;

    asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

private:
    void serve()
    {
        const std::string refusal = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
        asio::ip::tcp::socket first = m_acceptor.accept();
        readRequest(first);
        asio::write(first, asio::buffer(refusal));
        if (readRequest(first)) {
            asio::write(first, asio::buffer(refusal));
            return;
        }
        asio::ip::tcp::socket second = m_acceptor.accept();
        readRequest(second);
        std::string events = "data: " + hello + "\n\ndata: " + world + "\n\ndata: " + done + "\n\n";
        asio::write(second, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(events.size()) + "\r\n\r\n" + events));
    }

    /** Reads a request, whose body ends with its only closing brace; false if the connection was closed. */
    static bool readRequest(asio::ip::tcp::socket& socket)
    {
        std::string request;
        boost::system::error_code error;
        asio::read_until(socket, asio::dynamic_buffer(request), '}', error);
        return !error;
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

BOOST_AUTO_TEST_CASE(aRepeatedRefusalIsNotTakenForTheNextRequest)
{
    RepeatingEngine engine;
    backend.endpoint = engine.endpoint();
    auto refused = infer();
    BOOST_REQUIRE(!refused);
    BOOST_TEST(hasCertainlyNotRun(refused.error().code));
    auto served = infer();
    BOOST_REQUIRE_MESSAGE(served, "the second request ran and was reported as refused");
    BOOST_TEST(*served == "Hello world");
}

BOOST_AUTO_TEST_CASE(aRefusalOfAnotherAttemptDoesNotMeanThatThisOneHasNotRun)
{
    response = { 503, { { "X-Attempt-Id", "B" } }, "" };
    auto result = infer();
    BOOST_REQUIRE(!result);
    BOOST_TEST(!hasCertainlyNotRun(result.error().code));
}

BOOST_AUTO_TEST_CASE(orderStatusCodesMapToErrorCodes)
{
    EngineOrder order;
    order.id = OrderId("o-17");
    order.model = ModelName("m");
    response.status = 202;
    BOOST_TEST(run(protocol->sendOrder(backend, order, soon())).has_value());
    BOOST_TEST(lastRequest.body.find(R"("order":"o-17")") != std::string::npos);
    response.status = 409;
    BOOST_TEST((run(protocol->sendOrder(backend, order, soon())).error().code == BackendErrorCode::StaleFencing));
    response.status = 507;
    BOOST_TEST((run(protocol->sendOrder(backend, order, soon())).error().code == BackendErrorCode::OutOfMemory));
}

BOOST_AUTO_TEST_CASE(statesAreReadAndAWrongTypeNamesItsField)
{
    response = HttpResponse::json(200, R"({"engine":"e1","incarnation":"a","enforces_fencing":true,"highest_fencing":7,"memory_bytes":1000,"memory_used_bytes":400,"slots":8,"running":2,"lag_ms":200,
        "models":[{"model":"m","version":"1","phase":"loaded","memory_bytes":400,"adapters":["a"]}],"cached_on_disk":["m3"],"orders_seen":["o-1"],"unknown":{}})");
    auto state = run(protocol->readState(backend, soon()));
    BOOST_REQUIRE_MESSAGE(state, state.error().detail);
    BOOST_TEST(state->slots == 8U);
    BOOST_TEST((state->models.at(0).phase == LoadPhase::Loaded));
    BOOST_TEST((state->lag == 200ms));
    response.body = R"({"engine":"e1","incarnation":"a","memory_bytes":"1000","memory_used_bytes":400,"slots":8})";
    auto wrong = run(protocol->readState(backend, soon()));
    BOOST_REQUIRE(!wrong);
    BOOST_TEST(wrong.error().detail.starts_with("memory_bytes:"));
}

BOOST_AUTO_TEST_CASE(serviceAnswersMustEchoTheAttempt)
{
    ServiceRequest call { AttemptId("A"), { "POST", "/book", {}, "one" }, true };
    response = { 200, { { "X-Attempt-Id", "A" } }, "booked" };
    BOOST_TEST(run(protocol->callService(backend, call, soon())).value().body == "booked");
    response = { 200, { { "X-Attempt-Id", "B" } }, "booked" };
    BOOST_TEST((run(protocol->callService(backend, call, soon())).error().code == BackendErrorCode::Malformed));
}

BOOST_AUTO_TEST_CASE(anAnswerWithAnInvalidStatusIsNoAnswer)
{
    EngineOrder order;
    order.id = OrderId("o-17");
    ServiceRequest call { AttemptId("A"), { "POST", "/book", {}, "one" }, true };
    for (unsigned status : { 0U, 99U, 600U }) {
        response = { status, { { "X-Attempt-Id", "A" } }, "booked" };
        BOOST_TEST((infer().error().code == BackendErrorCode::Malformed));
        BOOST_TEST((run(protocol->sendOrder(backend, order, soon())).error().code == BackendErrorCode::Malformed));
        BOOST_TEST((run(protocol->readState(backend, soon())).error().code == BackendErrorCode::Malformed));
        auto served = run(protocol->callService(backend, call, soon()));
        BOOST_REQUIRE(!served);
        BOOST_TEST((served.error().code == BackendErrorCode::Malformed));
        BOOST_TEST(!hasCertainlyNotRun(served.error().code));
    }
}

BOOST_AUTO_TEST_CASE(hostListChangeIsReportedOnce)
{
    HttpClient client { HttpClient::Options() };
    response = HttpResponse::json(200, R"({"hosts":[{"name":"s1","data_centre":"d","kind":"service","service":"stock","address":"127.0.1.1:9001","state":"leaving"}]})");
    HostListClient list(context, client, backend.endpoint, 1ms);
    std::atomic<int> changes { 0 };
    list.onChange([&](const std::vector<BackendServer>&) { ++changes; });
    list.start();
    for (int i = 0; i < 1000 && changes == 0; ++i)
        std::this_thread::sleep_for(5ms);
    std::this_thread::sleep_for(20ms);
    list.stop();
    BOOST_TEST(changes == 1);
    BOOST_TEST(list.servers().at(0).isLeaving);
    context.stop();
    for (std::thread& thread : threads)
        thread.join();
    threads.clear();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BackendCodecTests)

BOOST_AUTO_TEST_CASE(hostListFaultsNameTheField)
{
    auto faultOf = [](std::string_view text) { return parseHostList(text).error().detail; };
    BOOST_TEST(faultOf("{").starts_with("the list is not JSON"));
    BOOST_TEST(faultOf("{}").starts_with("hosts: is missing"));
    BOOST_TEST(faultOf(R"({"hosts":[{"name":7}]})").starts_with("hosts[0].name: must be a text"));
    BOOST_TEST(faultOf(R"({"hosts":[{"name":"e","data_centre":"d","kind":"engine","address":"tallinn:1","state":"live"}]})").starts_with("hosts[0].address:"));
    BOOST_TEST(faultOf(R"({"hosts":[{"name":"e","data_centre":"d","kind":"engine","address":"127.0.0.1:1","state":"gone"}]})").starts_with("hosts[0].state:"));
}

BOOST_AUTO_TEST_CASE(placementsRoundTrip)
{
    DemandReport report { HostName("tallinn-1"), { { ModelName("m"), { 3, 1, 250ms, 7, { { AdapterName("a"), 2 } } } } } };
    BOOST_TEST((decodeDemandReport(encodeDemandReport(report)).value() == report));
    PlacedEngine engine { BackendServerName("e1"), { asio::ip::make_address("127.0.1.1"), 9001 }, "hemlock-http-1", true, 1, 2, 8, 200ms, { { ModelName("m"), { AdapterName("a") } } } };
    PlacementView view { true, HostName("tallinn-2"), { engine }, { { ModelName("m2"), 4s } } };
    BOOST_TEST((decodePlacementView(encodePlacementView(view)).value() == view));
}

BOOST_AUTO_TEST_CASE(randomBytesAreRejectedOrDecodedWithoutACrash)
{
    bool passed = rc::check("decoders survive any bytes", [](const std::string& bytes) {
        (void)decodeDemandReport(bytes);
        (void)decodePlacementView(bytes);
        (void)parseHostList(bytes);
    });
    BOOST_TEST(passed);
    std::string whole = encodePlacementView({ true, HostName("h"), { PlacedEngine() }, {} });
    for (std::size_t length = 0; length < whole.size(); length += 8)
        (void)decodePlacementView(std::string_view(whole).substr(0, length));
}

BOOST_AUTO_TEST_CASE(eventsAreParsedAtAnyChunkBoundary)
{
    const std::string body = ": hello\r\ndata: one\r\n\r\nevent: x\ndata: two\ndata: three\n\ndata: cut";
    for (std::size_t step = 1; step <= body.size(); ++step) {
        EventStreamParser parser;
        for (std::size_t at = 0; at < body.size(); at += step)
            BOOST_TEST(parser.feed(std::string_view(body).substr(at, step)));
        BOOST_TEST(parser.next().value() == "one");
        BOOST_TEST(parser.next().value() == "two\nthree");
        BOOST_TEST(!parser.next().has_value());
    }
    EventStreamParser parser;
    BOOST_TEST(!parser.feed(std::string(std::size_t(3) << 20U, 'x')));
}

BOOST_AUTO_TEST_SUITE_END()
