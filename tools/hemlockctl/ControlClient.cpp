#include "ControlClient.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

constexpr Duration fetchTimeout = 5s;
constexpr Duration retryInterval = 200ms;
constexpr Duration progressInterval = 1s;
/** Exceeds the time that a keeper needs to commit a document and wait for it to be in force. */
constexpr Duration answerTimeout = 20s;
constexpr unsigned serviceUnavailable = 503;

std::string describe(const Result<HttpResponse, HttpClientErrorCode>& result)
{
    if (!result)
        return result.error().detail;
    return std::to_string(result->status) + " " + result->body;
}

} // namespace

ControlClient::ControlClient(ControlSettings settings, Duration timeout, std::ostream& progress)
    : m_settings(std::move(settings))
    , m_timeout(timeout)
    , m_progress(progress)
{
}

Result<HttpResponse, ControlErrorCode> ControlClient::send(HttpRequest request, RetryPolicy retryPolicy)
{
    request.headers.set("Authorization", "Bearer " + m_settings.token);
    m_deadline = std::chrono::steady_clock::now() + m_timeout;
    m_answer.reset();
    m_failures.assign(m_settings.keepers.size(), "was not asked");
    asio::io_context context;
    HttpClient client { HttpClient::Options() };
    m_client = &client;
    asio::co_spawn(context, reportProgress(), asio::detached);
    asio::co_spawn(context, tryKeepers(std::move(request), retryPolicy), [&](const std::exception_ptr&) { context.stop(); });
    context.run();
    m_client = nullptr;
    if (m_answer)
        return std::move(*m_answer);
    return failure(ControlErrorCode::Unreachable, failures());
}

Result<HttpResponse, ControlErrorCode> ControlClient::fetch(const Endpoint& endpoint, const std::string& target)
{
    asio::io_context context;
    HttpClient client { HttpClient::Options() };
    HttpRequest request;
    request.target = target;
    auto answered = asio::co_spawn(context, client.send(endpoint, std::move(request), std::chrono::steady_clock::now() + fetchTimeout), asio::use_future);
    context.run();
    auto response = answered.get();
    if (!response)
        return failureBecause(ControlErrorCode::Unreachable, response.error());
    return std::move(*response);
}

asio::awaitable<void> ControlClient::tryKeepers(HttpRequest request, RetryPolicy retryPolicy)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (std::chrono::steady_clock::now() < m_deadline) {
        for (m_currentKeeper = 0; m_currentKeeper < m_settings.keepers.size(); ++m_currentKeeper) {
            bool isSettled = co_await sendTo(m_settings.keepers[m_currentKeeper], request, retryPolicy);
            if (isSettled)
                co_return;
        }
        timer.expires_after(retryInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<bool> ControlClient::sendTo(const Endpoint& keeper, const HttpRequest& request, RetryPolicy retryPolicy)
{
    Instant deadline = std::min(m_deadline, std::chrono::steady_clock::now() + answerTimeout);
    Result<HttpResponse, HttpClientErrorCode> result = co_await m_client->send(keeper, request, deadline, HttpClient::ConnectionUse::Fresh);
    if (result && result->status != serviceUnavailable) {
        m_answer = std::move(*result);
        co_return true;
    }
    m_failures[m_currentKeeper] = describe(result);
    bool mayHaveTakenEffect = result.has_value() || !isCertainlyNotSent(result.error().code);
    co_return retryPolicy == RetryPolicy::IfNotSent&& mayHaveTakenEffect;
}

asio::awaitable<void> ControlClient::reportProgress()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (unsigned seconds = 1;; ++seconds) {
        timer.expires_after(progressInterval);
        co_await timer.async_wait(asio::use_awaitable);
        std::size_t current = std::min(m_currentKeeper, m_settings.keepers.size() - 1);
        m_progress << "waiting for " << formatEndpoint(m_settings.keepers[current]) << " (" << seconds << " s)\n"
                   << std::flush;
    }
}

std::string ControlClient::failures() const
{
    std::string text;
    for (std::size_t i = 0; i < m_failures.size(); ++i)
        text += (i ? "\n" : "") + formatEndpoint(m_settings.keepers[i]) + ": " + m_failures[i];
    return text;
}

} // namespace hemlockchute
