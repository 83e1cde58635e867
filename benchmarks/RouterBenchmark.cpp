#include "hemlockchute/core/PluginRegistry.h"
#include "hemlockchute/document/DocumentParser.h"
#include "hemlockchute/http/http.h"
#include "hemlockchute/router/Router.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <cstdio>
#include <ctime>
#include <future>
#include <pthread.h>
#include <thread>

using namespace hemlockchute;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr unsigned rounds = 6;
constexpr unsigned requestsPerRound = 4000;
constexpr unsigned engineSlots = 256;

const tcp::endpoint anyPort(asio::ip::make_address("127.0.0.1"), 0);

/** Runs an io_context on several threads and measures their processor time. */
class ThreadPool {
public:
    explicit ThreadPool(unsigned threads)
        : m_context(static_cast<int>(threads))
        , m_work(asio::make_work_guard(m_context))
    {
        for (unsigned i = 0; i < threads; ++i)
            m_threads.emplace_back([this] { m_context.run(); });
    }

    ~ThreadPool()
    {
        m_context.stop();
        for (std::thread& thread : m_threads)
            thread.join();
    }

    asio::io_context& context() { return m_context; }

    Duration processorTime()
    {
        Duration total {};
        for (std::thread& thread : m_threads) {
            clockid_t clock {};
            timespec time {};
            pthread_getcpuclockid(thread.native_handle(), &clock);
            clock_gettime(clock, &time);
            total += std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
        }
        return total;
    }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
};

/** A registry that is never used, because no benchmark request has an idempotency key. */
class EmptyRunRegistry : public RunRegistry {
public:
    asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> propose(CommandBody, Duration) override
    {
        co_return failure(KeeperClientErrorCode::NotAccepted, "no keepers");
    }
    asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> readRun(IdempotencyKey, Duration) override
    {
        co_return failure(KeeperClientErrorCode::NotAccepted, "no keepers");
    }
};

/** Request handler of an engine that answers immediately with one token. */
asio::awaitable<void> answerImmediately(HttpExchange& exchange)
{
    std::string attempt = exchange.request().headers.find("X-Attempt-Id").value_or("direct");
    HttpHeaders headers;
    headers.set("Content-Type", "text/event-stream");
    co_await exchange.startStream(200, headers);
    co_await exchange.write("data: {\"attempt\":\"" + attempt + "\",\"index\":0,\"token\":\"Hello\"}\n\n");
    co_await exchange.write("data: {\"attempt\":\"" + attempt + "\",\"done\":true,\"tokens\":1}\n\n");
    co_await exchange.finish();
}

HttpRequest modelRequest(const std::string& path)
{
    HttpRequest request { "POST", path, {}, R"({"model":"m","stream":true,"messages":[{"role":"user","content":"Which apron fits a smith?"}]})" };
    request.headers.set("Content-Type", "application/json");
    return request;
}

asio::awaitable<std::vector<Duration>> callRepeatedly(HttpClient& client, tcp::endpoint endpoint, std::string path, unsigned count)
{
    std::vector<Duration> times;
    for (unsigned i = 0; i < count; ++i) {
        Instant startTime = std::chrono::steady_clock::now();
        auto response = co_await client.send(endpoint, modelRequest(path), startTime + 10s);
        bool isComplete = response && response->body.find("\"done\":true") != std::string::npos;
        if (!isComplete)
            std::printf("a request failed\n");
        times.push_back(std::chrono::steady_clock::now() - startTime);
    }
    co_return times;
}

std::vector<Duration> callFrom(ThreadPool& pool, HttpClient& client, const tcp::endpoint& endpoint, const std::string& path, unsigned callers)
{
    std::vector<std::future<std::vector<Duration>>> running;
    for (unsigned i = 0; i < callers; ++i)
        running.push_back(asio::co_spawn(asio::make_strand(pool.context()), callRepeatedly(client, endpoint, path, requestsPerRound / callers), asio::use_future));
    std::vector<Duration> all;
    for (auto& one : running) {
        std::vector<Duration> times = one.get();
        all.insert(all.end(), times.begin(), times.end());
    }
    return all;
}

double microseconds(Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

double quantile(std::vector<Duration>& times, double part)
{
    auto at = times.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(times.size() - 1));
    std::nth_element(times.begin(), at, times.end());
    return microseconds(*at);
}

void useEngine(Router& router, const tcp::endpoint& endpoint)
{
    auto document = parseDocument("[[team.a.ranks]]\nname = \"urgent\"\norder = 0\n\n[[team.a.models]]\nname = \"m\"\nmemory = \"1GiB\"\n", DocumentVersion(1));
    router.setDocument(std::make_shared<Document>(document.value()));
    PlacedEngine engine;
    engine.name = BackendServerName("e1");
    engine.endpoint = endpoint;
    engine.protocol = "hemlock-http-1";
    engine.slots = engineSlots;
    engine.models[ModelName("m")] = {};
    PlacementView view;
    view.isLeader = true;
    view.engines.push_back(engine);
    router.setPlacement(view);
}

} // namespace

/** Prints the latency that the router adds compared with calling the engine directly, both measured in the same run. */
int main()
{
    configureLog(LogOptions().withLevel(Severity::Error));
    ThreadPool enginePool(2);
    ThreadPool routerPool(2);
    ThreadPool callerPool(2);
    HttpServer engine(enginePool.context(), HttpServer::Options(), answerImmediately);
    tcp::endpoint engineEndpoint = engine.listen(anyPort).value();
    EmptyRunRegistry runs;
    Router router(routerPool.context(), Router::Options().withIdPrefix("benchmark"), runs);
    tcp::endpoint routerEndpoint = router.listenForCallers(anyPort).value();
    useEngine(router, engineEndpoint);
    HttpClient client(HttpClient::Options().withMaximumIdleConnections(engineSlots));
    std::printf("callers  direct p50/p99 us  routed p50/p99 us  added p50/p99 us  requests/s per router core\n");
    for (unsigned callers : { 1U, 8U, 64U }) {
        std::vector<Duration> direct;
        std::vector<Duration> routed;
        Duration processor {};
        callFrom(callerPool, client, routerEndpoint, "/v1/chat/completions", callers);
        for (unsigned round = 0; round < rounds; ++round) {
            auto directRound = callFrom(callerPool, client, engineEndpoint, "/v1/infer", callers);
            direct.insert(direct.end(), directRound.begin(), directRound.end());
            Duration before = routerPool.processorTime();
            auto routedRound = callFrom(callerPool, client, routerEndpoint, "/v1/chat/completions", callers);
            processor += routerPool.processorTime() - before;
            routed.insert(routed.end(), routedRound.begin(), routedRound.end());
        }
        double directMedian = quantile(direct, 0.5);
        double direct99th = quantile(direct, 0.99);
        double routedMedian = quantile(routed, 0.5);
        double routed99th = quantile(routed, 0.99);
        double perCore = static_cast<double>(routed.size()) / std::chrono::duration<double>(processor).count();
        std::printf("%7u  %8.0f %8.0f  %8.0f %8.0f  %8.0f %8.0f  %8.0f\n", callers, directMedian, direct99th, routedMedian, routed99th, routedMedian - directMedian, routed99th - direct99th, perCore);
    }
    return 0;
}
