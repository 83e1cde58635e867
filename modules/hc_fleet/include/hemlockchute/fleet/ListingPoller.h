#pragma once

#include "hemlockchute/fleet/FleetPlatform.h"
#include "hemlockchute/http/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace hemlockchute {

//==============================================================================
/**
    Reads the platform's list of backend servers again and again.

    A list that cannot be read in full changes nothing, and is asked for again after a pause.
    Thread safety: only on the io_context, which runs one thread.
*/
class ListingPoller {
public:
    /** When to ask. */
    struct Options {
        Duration interval = 1s;
        /** Before the first question, while somebody else may tell the list. */
        Duration firstDelay {};
        /** Longest pause after failures. */
        Duration maximumBackOff = 4s;
        Duration timeout = 1s;
    };

    /** A whole list, and when it was asked for. */
    using Handler = std::function<void(std::vector<ListedServer>, Instant asked)>;

    ListingPoller(boost::asio::io_context&, const FleetPlatform&, HttpClient&, Endpoint platform, Options, Handler);

    /** Begins to ask. */
    void start();
    void stop();
    /** Asks only while this is true; true at first. */
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
