#include "ScenarioRunner.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>

namespace hemlockchute::harness {

namespace asio = boost::asio;

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(50);
constexpr Duration observeTimeout = 2s;

std::int64_t numberIn(const boost::json::object& object, std::string_view key)
{
    const boost::json::value* value = object.if_contains(key);
    return value && value->is_number() ? value->to_number<std::int64_t>() : 0;
}

} // namespace

std::optional<HttpResponse> ScenarioRunner::get(const Endpoint& endpoint, const std::string& target, const std::string& token)
{
    HttpRequest request { "GET", target, {}, {} };
    if (!token.empty())
        request.headers.set("Authorization", "Bearer " + token);
    auto answer = asio::co_spawn(asio::make_strand(m_deployment.context()), m_client.send(endpoint, request, std::chrono::steady_clock::now() + observeTimeout, HttpClient::ConnectionUse::Fresh), asio::use_future).get();
    return answer ? std::optional(*answer) : std::nullopt;
}

std::optional<boost::json::object> ScenarioRunner::observe(const std::string& backend)
{
    auto answer = get(m_deployment.backendEndpoint(backend), "/observed");
    if (!answer || answer->status != 200)
        return {};
    return boost::json::parse(answer->body).as_object();
}

std::optional<boost::json::object> ScenarioRunner::status()
{
    auto [code, output] = runControl({ "status", "--json" });
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(output, error);
    return code == 0 && !error && value.is_object() ? std::optional(value.as_object()) : std::nullopt;
}

void ScenarioRunner::eventually(const Statement& statement, const std::function<bool()>& condition, const std::function<std::string()>& seen)
{
    auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(statement.number("TIME", 10));
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit)
            throw std::runtime_error("not within the time; seen: " + seen());
        std::this_thread::sleep_for(pollInterval);
    }
}

void ScenarioRunner::withinVersion(const Statement& statement)
{
    std::string last = "no status";
    auto isInForce = [&] {
        auto seen = status();
        if (!seen)
            return false;
        last = boost::json::serialize(*seen);
        const boost::json::array& hosts = seen->at("hosts").as_array();
        return std::all_of(hosts.begin(), hosts.end(), [&](const boost::json::value& value) {
            const boost::json::object& host = value.as_object();
            bool isSelected = !statement.has("PLACE") || host.at("data_centre").as_string() == statement.at("PLACE");
            return !isSelected || numberIn(host, "version") >= statement.number("VERSION", 0);
        });
    };
    eventually(statement, isInForce, [&] { return last; });
}

void ScenarioRunner::withinKeepers(const Statement& statement)
{
    std::string last = "no status";
    auto hasVoters = [&] {
        auto seen = status();
        if (!seen)
            return false;
        last = boost::json::serialize(*seen);
        int voters = 0;
        for (const boost::json::value& keeper : seen->at("keepers").as_array())
            voters += keeper.as_object().at("voter").as_bool();
        return voters == statement.number("VOTERS", 0);
    };
    eventually(statement, hasVoters, [&] { return last; });
}

unsigned ScenarioRunner::loadedCount(const std::string& model, const std::string& dataCentre)
{
    unsigned count = 0;
    for (const std::string& name : m_deployment.backendNames(true)) {
        if (!dataCentre.empty() && m_deployment.dataCentreOf(name) != dataCentre)
            continue;
        auto seen = observe(name);
        for (const boost::json::value& loaded : seen ? seen->at("loaded").as_array() : boost::json::array())
            count += loaded.as_string() == model;
    }
    return count;
}

void ScenarioRunner::withinLoaded(const Statement& statement)
{
    auto expected = static_cast<unsigned>(statement.number("COUNT", 0));
    unsigned count = 0;
    auto isMet = [&] {
        count = loadedCount(statement.at("MODEL"), statement.valueOr("PLACE", ""));
        const std::string& compare = statement.at("COMPARE");
        return compare == ">=" ? count >= expected : compare == "<=" ? count <= expected
                                                                     : count == expected;
    };
    eventually(statement, isMet, [&] { return std::to_string(count) + " replicas"; });
}

void ScenarioRunner::withinReady(const Statement& statement)
{
    std::string missing;
    auto allReady = [&] {
        for (const std::string& host : m_deployment.hostNames()) {
            for (const char* role : { "router", "controller" }) {
                auto answer = get(m_deployment.operatorEndpoint(host, role), "/readyz");
                missing = host + " " + role;
                if (!answer || answer->status != 200)
                    return false;
            }
        }
        return true;
    };
    eventually(statement, allReady, [&] { return missing + " is not ready"; });
}

void ScenarioRunner::checkRuns(const Statement& statement)
{
    std::int64_t count = 0;
    for (const std::string& name : m_deployment.backendNames(false)) {
        auto seen = observe(name);
        if (seen && name.starts_with(statement.at("SERVICE")))
            count += numberIn(seen->at("runs").as_object(), statement.at("KEY"));
    }
    if (count != statement.number("COUNT", 0))
        throw std::runtime_error("it ran " + std::to_string(count) + " times");
}

void ScenarioRunner::checkLoads(const Statement& statement)
{
    std::int64_t count = 0;
    for (const std::string& name : m_deployment.backendNames(true)) {
        auto seen = observe(name);
        for (const boost::json::value& order : seen ? seen->at("orders").as_array() : boost::json::array()) {
            const boost::json::object& fields = order.as_object();
            count += fields.at("kind").as_string() == "load_model" && fields.at("model").as_string() == statement.at("MODEL");
        }
    }
    if (count != statement.number("COUNT", 0))
        throw std::runtime_error("it was loaded " + std::to_string(count) + " times");
}

void ScenarioRunner::checkInvariants()
{
    if (!m_isStarted)
        return;
    for (const std::string& name : m_deployment.backendNames(true)) {
        auto seen = observe(name);
        if (seen && numberIn(*seen, "memory_peak") > numberIn(*seen, "memory_bytes"))
            throw std::runtime_error("PROMISE BROKEN: the memory of " + name + " was overcommitted");
    }
    std::map<std::string, std::int64_t> runs;
    for (const std::string& name : m_deployment.backendNames(false)) {
        auto seen = observe(name);
        for (const auto& [key, count] : seen ? seen->at("runs").as_object() : boost::json::object())
            runs[std::string(key)] += count.to_number<std::int64_t>();
    }
    for (const auto& [key, count] : runs) {
        if (count > 1)
            throw std::runtime_error("PROMISE BROKEN: the call with key " + key + " ran " + std::to_string(count) + " times");
    }
    for (const auto& [model, cap] : m_caps) {
        if (loadedCount(model, "") > cap)
            throw std::runtime_error("PROMISE BROKEN: more than " + std::to_string(cap) + " replicas of " + model + " are loaded");
    }
}

} // namespace hemlockchute::harness
