#pragma once

#include "gateway/AccessControl.h"
#include "gateway/AsyncConditionVariable.h"
#include "gateway/CoordinatorLink.h"
#include "gateway/DemandTracker.h"
#include "gateway/GatewaySettings.h"
#include "gateway/HedgePolicy.h"
#include "gateway/PromptPartMonitor.h"
#include "gateway/QuotaLimiter.h"
#include "gateway/ServerAdmission.h"
#include "gateway/ServerRateLimiter.h"
#include "gateway/ServerTable.h"
#include "gateway/WaitingQueue.h"
#include "hemlockchute/http/BufferBudget.h"
#include "hemlockchute/http/HttpClient.h"
#include "hemlockchute/report/Metrics.h"

#include <memory>
#include <random>
#include <set>

namespace hemlockchute {

class RequestForwarder;

//==============================================================================
/**
    The state shared by all requests at one gateway.

    Thread safety: one thread.

    @see RequestForwarder
*/
struct GatewayCore {
    GatewayCore(const FleetPlatform& fleetPlatform, const GatewaySettings& settings, HttpClient& httpClient, CoordinatorLink& coordinatorLink, ServerTable& serverTable, DemandTracker& demandLedger, PromptPartMonitor& promptPartMonitor, ServerRateLimiter& serverRateLimiter, AccessControl& accessControl, std::shared_ptr<QuotaLimiter> quotaLimiter)
        : platform(fleetPlatform)
        , client(httpClient)
        , link(coordinatorLink)
        , servers(serverTable)
        , demand(demandLedger)
        , promptParts(promptPartMonitor)
        , rateLimiter(serverRateLimiter)
        , access(accessControl)
        , quotas(std::move(quotaLimiter))
        , retries(settings.retries)
        , hedging(settings.hedging)
    {
    }

    /** Lets all waiting requests check the state again. */
    void noteStateChanged()
    {
        stateChanged.notifyAll();
        distributeServers();
    }
    /** Offers servers to the waiting requests, and resumes those that need not wait longer. */
    void distributeServers(const WaitingQueue::Scope& scope = {})
    {
        if (waiting->isEmpty())
            return;
        for (WaitingRequest* request : waiting->distribute(currentTime(), scope))
            request->resume();
    }

    const FleetPlatform& platform;
    HttpClient& client;
    CoordinatorLink& link;
    ServerTable& servers;
    DemandTracker& demand;
    PromptPartMonitor& promptParts;
    ServerRateLimiter& rateLimiter;
    AccessControl& access;
    /** Shared, because a request may outlive the gateway. */
    std::shared_ptr<QuotaLimiter> quotas;
    /** For access keys and quotas, which a host must not use longer because it was suspended. */
    SuspendAwareClock suspendAwareClock;
    RetryBudget retries;
    HedgePolicy hedging;
    ServerAdmission admission { servers, rateLimiter, ServerAdmission::Options() };
    AsyncConditionVariable stateChanged;
    /** The requests that wait for a server; shared, because a request may outlive the gateway. */
    std::shared_ptr<WaitingQueue> waiting = std::make_shared<WaitingQueue>(WaitingQueue::Options());
    /** Shared, because a request may outlive the gateway. */
    std::shared_ptr<BufferBudget> responseBuffers = std::make_shared<BufferBudget>();
    Metrics metrics;
    /** Null until the first configuration is received. */
    RouteConfigurationPointer configuration;
    /** The notices of servers that were logged as unreadable; a server may repeat one in every answer. */
    std::set<std::pair<ServerIncarnation, std::string>> unreadableNotices;
    /** Set once the process is stopping: the time at which it exits. Requests in progress are aborted shortly before. */
    std::optional<Instant> stopDeadline;
    /** True once the time is over in which new connections still arrive while the process is stopping. */
    bool isDraining = false;
    /** The requests in progress; shared, because a request may outlive the gateway, until the io_context is destroyed. */
    std::shared_ptr<std::set<RequestForwarder*>> requests = std::make_shared<std::set<RequestForwarder*>>();
    std::minstd_rand random { std::random_device {}() };
};

} // namespace hemlockchute
