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

constexpr Duration answerTimeout = 2s;
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
    Impl(asio::io_context& context, HttpClient& httpClient, asio::ip::tcp::endpoint platformEndpoint, Duration askInterval)
        : strand(asio::make_strand(context))
        , timer(strand)
        , client(httpClient)
        , platform(std::move(platformEndpoint))
        , interval(askInterval)
    {
    }

    asio::awaitable<void> run()
    {
        auto self = shared_from_this();
        while (!stopped) {
            auto response = co_await client.send(platform, listRequest(), std::chrono::steady_clock::now() + answerTimeout);
            if (stopped)
                co_return;
            take(response);
            timer.expires_after(interval);
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

    void take(const Result<HttpResponse, HttpClientErrorCode>& response)
    {
        if (!response)
            return noteFault(response.error().detail);
        if (response->status != statusOk)
            return noteFault("status " + std::to_string(response->status));
        auto list = parseHostList(response->body);
        if (!list)
            return noteFault(list.error().detail);
        lastFault.clear();
        takeList(std::move(*list));
    }

    void takeList(std::vector<BackendServer> list)
    {
        {
            std::lock_guard guard(lock);
            if (list == servers)
                return;
            servers = list;
        }
        logEvent(EventId::HostListChanged, { { "servers", list.size() } });
        if (changed)
            changed(list);
    }

    /** Logs a fault once, not at each try. */
    void noteFault(const std::string& fault)
    {
        if (fault != lastFault)
            logEvent(EventId::HostListUnavailable, { { "reason", fault } });
        lastFault = fault;
    }

    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    HttpClient& client;
    asio::ip::tcp::endpoint platform;
    Duration interval;
    std::function<void(const std::vector<BackendServer>&)> changed;
    std::string lastFault;
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
    m_impl->changed = std::move(callback);
}

} // namespace hemlockchute
