#include "StandIn.h"

#include <map>

namespace hemlockchute::fakes {

namespace asio = boost::asio;

namespace {

/** The platform's list of hosts. */
class Platform : public StandIn {
public:
    explicit Platform(boost::json::array hosts)
        : m_hosts(std::move(hosts))
    {
    }

protected:
    asio::awaitable<void> serve(HttpExchange& exchange) override
    {
        if (exchange.request().path() == "/hosts") {
            boost::system::error_code error;
            boost::json::value hosts = boost::json::parse(exchange.request().body, error);
            std::lock_guard guard(m_lock);
            if (!error && hosts.is_array())
                m_hosts = hosts.as_array();
        }
        boost::json::object answer { { "hosts", hosts() } };
        co_await exchange.respond(jsonAnswer(200, answer));
    }

    boost::json::object observed() const override { return { { "hosts", hosts() } }; }

private:
    boost::json::array hosts() const
    {
        std::lock_guard guard(m_lock);
        return m_hosts;
    }

    boost::json::array m_hosts;
};

/** The weight store: limits the rate at which loads start, and slows down when more than a given number run at once. */
class WeightStore : public StandIn {
public:
    WeightStore(double loadsPerSecond, unsigned atOnce, Duration loadTime)
        : m_interval(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / loadsPerSecond)))
        , m_fullSpeedLoads(atOnce)
        , m_loadTime(loadTime)
    {
    }

protected:
    asio::awaitable<void> serve(HttpExchange& exchange) override
    {
        Instant start = reserveStart();
        co_await pause(start - std::chrono::steady_clock::now());
        unsigned running = beginLoad();
        Duration loadTime = m_loadTime * behaviourNumber("slow_factor", 1);
        co_await pause(running > m_fullSpeedLoads ? loadTime * running / m_fullSpeedLoads : loadTime);
        endLoad();
        co_await exchange.respond(HttpResponse::text(200, "weights"));
    }

    boost::json::object observed() const override
    {
        std::lock_guard guard(m_lock);
        return { { "loads", m_loads }, { "peak_at_once", m_peak } };
    }

private:
    Instant reserveStart()
    {
        std::lock_guard guard(m_lock);
        m_nextStart = std::max(m_nextStart + m_interval, std::chrono::steady_clock::now());
        return m_nextStart;
    }

    unsigned beginLoad()
    {
        std::lock_guard guard(m_lock);
        ++m_loads;
        ++m_running;
        m_peak = std::max(m_peak, m_running);
        return m_running;
    }

    void endLoad()
    {
        std::lock_guard guard(m_lock);
        --m_running;
    }

    Duration m_interval;
    unsigned m_fullSpeedLoads;
    Duration m_loadTime;
    Instant m_nextStart {};
    std::uint64_t m_loads = 0;
    unsigned m_running = 0;
    unsigned m_peak = 0;
};

/** A plain service without deduplication: executes every call and counts executions by Idempotency-Key. */
class Service : public StandIn {
public:
    explicit Service(std::string name)
        : m_name(std::move(name))
    {
    }

protected:
    asio::awaitable<void> serve(HttpExchange& exchange) override
    {
        HttpRequest request = exchange.request();
        std::int64_t number = countCall(request);
        co_await pause(std::chrono::milliseconds(behaviourNumber("delay_ms", 0)));
        bool neverAnswers = behaviourNumber("silent_after_run", 0) != 0;
        if (neverAnswers) {
            co_await waitForDisconnect(exchange);
            co_return;
        }
        HttpResponse answer = jsonAnswer(200, describe(request, number));
        std::string attempt = request.headers.find("X-Attempt-Id").value_or("");
        answer.headers.set("X-Attempt-Id", behaviourNumber("crossed", 0) != 0 ? "somebody-else" : attempt);
        co_await exchange.respond(answer);
    }

    boost::json::object observed() const override
    {
        std::lock_guard guard(m_lock);
        boost::json::object runs;
        for (const auto& [key, count] : m_runs)
            runs[key] = count;
        return { { "service", m_name }, { "calls", m_calls }, { "runs", runs } };
    }

private:
    std::int64_t countCall(const HttpRequest& request)
    {
        std::lock_guard guard(m_lock);
        if (auto key = request.headers.find("Idempotency-Key"))
            ++m_runs[*key];
        return ++m_calls;
    }

    boost::json::object describe(const HttpRequest& request, std::int64_t number) const
    {
        return { { "service", m_name }, { "path", request.path() }, { "call", number } };
    }

    std::string m_name;
    std::map<std::string, std::int64_t> m_runs;
    std::int64_t m_calls = 0;
};

} // namespace

std::unique_ptr<StandIn> makePlatform(const boost::json::array& hosts)
{
    return std::make_unique<Platform>(hosts);
}

std::unique_ptr<StandIn> makeWeightStore(double loadsPerSecond, unsigned atOnce, Duration loadTime)
{
    return std::make_unique<WeightStore>(loadsPerSecond, atOnce, loadTime);
}

std::unique_ptr<StandIn> makeService(const std::string& name)
{
    return std::make_unique<Service>(name);
}

} // namespace hemlockchute::fakes
