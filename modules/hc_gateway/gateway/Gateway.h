#pragma once

#include "gateway/GatewayCore.h"
#include "hemlockchute/core/RoleService.h"
#include "hemlockchute/http/HttpServer.h"

#include <boost/asio/steady_timer.hpp>

namespace hemlockchute {

//==============================================================================
/**
    A running gateway: forwards callers' requests according to the agreed routes.

    Thread safety: only on the io_context, which runs one thread.

    @see RequestForwarder, CoordinatorLink
*/
class Gateway {
public:
    Gateway(boost::asio::io_context&, const GatewaySettings&, const FleetPlatform&);

    Result<void, RoleErrorCode> start();
    /** Applies the settings that can change at run time. */
    void reload(const GatewaySettings&);
    /** Stops gracefully: reports not ready, serves until the platform sends no new connections, drains requests, and calls `done` once, when all requests are finished or the grace time is over. */
    void stop(std::function<void()> done);

private:
    boost::asio::awaitable<void> serve(HttpExchange&);
    boost::asio::awaitable<void> answerReadiness(HttpExchange&);
    boost::asio::awaitable<void> answerMetrics(HttpExchange&);
    void applyConfiguration(ConfigurationVersion, const ByteString&);
    void updateListing(std::vector<ListedServer>);
    void closeConnections(const std::vector<Endpoint>&);
    void checkServers();
    void closeBrokenConnections();
    void logAccess();
    bool isReady() const;
    void abortRequests();
    void finishStop();

    GatewaySettings m_settings;
    const FleetPlatform& m_platform;
    HttpClient m_client;
    PeerClient m_peers;
    ServerTable m_servers;
    DemandTracker m_demand;
    PromptPartMonitor m_promptParts { PromptPartMonitor::Options() };
    ServerRateLimiter m_rateLimiter { ServerRateLimiter::Options(), std::random_device {}() };
    AccessControl m_access;
    std::shared_ptr<QuotaLimiter> m_quotas = std::make_shared<QuotaLimiter>(QuotaLimiter::Options());
    CoordinatorLink m_link;
    GatewayCore m_core;
    ListingPoller m_listing;
    std::shared_ptr<RequestBufferBudget> m_requestMemory;
    HttpServer m_callers;
    HttpServer m_readiness;
    HttpServer m_metrics;
    boost::asio::steady_timer m_listTimer;
    boost::asio::steady_timer m_connectionTimer;
    boost::asio::steady_timer m_stopTimer;
    boost::asio::steady_timer m_endTimer;
    std::function<void()> m_onStopped;
    /** True while access keys are accepted. */
    bool m_acceptsKeys = true;
};

} // namespace hemlockchute
