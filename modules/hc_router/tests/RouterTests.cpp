#include "RouterFixture.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <random>

using namespace hemlockchute;
using namespace hemlockchute::testing;

namespace {

const std::string streamed = R"({"model":"m","prompt":"x","stream":true})";
const std::string buffered = R"({"model":"m","prompt":"x"})";

const HttpHeaders shortDeadline { { "X-Deadline-Ms", "400" } };

/** True when a body of server-sent events has tokens 0 to 2 once each, then the end marker. */
bool isCompleteStream(const std::string& body)
{
    std::size_t at = 0;
    for (const char* part : { "\"index\":0,\"token\":\"t0 \"", "\"index\":1,\"token\":\"t1 \"", "\"index\":2,\"token\":\"t2 \"", "\"done\":true,\"tokens\":3" }) {
        at = body.find(part, at);
        if (at == std::string::npos)
            return false;
    }
    return std::count(body.begin(), body.end(), '\n') == 8;
}

bool says(const HttpResponse& response, unsigned status, const char* outcome)
{
    bool said = response.status == status && response.body.find("\"outcome\":\"" + std::string(outcome) + "\"") != std::string::npos;
    BOOST_TEST_MESSAGE(response.status << " " << response.body);
    return said;
}

FakeServerBehaviour disconnectingAfter(unsigned tokens)
{
    FakeServerBehaviour behaviour;
    behaviour.disconnectAfter = tokens;
    return behaviour;
}

FakeServerBehaviour stallingAfter(unsigned tokens)
{
    FakeServerBehaviour behaviour;
    behaviour.stallAfter = tokens;
    return behaviour;
}

FakeServerBehaviour pausingAfter(unsigned tokens, Duration pause = 1700ms)
{
    FakeServerBehaviour behaviour;
    behaviour.pauseAfter = tokens;
    behaviour.pause = pause;
    return behaviour;
}

FakeServerBehaviour answeringAs(const std::string& attempt)
{
    FakeServerBehaviour behaviour;
    behaviour.attemptIdOverride = attempt;
    return behaviour;
}

FakeServerBehaviour refusingWith(unsigned status)
{
    FakeServerBehaviour behaviour;
    behaviour.status = status;
    return behaviour;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(RouterModelTests, RouterFixture)

BOOST_AUTO_TEST_CASE(answersAreStreamedOrBuffered)
{
    HttpResponse stream = sendModelRequest(streamed, { { "X-Request-Id", "mine" } });
    BOOST_TEST(stream.status == 200U);
    BOOST_TEST(stream.headers.find("X-Request-Id").value() == "mine");
    BOOST_TEST(isCompleteStream(stream.body));
    HttpResponse answer = sendModelRequest(buffered, { { "X-Request-Id", "mine" } });
    BOOST_TEST(answer.body == R"({"id":"mine","model":"m","text":"t0 t1 t2 ","tokens":3})");
}

BOOST_AUTO_TEST_CASE(invalidRequestsAreRefusedWithTheFieldNamed)
{
    auto detailOf = [&](const std::string& body) { return sendModelRequest(body).body; };
    BOOST_TEST(says(sendModelRequest("{"), 400, "not-run"));
    BOOST_TEST(says(sendModelRequest("[]"), 400, "not-run"));
    BOOST_TEST(detailOf(R"({"model":7,"prompt":"x"})").find("model: must be a text") != std::string::npos);
    BOOST_TEST(detailOf(R"({"model":"m"})").find("messages: is missing") != std::string::npos);
    BOOST_TEST(detailOf(R"({"model":"m","prompt":"x","max_tokens":0})").find("max_tokens: must be 1 to 65536") != std::string::npos);
    BOOST_TEST(says(sendModelRequest(R"({"model":"none","prompt":"x"})"), 404, "not-run"));
    BOOST_TEST(says(sendModelRequest(buffered, { { "X-Rank", "none" } }), 400, "not-run"));
    BOOST_TEST(says(sendModelRequest(buffered, { { "X-Deadline-Ms", "-1" } }), 400, "not-run"));
    BOOST_TEST(says(send({ "GET", "/v1/chat/completions", {}, {} }).value(), 405, "not-run"));
    BOOST_TEST(says(send({ "GET", "/v1/document", {}, {} }).value(), 404, "not-run"));
    BOOST_TEST(first.requests().size() + second.requests().size() == 0U);
}

BOOST_AUTO_TEST_CASE(streamOfAFailedEngineIsResumedWithoutLossOrDuplication)
{
    setEngines({ first.placed(ModelName("m")) });
    const std::string resumed[] = { "", R"("resume_after":["t0 "])", R"("resume_after":["t0 ","t1 "])" };
    for (unsigned tokens = 0; tokens < std::size(resumed); ++tokens) {
        std::size_t before = first.requests().size();
        first.queueBehaviour(disconnectingAfter(tokens));
        BOOST_TEST(isCompleteStream(sendModelRequest(streamed).body));
        BOOST_TEST(first.requests().size() == before + 2);
        BOOST_TEST(first.requests().back().body.find(resumed[tokens]) != std::string::npos);
    }
    setEngines({ first.placed(ModelName("m")), second.placed(ModelName("m")) });
    first.setDefaultBehaviour(disconnectingAfter(1));
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(isCompleteStream(sendModelRequest(streamed).body));
}

BOOST_AUTO_TEST_CASE(answersOfAnotherAttemptAreNotForwarded)
{
    first.setDefaultBehaviour(answeringAs("test-a999"));
    HttpResponse answer = sendModelRequest(streamed);
    BOOST_TEST(isCompleteStream(answer.body));
    setEngines({ first.placed(ModelName("m")) });
    HttpResponse refused = sendModelRequest(streamed);
    BOOST_TEST(refused.status == 502U);
    BOOST_TEST(refused.body.find("t0") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(stalledConnectionsTimeOutAndTheStreamIsResumed)
{
    first.queueBehaviour(stallingAfter(1));
    setEngines({ first.placed(ModelName("m")) });
    BOOST_TEST(isCompleteStream(sendModelRequest(streamed).body));
    first.queueBehaviour(stallingAfter(0));
    BOOST_TEST(isCompleteStream(sendModelRequest(streamed, { { "X-Deadline-Ms", "2000" } }).body));
}

BOOST_AUTO_TEST_CASE(requestsRefusedByAnEngineAreRetriedOrRefusedAtTheirDeadline)
{
    first.setDefaultBehaviour(refusingWith(503));
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(isCompleteStream(sendModelRequest(streamed).body));
    setEngines({ first.placed(ModelName("m")) });
    BOOST_TEST(says(sendModelRequest(streamed, shortDeadline), 504, "not-run"));
}

BOOST_AUTO_TEST_CASE(waitingRequestsAreServedOnceTheirModelIsLoaded)
{
    std::atomic<bool> wanted { false };
    auto answer = std::async(std::launch::async, [&] { return sendModelRequest(R"({"model":"cold","prompt":"x","stream":true})"); });
    BOOST_TEST(eventually([&] { return router.queueDepth() == 1; }));
    DemandReport demand = router.demand(HostName("h"));
    BOOST_TEST(demand.models.at(ModelName("cold")).waiting == 1U);
    BOOST_TEST(demand.models.at(ModelName("cold")).arrivals == 1U);
    setEngines({ first.placed(ModelName("cold")) });
    BOOST_TEST(isCompleteStream(answer.get().body));
    BOOST_TEST(router.queueDepth() == 0U);
}

BOOST_AUTO_TEST_CASE(requestsThatCannotBeServedAreRefusedAtTheirDeadline)
{
    setEngines({});
    BOOST_TEST(says(sendModelRequest(buffered, shortDeadline), 504, "not-run"));
    BOOST_TEST(router.queueDepth() == 0U);
}

BOOST_AUTO_TEST_CASE(aFullQueueRefusesAtOnceWithRetryAfter)
{
    setEngines({});
    constexpr int callers = 12;
    std::vector<std::future<HttpResponse>> waiting;
    waiting.reserve(callers);
    HttpResponse refused;
    for (int i = 0; i < callers; ++i)
        waiting.push_back(std::async(std::launch::async, [&] { return sendModelRequest(buffered, { { "X-Deadline-Ms", "1500" } }); }));
    unsigned full = 0;
    for (auto& answer : waiting) {
        HttpResponse response = answer.get();
        BOOST_TEST(response.body.find("\"outcome\":\"not-run\"") != std::string::npos);
        if (response.status == 429) {
            ++full;
            BOOST_TEST(std::stoi(response.headers.find("Retry-After").value()) >= 1);
        }
    }
    BOOST_TEST(full >= 4U);
    BOOST_TEST(router.queueDepth() == 0U);
}

BOOST_AUTO_TEST_CASE(aCallerDisconnectFreesItsQueueEntryAndItsEngineSlot)
{
    auto leave = [&](const std::string& model, auto&& arrived) {
        std::string body = R"({"model":")" + model + R"(","prompt":"x","stream":true})";
        boost::asio::io_context own;
        boost::asio::ip::tcp::socket socket(own);
        socket.connect(callers);
        boost::asio::write(socket, boost::asio::buffer("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
        BOOST_TEST(eventually(arrived));
    };
    leave("cold", [&] { return router.queueDepth() == 1; });
    BOOST_TEST(eventually([&] { return router.queueDepth() == 0; }));
    first.setDefaultBehaviour(stallingAfter(0));
    setEngines({ first.placed(ModelName("m"), 1) });
    leave("m", [&] { return first.running() == 1; });
    BOOST_TEST(eventually([&] { return first.running() == 0; }));
    first.setDefaultBehaviour({});
    BOOST_TEST(isCompleteStream(sendModelRequest(streamed).body));
}

BOOST_AUTO_TEST_CASE(leavingEnginesGetNoNewWork)
{
    BackendServer leaving = first.server();
    leaving.isLeaving = true;
    router.setServers({ leaving, second.server() });
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(sendModelRequest(buffered).status == 200U);
    BOOST_TEST(first.requests().empty());
    router.setServers({ first.server(), second.server() });
    PlacedEngine draining = second.placed(ModelName("m"));
    draining.takesNewWork = false;
    setEngines({ first.placed(ModelName("m")), draining });
    std::size_t before = second.requests().size();
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(sendModelRequest(buffered).status == 200U);
    BOOST_TEST(second.requests().size() == before);
}

BOOST_AUTO_TEST_CASE(aGracefulStopCompletesRequestsInProgress)
{
    first.setHeld(true);
    second.setHeld(true);
    auto answer = std::async(std::launch::async, [&] { return sendModelRequest(streamed); });
    BOOST_TEST(eventually([&] { return first.running() + second.running() == 1; }));
    std::promise<void> stopped;
    router.stop([&] { stopped.set_value(); });
    // This request may have been accepted just before the stop; then it is served too, once the engines continue.
    auto late = std::async(std::launch::async, [&] { return send({ "POST", "/v1/chat/completions", {}, buffered }); });
    late.wait_for(200ms);
    first.setHeld(false);
    second.setHeld(false);
    BOOST_TEST(isCompleteStream(answer.get().body));
    stopped.get_future().wait();
    auto refused = late.get();
    BOOST_TEST((refused.has_value() == false || refused->status == 200));
}

BOOST_AUTO_TEST_CASE(unreadableInputIsBoundedAndRefused)
{
    BOOST_TEST(exchangeRaw("POST /v1/chat/completions HTTP/1.1\r\nX-Long: " + std::string(20000, 'a') + "\r\n\r\n").starts_with("HTTP/1.1 431"));
    BOOST_TEST(exchangeRaw("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 5000000\r\n\r\n").starts_with("HTTP/1.1 413"));
    BOOST_TEST(exchangeRaw("POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n").starts_with("HTTP/1.1 400"));
    std::mt19937 random(7);
    for (int i = 0; i < 200; ++i) {
        std::string bytes(random() % 600, '\0');
        for (char& byte : bytes)
            byte = static_cast<char>(random());
        exchangeRaw(bytes, true);
    }
    BOOST_TEST(isCompleteStream(sendModelRequest(streamed).body));
}

BOOST_AUTO_TEST_CASE(operatorsSeeHealthReadinessAndMetrics)
{
    sendModelRequest(buffered);
    callers = operators;
    BOOST_TEST(send({ "GET", "/healthz", {}, {} })->status == 200U);
    BOOST_TEST(send({ "GET", "/readyz", {}, {} })->status == 200U);
    std::string metrics = send({ "GET", "/metrics", {}, {} })->body;
    BOOST_TEST(metrics.find("hemlock_router_answered_total 1") != std::string::npos);
    BOOST_TEST(metrics.find("hemlock_router_first_token_seconds_count{rank=\"patient\"} 1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

//==============================================================================
/** Starts streams at a known engine and keeps engines occupied. */
struct SilenceFixture : RouterFixture {
    std::future<HttpResponse> sendTo(FakeBackendServer& server, HttpHeaders headers = {})
    {
        std::size_t before = server.requests().size();
        setEngines({ server.placed(ModelName("m"), 1) });
        auto answer = std::async(std::launch::async, [this, headers = std::move(headers)] { return sendModelRequest(streamed, headers); });
        BOOST_TEST(eventually([&] { return server.requests().size() == before + 1; }));
        return answer;
    }

    std::future<HttpResponse> occupy(FakeBackendServer& server)
    {
        server.setHeld(true);
        return sendTo(server);
    }

    void useBothEngines(unsigned slots)
    {
        setEngines({ first.placed(ModelName("m"), slots), second.placed(ModelName("m"), slots) });
    }
};

BOOST_FIXTURE_TEST_SUITE(RouterSilenceTests, SilenceFixture)

BOOST_AUTO_TEST_CASE(aStreamIsNotGivenUpWhileItsOnlyEngineIsSilent)
{
    first.setDefaultBehaviour(pausingAfter(1));
    HttpResponse answer = sendTo(first).get();
    BOOST_TEST(isCompleteStream(answer.body), answer.body);
    BOOST_TEST(first.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(aRequestIsNotGivenUpWhileItsOnlyEngineIsSilentBeforeTheFirstToken)
{
    first.setDefaultBehaviour(pausingAfter(0));
    HttpResponse answer = sendTo(first, { { "X-Deadline-Ms", "3000" } }).get();
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(isCompleteStream(answer.body), answer.body);
    BOOST_TEST(first.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(aRequestIsNotGivenUpWhileItsOnlyEngineHasNotAcceptedIt)
{
    auto answer = occupy(first);
    std::this_thread::sleep_for(1700ms);
    first.setHeld(false);
    BOOST_TEST(isCompleteStream(answer.get().body));
    answer = sendTo(first, { { "X-Deadline-Ms", "3000" } });
    BOOST_TEST(isCompleteStream(answer.get().body));
    first.setHeld(true);
    answer = sendTo(first, { { "X-Deadline-Ms", "3000" } });
    std::this_thread::sleep_for(1700ms);
    first.setHeld(false);
    HttpResponse late = answer.get();
    BOOST_TEST(late.status == 200U);
    BOOST_TEST(isCompleteStream(late.body), late.body);
    BOOST_TEST(first.requests().size() == 3U);
}

BOOST_AUTO_TEST_CASE(aStreamIsNotGivenUpWhileEveryOtherEngineIsFull)
{
    auto other = occupy(second);
    first.setDefaultBehaviour(pausingAfter(1));
    auto answer = sendTo(first);
    useBothEngines(1);
    HttpResponse stream = answer.get();
    BOOST_TEST(isCompleteStream(stream.body), stream.body);
    BOOST_TEST(first.requests().size() == 1U);
    second.setHeld(false);
    BOOST_TEST(isCompleteStream(other.get().body));
}

BOOST_AUTO_TEST_CASE(theLastAttemptOfAStreamIsNotGivenUpForSilence)
{
    for (int i = 0; i < 3; ++i)
        first.queueBehaviour(disconnectingAfter(1));
    first.queueBehaviour(pausingAfter(1));
    setEngines({ first.placed(ModelName("m")) });
    auto answer = std::async(std::launch::async, [&] { return sendModelRequest(streamed); });
    BOOST_TEST(eventually([&] { return first.requests().size() == 4; }));
    useBothEngines(8);
    HttpResponse stream = answer.get();
    BOOST_TEST(isCompleteStream(stream.body), stream.body);
    BOOST_TEST(second.requests().empty());
}

BOOST_AUTO_TEST_CASE(aRequestIsNotGivenUpForSilenceWhenNoRetryIsLeftInTheBudget)
{
    setEngines({ first.placed(ModelName("m")) });
    bool isExhausted = false;
    for (int i = 0; i < 20 && !isExhausted; ++i) {
        first.queueBehaviour(disconnectingAfter(0));
        isExhausted = sendModelRequest(streamed).status == 502;
    }
    BOOST_TEST(isExhausted);
    first.queueBehaviour(pausingAfter(0));
    auto answer = sendTo(first, { { "X-Deadline-Ms", "3000" } });
    useBothEngines(8);
    HttpResponse stream = answer.get();
    BOOST_TEST(isCompleteStream(stream.body), stream.body);
    BOOST_TEST(second.requests().empty());
}

BOOST_AUTO_TEST_CASE(aStreamLeavesASilentEngineOnceAnotherBecomesFree)
{
    for (unsigned tokens : { 0U, 1U }) {
        std::size_t before = first.requests().size();
        auto other = occupy(second);
        first.queueBehaviour(stallingAfter(tokens));
        auto answer = sendTo(first, { { "X-Deadline-Ms", "3600" } });
        useBothEngines(1);
        std::this_thread::sleep_for(2200ms);
        BOOST_TEST(first.running() == 1U);
        BOOST_TEST(first.requests().size() == before + 1);
        second.setHeld(false);
        HttpResponse stream = answer.get();
        BOOST_TEST(isCompleteStream(stream.body), stream.body);
        BOOST_TEST(isCompleteStream(other.get().body));
        BOOST_TEST(first.requests().size() == before + 1);
        BOOST_TEST(eventually([&] { return first.running() == 0; }));
    }
}

BOOST_AUTO_TEST_CASE(aCallerDisconnectEndsASilentAttempt)
{
    first.setDefaultBehaviour(stallingAfter(1));
    setEngines({ first.placed(ModelName("m"), 1) });
    {
        boost::asio::io_context own;
        boost::asio::ip::tcp::socket socket(own);
        socket.connect(callers);
        boost::asio::write(socket, boost::asio::buffer("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: " + std::to_string(streamed.size()) + "\r\n\r\n" + streamed));
        BOOST_TEST(eventually([&] { return first.running() == 1; }));
        std::this_thread::sleep_for(1300ms);
        BOOST_TEST(first.running() == 1U);
        BOOST_TEST(first.requests().size() == 1U);
    }
    BOOST_TEST(eventually([&] { return first.running() == 0; }));
    first.setDefaultBehaviour({});
    BOOST_TEST(isCompleteStream(sendModelRequest(streamed).body));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RouterServiceTests, RouterFixture)

BOOST_AUTO_TEST_CASE(idempotentCallsAreRetriedAndForwarded)
{
    router.setServers({ first.server(ServiceName("stock")), second.server(ServiceName("stock")) });
    first.setDefaultBehaviour(stallingAfter(0));
    for (int i = 0; i < 4; ++i) {
        HttpResponse response = send({ "GET", "/services/stock/items/hide?size=3", {}, {} }).value();
        BOOST_TEST(response.status == 200U);
        BOOST_TEST(response.body == "done: ");
    }
    BOOST_TEST(second.requests().front().target == "/items/hide?size=3");
    BOOST_TEST(says(send({ "GET", "/services/none/x", {}, {} }).value(), 404, "not-run"));
}

BOOST_AUTO_TEST_CASE(anIdempotentCallIsNotGivenUpWhileItsOnlyServerIsSilent)
{
    router.setServers({ first.server(ServiceName("stock")) });
    first.setDefaultBehaviour(pausingAfter(0, 1200ms));
    HttpResponse response = send({ "GET", "/services/stock/items/hide", {}, {} }).value();
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.body == "done: ");
    BOOST_TEST(first.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(anIdempotentCallLeavesASilentServerForAnother)
{
    router.setServers({ first.server(ServiceName("stock")) });
    first.setDefaultBehaviour(stallingAfter(0));
    auto answer = std::async(std::launch::async, [&] { return send({ "GET", "/services/stock/items/hide", {}, {} }).value(); });
    BOOST_TEST(eventually([&] { return first.running() == 1; }));
    std::this_thread::sleep_for(1200ms);
    BOOST_TEST(first.requests().size() == 1U);
    router.setServers({ first.server(ServiceName("stock")), second.server(ServiceName("stock")) });
    BOOST_TEST(answer.get().status == 200U);
    BOOST_TEST(first.requests().size() == 1U);
    BOOST_TEST(second.requests().size() == 1U);
    BOOST_TEST(eventually([&] { return first.running() == 0; }));
}

BOOST_AUTO_TEST_CASE(aBookingRunsOnceAndItsAnswerIsRecorded)
{
    router.setServers({ first.server(ServiceName("booking")) });
    HttpResponse run = callBookingService("k1");
    BOOST_TEST(run.status == 200U);
    BOOST_TEST(run.headers.find("X-Run").value() == "first");
    HttpResponse again = callBookingService("k1");
    BOOST_TEST(again.headers.find("X-Run").value() == "recorded");
    BOOST_TEST(again.body == run.body);
    BOOST_TEST(says(callBookingService("k1", "two"), 409, "not-run"));
    BOOST_TEST(says(callBookingService(std::string(201, 'k')), 400, "not-run"));
    BOOST_TEST(first.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(aBookingThatMayHaveRunIsNotRetried)
{
    router.setServers({ first.server(ServiceName("booking")), second.server(ServiceName("booking")) });
    for (FakeBackendServer* backend : { &first, &second })
        backend->setDefaultBehaviour(disconnectingAfter(0));
    BOOST_TEST(says(callBookingService("k1"), 502, "outcome-unknown"));
    BOOST_TEST(eventually([&] { return runs.run("k1").state == RunAnswer::State::OutcomeUnknown; }));
    BOOST_TEST(says(callBookingService("k1"), 502, "outcome-unknown"));
    BOOST_TEST(says(callBookingService(""), 502, "outcome-unknown"));
    BOOST_TEST(first.requests().size() + second.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(aTimedOutBookingHasAnUnknownOutcomeAndIsNotRetried)
{
    router.setServers({ first.server(ServiceName("booking")) });
    first.setDefaultBehaviour(stallingAfter(0));
    BOOST_TEST(says(callBookingService("k1", "one", shortDeadline), 504, "outcome-unknown"));
    BOOST_TEST(says(callBookingService("k1", "one", shortDeadline), 504, "outcome-unknown"));
    BOOST_TEST(first.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(aRepeatedKeyWaitsForTheRunInProgress)
{
    router.setServers({ first.server(ServiceName("booking")) });
    first.setHeld(true);
    auto run = std::async(std::launch::async, [&] { return callBookingService("k1"); });
    BOOST_TEST(eventually([&] { return first.running() == 1; }));
    auto again = std::async(std::launch::async, [&] { return callBookingService("k1"); });
    std::this_thread::sleep_for(50ms);
    first.setHeld(false);
    BOOST_TEST(run.get().headers.find("X-Run").value() == "first");
    BOOST_TEST(again.get().headers.find("X-Run").value() == "recorded");
    BOOST_TEST(first.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(aCallCompletesAfterItsCallersDeadlineAndIsRecorded)
{
    router.setServers({ first.server(ServiceName("booking")) });
    first.setHeld(true);
    BOOST_TEST(says(callBookingService("k1", "one", shortDeadline), 504, "outcome-unknown"));
    first.setHeld(false);
    BOOST_TEST(eventually([&] { return runs.run("k1").state == RunAnswer::State::Done; }));
    BOOST_TEST(callBookingService("k1").headers.find("X-Run").value() == "recorded");
    BOOST_TEST(first.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(withoutAQuorumNothingIsSentAndTheClaimIsVoided)
{
    router.setServers({ first.server(ServiceName("booking")) });
    for (FakeRunRegistry::Mode mode : { FakeRunRegistry::Mode::Unavailable, FakeRunRegistry::Mode::AnswersLost, FakeRunRegistry::Mode::Delayed }) {
        std::string key = "k" + std::to_string(static_cast<int>(mode));
        runs.setMode(mode);
        HttpResponse refused = callBookingService(key);
        BOOST_TEST(says(refused, 503, "not-run"));
        BOOST_TEST(refused.headers.find("Retry-After").has_value());
        runs.setMode(FakeRunRegistry::Mode::Available);
        BOOST_TEST(eventually([&] { return runs.run(key).state != RunAnswer::State::InProgress; }));
        BOOST_TEST(first.requests().empty());
    }
    BOOST_TEST(callBookingService("k3").headers.find("X-Run").value() == "first");
}

BOOST_AUTO_TEST_CASE(aClaimGrantedAfterTheDeadlineIsVoidedAndNothingIsSent)
{
    router.setServers({ first.server(ServiceName("booking")) });
    runs.setMode(FakeRunRegistry::Mode::Slow);
    BOOST_TEST(says(callBookingService("k1", "one", shortDeadline), 504, "not-run"));
    BOOST_TEST(eventually([&] { return runs.run("k1").state == RunAnswer::State::Void; }));
    BOOST_TEST(first.requests().empty());
}

BOOST_AUTO_TEST_CASE(aBookingThatWasNotSentIsVoidedAndMayRunLater)
{
    BackendServer gone = first.server(ServiceName("booking"));
    gone.endpoint.port(1);
    router.setServers({ gone });
    BOOST_TEST(says(callBookingService("k1"), 503, "not-run"));
    BOOST_TEST(says(callBookingService(""), 503, "not-run"));
    router.setServers({ first.server(ServiceName("booking")) });
    BOOST_TEST(callBookingService("k1").headers.find("X-Run").value() == "first");
}

BOOST_AUTO_TEST_SUITE_END()
