#include "hemlockchute/backend/HostListClient.h"

#include "hemlockchute/core/EventLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

constexpr Duration responseTimeout = 2s;
constexpr unsigned statusOk = 200;

HttpRequest listRequest()
{
    HttpRequest request;
    request.target = "/v1/hosts";
    return request;
}

} // namespace

//==============================================================================
struct HostListClient::Impl : std::enable_shared_from_this<HostListClient::Impl> {
    Impl(asio::io_context& context, HttpClient& httpClient, asio::ip::tcp::endpoint platformEndpoint, Duration pollInterval)
        : strand(asio::make_strand(context))
        , timer(strand)
        , client(httpClient)
        , platform(std::move(platformEndpoint))
        , interval(pollInterval)
    {
    }

    asio::awaitable<void> run()
    {
        auto self = shared_from_this();
        while (!stopped) {
            auto response = co_await client.send(platform, listRequest(), std::chrono::steady_clock::now() + responseTimeout);
            if (stopped)
                co_return;
            processResponse(response);
            timer.expires_after(interval);
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

    void processResponse(const Result<HttpResponse, HttpClientErrorCode>& response)
    {
        if (!response)
            return noteFailure(response.error().detail);
        if (response->status != statusOk)
            return noteFailure("status " + std::to_string(response->status));
        auto list = parseHostList(response->body);
        if (!list)
            return noteFailure(list.error().detail);
        lastFailure.clear();
        updateServers(std::move(*list));
    }

    void updateServers(std::vector<BackendServer> list)
    {
        {
            std::lock_guard guard(lock);
            if (list == servers)
                return;
            servers = list;
        }
        logEvent(EventId::HostListChanged, { { "servers", list.size() } });
        if (onChanged)
            onChanged(list);
    }

    /** Logs a failure once, not on every poll. */
    void noteFailure(const std::string& reason)
    {
        if (reason != lastFailure)
            logEvent(EventId::HostListUnavailable, { { "reason", reason } });
        lastFailure = reason;
    }

    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    HttpClient& client;
    asio::ip::tcp::endpoint platform;
    Duration interval;
    std::function<void(const std::vector<BackendServer>&)> onChanged;
    std::string lastFailure;
    std::atomic<bool> stopped { false };
    mutable std::mutex lock;
    std::vector<BackendServer> servers;
};

HostListClient::HostListClient(asio::io_context& context, HttpClient& client, asio::ip::tcp::endpoint platform, Duration interval)
    : m_impl(std::make_shared<Impl>(context, client, std::move(platform), interval))
{
}

HostListClient::~HostListClient()
{
    stop();
}

void HostListClient::start()
{
    asio::co_spawn(
        m_impl->strand, [impl = m_impl] { return impl->run(); }, asio::detached);
}

void HostListClient::stop()
{
    m_impl->stopped = true;
    asio::post(m_impl->strand, [impl = m_impl] { impl->timer.cancel(); });
}

std::vector<BackendServer> HostListClient::servers() const
{
    std::lock_guard guard(m_impl->lock);
    return m_impl->servers;
}

void HostListClient::onChange(std::function<void(const std::vector<BackendServer>&)> callback)
{
    m_impl->onChanged = std::move(callback);
}

} // namespace hemlockchute
