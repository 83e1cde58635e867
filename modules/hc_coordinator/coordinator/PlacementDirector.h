#pragma once

#include "coordinator/DemandAggregator.h"
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
    Gives the backend servers their orders, and tells gateways what may be sent where.

    Each order names the number of orders that its server has accepted before it, so that one whose
    answer was lost can be carried out at most while nothing newer was accepted. Orders go out only
    while `authority` gives a fencing number, which is asked for just before each of them. A model
    is withdrawn from the gateways before its unload is ordered; all of them have heard of it by
    then if it is asked for.
    Thread safety: only on the io_context, which runs one thread.

    @see ModelPlacer
*/
class PlacementDirector {
public:
    /** Time bounds. */
    struct Options {
        HostName issuer;
        ModelPlacer::Options placer;
        Duration orderTimeout = 1s;
        /** Gateways have heard of a withdrawn model after this; as long as their pace takes when nothing is given. */
        std::optional<Duration> withdrawalDelay;
        /** An adapter is there at the latest after this, when few are on their way. */
        Duration adapterLoadTime = 20ms;
        /** Between two questions whether an order was carried out. */
        Duration completionPollInterval = 40ms;
        /** An order that is not carried out after so long is looked into; longer than loads from a crowded store. */
        Duration maximumOrderTime = 25s;
        /** Between two tries to read what a server holds. */
        Duration reportRetryDelay = 400ms;
    };

    /** Gives the fencing number while this host may give orders. */
    using Authority = std::function<std::optional<FencingNumber>()>;

    PlacementDirector(boost::asio::io_context&, const FleetPlatform&, HttpClient&, Metrics&, Options, Authority);

    void setConfiguration(RouteConfigurationPointer);
    void updateListing(const std::vector<ListedServer>&, Instant asked);
    void recordDemand(const FollowRequest&, Instant now);
    /** Fills in servers, expectations and counts for one gateway or relay. */
    void fill(FollowReply&, const FollowRequest&, Instant now);
    /** The relays heard of, and the gateways that report. */
    const GatewayTracker& gateways(Instant now) { return m_demand.gateways(now); }
    /** Decides and gives orders. Call often while this host has authority. */
    void tick(Instant now);
    /** Forgets what is known of the servers, under a new epoch, as when this host begins to lead. */
    void beginEpoch(std::uint64_t epoch);

private:
    struct Server {
        ListedServer listed;
        /** True once it said so, to this host or to a gateway, whatever the list says. */
        bool announcedLeaving = false;
        /** False until the server said what it holds. */
        bool isKnown = false;
        /** True until the server says otherwise, or nothing: an earlier order, of another giver too, may be in progress there. */
        bool mayBeLoading = true;
        bool isBusy = false;
        EngineReport state;
        WeightCacheEstimate inMemory;
        WeightCacheEstimate onDisk;
        ModelName withdrawn;
        AdapterName withdrawnAdapter;
        ModelName loading;
        bool isLoadingFromStore = false;
        /** Loads from the store that were going on once this one had begun. */
        unsigned concurrentStoreLoads = 0;
        Instant loadedAt {};
        Instant nextReport {};
    };

    struct Service {
        explicit Service(ModelPlacer::Options options)
            : placer(options)
        {
        }

        ModelPlacer placer;
        Instant decided {};
    };

    void decide(const ServiceName&, const EngineSpec&, Service&, Instant now);
    boost::asio::awaitable<void> executeStep(BackendServerName, PlacementStep);
    boost::asio::awaitable<void> awaitCompletion(BackendServerName, std::int64_t life, PlacementStep);
    boost::asio::awaitable<void> fetchReport(BackendServerName);
    boost::asio::awaitable<std::optional<OrderOutcome>> sendOrder(const BackendServerName&, const PlacementStep&);
    std::shared_ptr<HttpCallHandle> whileAuthorized(FencingNumber) const;
    boost::asio::awaitable<void> pause(Duration) const;
    PlacementOrder orderFor(const Server&, const PlacementStep&, FencingNumber) const;
    void logOrder(const PlacementOrder&, const PlacementStep&, std::optional<OrderOutcome>, Duration took) const;
    void logLoadCompleted(const BackendServerName&, const PlacementStep&, Duration took) const;
    void logReportUnavailable(const BackendServerName&, std::string_view reason) const;
    Server* find(const BackendServerName&, std::int64_t life);
    void publish(const Server&);
    void markLeaving(const ServerLife&, std::string_view toldBy);
    void markIfLeaving(const ServerLife&, const HttpResponse&);
    static bool isLeaving(const Server& server) { return server.listed.isLeaving || server.announcedLeaving; }
    void markUnknown(Server&);
    void recordCopies(Server&, const ModelName&);
    void noteStoreLoad(const Server&, const ModelName&, Duration took);
    unsigned storeLoads(const ServiceName&) const;
    bool markLoadingFromStore(Server&, const ModelName&, Instant begun);
    static ListedServer publishedState(const Server&);
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
    DemandAggregator m_demand { DemandAggregator::Options() };
    FleetTable m_table;
    std::optional<Instant> m_listRequestedAt;
};

} // namespace hemlockchute
