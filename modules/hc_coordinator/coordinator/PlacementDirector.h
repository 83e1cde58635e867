#pragma once

#include "coordinator/DemandAggregator.h"
#include "coordinator/LoadCrashes.h"
#include "hemlockchute/fleet/EngineHoldings.h"
#include "hemlockchute/fleet/FleetPlatform.h"
#include "hemlockchute/fleet/FleetTable.h"
#include "hemlockchute/fleet/WeightCacheEstimate.h"
#include "hemlockchute/http/HttpClient.h"
#include "hemlockchute/report/Metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    Sends load and unload orders to backend servers, and tells gateways which server holds which model.

    Each order carries the number of orders that its server accepted before, so an order whose answer
    was lost cannot be applied after a newer one. Orders are sent only while `authority` provides a
    fencing number, which is checked just before each order. A model is withdrawn from the gateways
    before its unload is ordered; the unload of a model that is in demand also waits until every
    gateway has learned of the withdrawal.

    Thread safety: only on the io_context, which runs one thread.

    @see ModelPlacer
*/
class PlacementDirector {
public:
    struct Options {
        HostName issuer;
        ModelPlacer::Options placer;
        Duration orderTimeout = 1s;
        /** Time until every gateway has learned of a withdrawal; computed from the follow intervals if not set. */
        std::optional<Duration> withdrawalDelay;
        /** An adapter is loaded after at most this time while few loads are pending. */
        Duration adapterLoadTime = 20ms;
        /** Minimum time between two checks whether an order has completed. */
        Duration completionPollInterval = 40ms;
        /** An order that has not completed after this time is given up and the server's state is read again; longer than a load from an overloaded store. */
        Duration maximumOrderTime = 25s;
        /** Between two attempts to read a server's report. */
        Duration reportRetryDelay = 400ms;
    };

    /** Returns the fencing number while this host may give orders, otherwise nothing. */
    using Authority = std::function<std::optional<FencingNumber>()>;

    PlacementDirector(boost::asio::io_context&, const FleetPlatform&, HttpClient&, Metrics&, Options, Authority);

    void setConfiguration(RouteConfigurationPointer);
    void updateListing(const std::vector<ListedServer>&, Instant asked);
    void recordDemand(const FollowRequest&, Instant now);
    /** Fills in servers, expected load times and request counts for one gateway or relay. */
    void fill(FollowReply&, const FollowRequest&, Instant now);
    /** Replaces the known rate limits of servers; servers with one have little room for models in demand. */
    void setRateLimits(const std::vector<RateLimitNotice>&);
    /** The gateways and relays that reported recently. */
    const GatewayTracker& gateways(Instant now) { return m_demand.gateways(now); }
    /** Reads reports that are due, decides placement and starts orders; does nothing without authority. */
    void tick(Instant now);
    /** Discards what is known of the servers and starts a new epoch; called when this host becomes leader. */
    void beginEpoch(std::uint64_t epoch);

private:
    struct Server {
        ListedServer listed;
        /** True while the last list leaves the server out: it gets neither requests nor orders. Dropped once the next list leaves it out too. */
        bool isUnlisted = false;
        /** True once the server announced that it leaves, to this host or a gateway, whatever the list says. */
        bool announcedLeaving = false;
        /** False until the server has reported what it holds; false again while it is uncertain whether it carried out an order. */
        bool isKnown = false;
        /** True from the server's first report in this epoch until a report request fails: `holdings` is what it holds, except for the result of an unanswered order. */
        bool hasReported = false;
        /** True until the server reports otherwise or does not answer: an earlier order, possibly of a former leader, may still be in progress. */
        bool mayBeLoading = true;
        /** True while an order or a report request of this host is in progress. */
        bool isBusy = false;
        EngineHoldings holdings;
        WeightCacheEstimate inMemory;
        WeightCacheEstimate onDisk;
        ModelName withdrawn;
        AdapterName withdrawnAdapter;
        ModelName loading;
        /** The last model that this host ordered to be loaded, until the server has said whether it holds it, and when. */
        ModelName orderedModel;
        Instant orderedAt {};
        bool isLoadingFromStore = false;
        /** Concurrent loads from the store when this one had started, itself included. */
        unsigned concurrentStoreLoads = 0;
        Instant loadedAt {};
        Instant nextReport {};
        /** When the server last carried out, or began to carry out, an order for an adapter. */
        Instant adapterOrderedAt {};
    };

    struct Service {
        explicit Service(ModelPlacer::Options options)
            : placer(options)
        {
        }

        ModelPlacer placer;
        LoadCrashes loadCrashes { LoadCrashes::Options() };
        Instant decided {};
    };

    void decide(const ServiceName&, const EngineSpec&, Service&, Instant now);
    boost::asio::awaitable<void> executeStep(BackendServerName, PlacementStep);
    boost::asio::awaitable<void> awaitCompletion(BackendServerName, std::int64_t incarnation, PlacementStep);
    boost::asio::awaitable<void> completeAdapterOrder(BackendServerName, std::int64_t incarnation, PlacementStep, OrderOutcome);
    boost::asio::awaitable<void> fetchReport(BackendServerName);
    bool applyReport(Server&, EngineReport);
    void noteUnreported(Server&, bool isInProgress);
    boost::asio::awaitable<std::optional<OrderOutcome>> sendOrder(ServerIncarnation, const PlacementStep&);
    std::shared_ptr<HttpCallHandle> whileAuthorized(FencingNumber, ServerIncarnation, PlacementStep);
    void noteOrderSent(const ServerIncarnation&, const PlacementStep&);
    boost::asio::awaitable<void> pause(Duration) const;
    PlacementOrder orderFor(const Server&, const PlacementStep&, FencingNumber) const;
    void logOrder(const PlacementOrder&, const PlacementStep&, std::optional<OrderOutcome>, Duration took) const;
    void logLoadCompleted(const BackendServerName&, const PlacementStep&, Duration took) const;
    void logReportUnavailable(const BackendServerName&, std::string_view reason) const;
    Server* find(const BackendServerName&, std::int64_t incarnation);
    void publish(const Server&);
    void markLeaving(const ServerIncarnation&, std::string_view toldBy);
    void markIfLeaving(const ServerIncarnation&, const HttpResponse&);
    static bool isLeaving(const Server& server) { return server.listed.isLeaving || server.announcedLeaving; }
    void checkIfEnded(const ServerIncarnation&);
    void markUnknown(Server&);
    void recordCopies(Server&, const ModelName&);
    void noteEnded(const Server&, Instant now);
    void noteOrderedLoad(Server&);
    std::optional<Instant> postponedUntil(const ServiceName&, const Service&, const ModelName&, Instant now) const;
    void noteStoreLoad(const Server&, const ModelName&, Duration took);
    unsigned storeLoads(const ServiceName&) const;
    bool markLoadingFromStore(Server&, const ModelName&, Instant acceptedAt);
    static ListedServer publishedState(const Server&);
    static const HeldModels& presumedModels(const Server&);
    static void removeFromState(Server&, const PlacementStep&);
    Duration withdrawalDelay(Instant now);

    boost::asio::io_context& m_context;
    const FleetPlatform& m_platform;
    HttpClient& m_client;
    Metrics& m_metrics;
    Options m_options;
    Authority m_authority;
    RouteConfigurationPointer m_configuration;
    std::map<ServiceName, Service> m_services;
    std::map<BackendServerName, Server> m_servers;
    std::map<ServerIncarnation, RequestRate> m_rateLimits;
    DemandAggregator m_demand { DemandAggregator::Options() };
    FleetTable m_table;
    std::optional<Instant> m_listRequestedAt;
};

} // namespace hemlockchute
