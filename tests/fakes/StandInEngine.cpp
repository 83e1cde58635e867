#include "StandIn.h"

#include "hemlockchute/settings/SettingsFile.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <map>
#include <set>
#include <unistd.h>

namespace hemlockchute::fakes {

namespace asio = boost::asio;

namespace {

/** A model that is being loaded, loaded or being unloaded. */
struct ModelState {
    std::string version;
    std::string phase;
    std::int64_t memory = 0;
    std::set<std::string> adapters;
};

std::string tokenEvent(const std::string& attempt, std::uint64_t index, const std::string& token)
{
    boost::json::object event { { "attempt", attempt }, { "index", index }, { "token", token } };
    return "data: " + boost::json::serialize(event) + "\n\n";
}

std::string doneEvent(const std::string& attempt, std::uint64_t tokens)
{
    boost::json::object event { { "attempt", attempt }, { "done", true }, { "tokens", tokens } };
    return "data: " + boost::json::serialize(event) + "\n\n";
}

boost::json::object errorObject(const char* error)
{
    return { { "error", error } };
}

HttpHeaders eventStreamHeaders()
{
    return { { "Content-Type", "text/event-stream" } };
}

/** A fake model engine: executes load and unload orders and answers requests with numbered tokens. */
class Engine : public StandIn {
public:
    explicit Engine(EngineOptions options)
        : m_options(std::move(options))
        , m_client(HttpClient::Options())
        , m_incarnation(std::to_string(::getpid()) + "-" + std::to_string(std::chrono::system_clock::now().time_since_epoch().count()))
    {
    }

protected:
    asio::awaitable<void> serve(HttpExchange& exchange) override
    {
        std::string path = exchange.request().path();
        if (path == "/v1/state")
            co_await exchange.respond(jsonAnswer(200, state()));
        else if (path == "/v1/orders")
            co_await handleOrder(exchange);
        else if (path == "/v1/infer")
            co_await infer(exchange);
        else if (path == "/v1/cancel")
            co_await cancel(exchange);
        else if (path == "/v1/cache-events")
            co_await exchange.respond(HttpResponse::json(200, R"({"first":0,"next":0,"events":[]})"));
        else
            co_await exchange.respond(jsonAnswer(404, errorObject("no_such_path")));
    }

    boost::json::object observed() const override
    {
        std::lock_guard guard(m_lock);
        boost::json::array orders;
        for (const boost::json::object& order : m_orders)
            orders.push_back(order);
        return { { "engine", m_options.name }, { "memory_peak", m_memoryPeak }, { "memory_bytes", m_options.memoryBytes }, { "loads", m_loads },
            { "unloads", m_unloads }, { "answers", m_answers }, { "cancelled", m_cancelled }, { "running", m_running }, { "inferences", m_inferenceCount },
            { "orders", orders }, { "loaded", loadedNames() } };
    }

private:
    boost::json::array loadedNames() const
    {
        boost::json::array names;
        for (const auto& [name, model] : m_models)
            names.emplace_back(name);
        return names;
    }

    std::int64_t memoryUsed() const
    {
        std::int64_t used = 0;
        for (const auto& [name, model] : m_models)
            used += model.memory;
        return used;
    }

    boost::json::object state() const
    {
        std::lock_guard guard(m_lock);
        boost::json::array models;
        for (const auto& [name, model] : m_models) {
            boost::json::array adapters(model.adapters.begin(), model.adapters.end());
            models.push_back({ { "model", name }, { "version", model.version }, { "phase", model.phase }, { "memory_bytes", model.memory }, { "adapters", adapters } });
        }
        boost::json::array seen;
        for (const boost::json::object& order : m_orders)
            seen.push_back(order.at("order"));
        return { { "engine", m_options.name }, { "incarnation", m_incarnation }, { "enforces_fencing", m_options.enforcesFencing }, { "highest_fencing", m_highestFencing },
            { "memory_bytes", m_options.memoryBytes }, { "memory_used_bytes", memoryUsed() }, { "slots", m_options.slots }, { "running", m_running }, { "queued", 0 },
            { "leaving", m_leaving }, { "lag_ms", 0 }, { "models", models }, { "cached_in_memory", boost::json::array() }, { "cached_on_disk", boost::json::array() }, { "orders_seen", seen } };
    }

    asio::awaitable<void> handleOrder(HttpExchange& exchange)
    {
        boost::json::object order = jsonBody(exchange.request());
        co_await pause(std::chrono::milliseconds(behaviourNumber("order_delay_ms", 0)));
        HttpResponse answer = acceptOrder(order);
        auto executor = co_await asio::this_coro::executor;
        if (answer.status == 202 && !textOf(order, "kind").empty())
            startExecution(executor, order);
        co_await exchange.respond(answer);
    }

    /** Kept out of the coroutine because g++ 12 miscompiles lambdas created there: it copies them bitwise. */
    void startExecution(const asio::any_io_executor& executor, const boost::json::object& order)
    {
        asio::co_spawn(
            executor, [this, kept = std::make_shared<boost::json::object>(order)] { return executeOrder(*kept); }, asio::detached);
    }

    /** Validates an order, applies its immediate effects and returns the answer. */
    HttpResponse acceptOrder(boost::json::object& order)
    {
        std::lock_guard guard(m_lock);
        std::int64_t fencing = numberOf(order, "fencing", 0);
        for (const boost::json::object& earlier : m_orders) {
            if (earlier.at("order") == order["order"]) {
                order["kind"] = "";
                return HttpResponse::json(202, "{}");
            }
        }
        if (m_options.enforcesFencing && fencing < m_highestFencing)
            return jsonAnswer(409, { { "error", "stale_fencing" }, { "highest_fencing", m_highestFencing } });
        m_highestFencing = std::max(m_highestFencing, fencing);
        HttpResponse answer = applyOrder(order);
        if (answer.status == 202)
            m_orders.push_back(order);
        return answer;
    }

    HttpResponse applyOrder(const boost::json::object& order)
    {
        std::string kind = textOf(order, "kind");
        std::string name = textOf(order, "model");
        auto found = m_models.find(name);
        if (kind == "load_model") {
            if (found != m_models.end())
                return jsonAnswer(409, errorObject("already_loaded"));
            std::int64_t memory = numberOf(order, "memory_bytes", 0);
            // Like a real engine, it accepts orders beyond its memory. Tests detect overcommitment through memory_peak.
            m_models[name] = { textOf(order, "version"), "loading", memory, {} };
            m_memoryPeak = std::max(m_memoryPeak, memoryUsed());
            ++m_loads;
            return HttpResponse::json(202, "{}");
        }
        if (found == m_models.end())
            return jsonAnswer(404, errorObject("not_loaded"));
        if (kind == "unload_model") {
            found->second.phase = "unloading";
            ++m_unloads;
        }
        return HttpResponse::json(202, "{}");
    }

    asio::awaitable<void> executeOrder(boost::json::object order)
    {
        std::string kind = textOf(order, "kind");
        std::string name = textOf(order, "model");
        if (kind == "load_model") {
            co_await fetchWeights(name);
            std::lock_guard guard(m_lock);
            if (auto found = m_models.find(name); found != m_models.end() && found->second.phase == "loading")
                found->second.phase = "loaded";
        } else if (kind == "unload_model") {
            co_await pause(20ms);
            std::lock_guard guard(m_lock);
            m_models.erase(name);
        } else {
            co_await pause(5ms);
            std::lock_guard guard(m_lock);
            auto found = m_models.find(name);
            if (found == m_models.end())
                co_return;
            if (kind == "load_adapter")
                found->second.adapters.insert(textOf(order, "adapter"));
            else
                found->second.adapters.erase(textOf(order, "adapter"));
        }
    }

    asio::awaitable<void> fetchWeights(std::string name)
    {
        auto store = parseEndpoint(m_options.weightStore);
        if (!store) {
            co_await pause(m_options.loadTime);
            co_return;
        }
        HttpRequest request;
        request.target = "/v1/weights/" + name;
        auto answer = co_await m_client.send(*store, request, std::chrono::steady_clock::now() + 10min);
        if (!answer)
            co_await pause(m_options.loadTime);
    }

    /** Acquires a slot for an inference and returns 200, or returns the HTTP status of the refusal. */
    unsigned acquireSlot(const std::string& model, const std::string& adapter)
    {
        std::lock_guard guard(m_lock);
        if (m_leaving)
            return 503;
        auto found = m_models.find(model);
        if (found == m_models.end() || found->second.phase != "loaded")
            return 404;
        if (!adapter.empty() && !found->second.adapters.contains(adapter))
            return 404;
        if (m_running >= m_options.slots)
            return 429;
        ++m_running;
        ++m_inferenceCount;
        return 200;
    }

    void releaseSlot(bool isComplete)
    {
        std::lock_guard guard(m_lock);
        --m_running;
        ++(isComplete ? m_answers : m_cancelled);
    }

    bool isCancelled(const std::string& attempt) const
    {
        std::lock_guard guard(m_lock);
        return m_cancelledAttempts.contains(attempt);
    }

    asio::awaitable<void> infer(HttpExchange& exchange)
    {
        boost::json::object body = jsonBody(exchange.request());
        std::string attempt = exchange.request().headers.find("X-Attempt-Id").value_or("");
        unsigned status = acquireSlot(textOf(body, "model"), textOf(body, "adapter"));
        if (status != 200) {
            co_await exchange.respond(jsonAnswer(status, errorObject("refused")));
            co_return;
        }
        bool complete = co_await streamTokens(exchange, body, attempt);
        releaseSlot(complete);
    }

    asio::awaitable<bool> streamTokens(HttpExchange& exchange, const boost::json::object& body, const std::string& attempt)
    {
        auto tokens = static_cast<std::uint64_t>(numberOf(body, "max_tokens", 16));
        const boost::json::value* previousTokens = body.if_contains("resume_after");
        std::uint64_t index = previousTokens && previousTokens->is_array() ? previousTokens->as_array().size() : 0;
        std::string attemptInAnswer = behaviourNumber("crossed", 0) != 0 ? "somebody-else" : attempt;
        auto dieAfter = static_cast<std::uint64_t>(behaviourNumber("die_after_tokens", 1'000'000));
        bool alive = co_await exchange.startStream(200, eventStreamHeaders());
        while (alive && index < tokens) {
            Duration tokenTime = m_options.tokenTime * behaviourNumber("slow_factor", 1);
            co_await pause(tokenTime);
            if (index >= dieAfter)
                ::_exit(137);
            bool cancelled = isCancelled(attempt);
            if (cancelled)
                co_return false;
            alive = co_await exchange.write(tokenEvent(attemptInAnswer, index, "w" + std::to_string(index) + " "));
            ++index;
        }
        if (!alive)
            co_return false;
        co_await exchange.write(doneEvent(attemptInAnswer, tokens));
        bool finished = co_await exchange.finish();
        co_return finished;
    }

    asio::awaitable<void> cancel(HttpExchange& exchange)
    {
        std::string attempt = textOf(jsonBody(exchange.request()), "attempt");
        {
            std::lock_guard guard(m_lock);
            m_cancelledAttempts.insert(attempt);
        }
        co_await exchange.respond(HttpResponse::json(200, "{}"));
    }

    EngineOptions m_options;
    HttpClient m_client;
    std::string m_incarnation;
    std::map<std::string, ModelState> m_models;
    std::vector<boost::json::object> m_orders;
    std::set<std::string> m_cancelledAttempts;
    std::int64_t m_highestFencing = 0;
    std::int64_t m_memoryPeak = 0;
    std::int64_t m_loads = 0;
    std::int64_t m_unloads = 0;
    std::int64_t m_answers = 0;
    std::int64_t m_cancelled = 0;
    std::int64_t m_inferenceCount = 0;
    unsigned m_running = 0;
    bool m_leaving = false;
};

} // namespace

std::unique_ptr<StandIn> makeEngine(const EngineOptions& options)
{
    return std::make_unique<Engine>(options);
}

} // namespace hemlockchute::fakes
