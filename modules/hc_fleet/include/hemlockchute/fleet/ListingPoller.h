#pragma once

#include "hemlockchute/fleet/FleetPlatform.h"
#include "hemlockchute/http/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace hemlockchute {

//==============================================================================
/**
    Polls the platform's list of backend servers.

    A list that cannot be read in full is discarded and requested again after a back-off.
    Thread safety: only on the io_context, which runs one thread.
*/
class ListingPoller {
public:
    /** Polling intervals and the time-out per page. */
    struct Options {
        Duration interval = 1s;
        /** Delay before the first request, while another source may provide the list. */
        Duration firstDelay {};
        /** Longest back-off after failures. */
        Duration maximumBackOff = 4s;
        Duration timeout = 1s;
    };

    /** Receives a complete list and the time at which it was requested. */
    using Handler = std::function<void(std::vector<ListedServer>, Instant asked)>;

    ListingPoller(boost::asio::io_context&, const FleetPlatform&, HttpClient&, Endpoint platform, Options, Handler);

    void start();
    void stop();
    /** Pauses or resumes polling; active by default. */
    void setActive(bool isActive) { m_isActive = isActive; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> readList();
    static void logUnavailable(std::string_view reason);
    static void logUnreadable(const std::vector<std::string>& reasons);
    Duration nextDelay(bool succeeded);

    const FleetPlatform& m_platform;
    HttpClient& m_client;
    Endpoint m_address;
    Options m_options;
    Handler m_handler;
    boost::asio::steady_timer m_timer;
    Duration m_delay {};
    bool m_isActive = true;
    bool m_isStopping = false;
    bool m_isUnavailable = false;
    std::size_t m_unreadable = 0;
};

} // namespace hemlockchute
