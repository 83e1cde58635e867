#include "hemlockchute/fleet/ListingPoller.h"

#include "hemlockchute/core/EventLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

constexpr unsigned statusOk = 200;
/** Limit of pages per list; a longer list is treated as unavailable. */
constexpr unsigned maximumPages = 200;
/** How often an inactive poller checks whether it was activated. */
constexpr Duration inactiveCheckInterval = 200ms;
/** Each wait is extended by up to this fraction, so that hosts do not poll in lockstep. */
constexpr double jitterFraction = 0.1;

double drawJitter()
{
    thread_local std::minstd_rand random { std::random_device {}() };
    return std::uniform_real_distribution<>(0, jitterFraction)(random);
}

} // namespace

// Coroutines hold no braced lists (docs/STYLE.md), so their log lines are written here.

void ListingPoller::logUnavailable(std::string_view reason)
{
    logEvent(EventId::HostListUnavailable, { { "reason", reason } });
}

void ListingPoller::logUnreadable(const std::vector<std::string>& reasons)
{
    logEvent(EventId::HostListEntryUnreadable, { { "entries", reasons.size() }, { "reason", reasons.front() } });
}

ListingPoller::ListingPoller(asio::io_context& context, const FleetPlatform& platform, HttpClient& client, Endpoint address, Options options, Handler handler)
    : m_platform(platform)
    , m_client(client)
    , m_address(std::move(address))
    , m_options(options)
    , m_handler(std::move(handler))
    , m_timer(context)
{
}

void ListingPoller::start()
{
    asio::co_spawn(m_timer.get_executor(), run(), asio::detached);
}

void ListingPoller::stop()
{
    m_isStopping = true;
    m_timer.cancel();
}

asio::awaitable<void> ListingPoller::run()
{
    Duration delay = m_options.firstDelay;
    while (!m_isStopping) {
        m_timer.expires_after(delay);
        boost::system::error_code ignored;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        delay = inactiveCheckInterval;
        if (m_isActive && !m_isStopping) {
            bool succeeded = co_await readList();
            delay = nextDelay(succeeded);
        }
    }
}

Duration ListingPoller::nextDelay(bool succeeded)
{
    m_delay = succeeded ? m_options.interval : std::min(m_options.maximumBackOff, std::max(m_options.interval, 2 * m_delay));
    if (std::exchange(m_isUnavailable, !succeeded) && succeeded)
        logEvent(EventId::HostListRegained);
    return m_delay + std::chrono::duration_cast<Duration>(m_delay * drawJitter());
}

asio::awaitable<bool> ListingPoller::readList()
{
    Instant asked = std::chrono::steady_clock::now();
    std::vector<ListedServer> servers;
    std::size_t unreadable = 0;
    std::optional<std::string> page;
    for (unsigned i = 0; i < maximumPages; ++i) {
        HttpRequest request = m_platform.listingRequest(page);
        auto answer = co_await m_client.send(m_address, std::move(request), std::chrono::steady_clock::now() + m_options.timeout);
        std::string reason;
        if (!answer)
            reason = answer.error().detail;
        else if (answer->status != statusOk)
            reason = "status " + std::to_string(answer->status);
        if (!reason.empty()) {
            logUnavailable(reason);
            co_return false;
        }
        auto listing = m_platform.decodeListing(answer->body);
        if (!listing) {
            logUnavailable(listing.error().detail);
            co_return false;
        }
        std::move(listing->servers.begin(), listing->servers.end(), std::back_inserter(servers));
        unreadable += listing->unreadable.size();
        if (!listing->unreadable.empty() && m_unreadable == 0)
            logUnreadable(listing->unreadable);
        page = listing->next;
        if (!page)
            break;
    }
    if (page) {
        logUnavailable("the list exceeds the limit of pages");
        co_return false;
    }
    m_unreadable = unreadable;
    m_handler(std::move(servers), asked);
    co_return true;
}

} // namespace hemlockchute
