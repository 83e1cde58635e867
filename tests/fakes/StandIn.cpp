#include "StandIn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockchute::fakes {

namespace asio = boost::asio;

asio::awaitable<void> StandIn::handle(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    if (request.path() == "/observed") {
        co_await exchange.respond(jsonAnswer(200, observed()));
        co_return;
    }
    if (request.path() == "/behave") {
        boost::json::object changes = jsonBody(request);
        {
            std::lock_guard guard(m_lock);
            for (const auto& [key, value] : changes)
                m_behaviour[key] = value;
        }
        co_await exchange.respond(HttpResponse::json(200, "{}"));
        co_return;
    }
    bool silent = behaviourNumber("silent", 0) != 0;
    if (silent)
        co_await waitForDisconnect(exchange);
    else
        co_await serve(exchange);
}

boost::json::value StandIn::behaviour(std::string_view key) const
{
    std::lock_guard guard(m_lock);
    const boost::json::value* value = m_behaviour.if_contains(key);
    return value ? *value : boost::json::value();
}

std::int64_t StandIn::behaviourNumber(std::string_view key, std::int64_t fallback) const
{
    boost::json::value value = behaviour(key);
    return value.is_int64() ? value.as_int64() : fallback;
}

asio::awaitable<void> pause(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> waitForDisconnect(HttpExchange& exchange)
{
    while (!exchange.isCallerDisconnected())
        co_await pause(20ms);
}

HttpResponse jsonAnswer(unsigned status, const boost::json::value& value)
{
    return HttpResponse::json(status, boost::json::serialize(value));
}

boost::json::object jsonBody(const HttpRequest& request)
{
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(request.body, error);
    return !error && value.is_object() ? value.as_object() : boost::json::object();
}

std::string textOf(const boost::json::object& object, std::string_view key)
{
    const boost::json::value* value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::int64_t numberOf(const boost::json::object& object, std::string_view key, std::int64_t fallback)
{
    const boost::json::value* value = object.if_contains(key);
    return value && value->is_int64() ? value->as_int64() : fallback;
}

} // namespace hemlockchute::fakes
