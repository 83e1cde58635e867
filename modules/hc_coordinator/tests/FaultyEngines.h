#pragma once

#include "hemlockchute/fleet/FleetPlatform.h"
#include "hemlockchute/http/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <random>
#include <set>

namespace hemlockchute::testing {

/** Exchanges orders and reports as short plain texts. */
class PlainPlatform : public FleetPlatform {
public:
    bool isReadinessPath(std::string_view) const override { return false; }
    Result<RequestMetadata, PlatformErrorCode> decodeRequest(const HttpRequest&) const override { return RequestMetadata(); }
    HttpHeaders challengeHeaders() const override { return {}; }
    HttpRequest forwardedRequest(const HttpRequest& request, const ForwardingTerms&) const override { return request; }
    AnswerMetadata decodeAnswer(unsigned, const HttpHeaders&) const override { return {}; }
    HttpHeaders forwardedAnswerHeaders(const HttpHeaders& headers) const override { return headers; }
    bool isConfigurationPath(std::string_view) const override { return false; }
    Result<RouteConfigurationPointer, ConfigurationErrorCode> decodeConfiguration(std::string_view) const override { return RouteConfigurationPointer(); }
    HttpRequest listingRequest(const std::optional<std::string>&) const override { return {}; }
    Result<ListingPage, PlatformErrorCode> decodeListing(std::string_view) const override { return ListingPage(); }
    HttpRequest reportRequest() const override;
    Result<EngineReport, PlatformErrorCode> decodeReport(std::string_view body) const override;
    HttpRequest orderRequest(const PlacementOrder&) const override;
    OrderOutcome decodeOrderAnswer(unsigned status) const override;

    /** Called for each order just before it is sent. */
    std::function<void(const PlacementOrder&)> onOrder;
};

/** A configuration with this service alone and a route to it. */
RouteConfigurationPointer configurationWith(const RoutedService&);

/** Fault probabilities of messages between directors and engines, per mille. */
struct OrderFaults {
    unsigned lostOrder = 0;
    unsigned lostAnswer = 0;
    /** Orders delayed by up to maximumDelay, possibly past the sender's time-out. */
    unsigned late = 0;
    unsigned refused = 0;
    Duration maximumDelay = 150ms;
};

//==============================================================================
/**
    A fake backend server that takes orders over a faulty link and detects violations of its limits.

    Thread safety: only on the io_context, which runs one thread.
*/
class FaultyEngine {
public:
    static constexpr unsigned maximumModels = 2;
    static constexpr unsigned adapterSlots = 2;

    FaultyEngine(boost::asio::io_context&, std::string id, std::mt19937& random, const OrderFaults&, Duration loadTime);

    ListedServer listed() const;
    /** Replaces the server by another one at the same address, holding these models. */
    void replace(std::string id, std::set<std::string> models);
    const std::set<std::string>& models() const { return m_models; }
    /** Leaves every request unread for this long, from now on. */
    void silence(Duration duration) { m_silentUntil = std::chrono::steady_clock::now() + duration; }
    /** Number of loads of a model that were accepted. */
    unsigned loads(const std::string& model) const { return static_cast<unsigned>(m_loads.count(model)); }
    bool isLoading() const { return !m_loading.empty() && std::chrono::steady_clock::now() < m_loadedAt; }
    /** True while this model is being loaded. */
    bool isLoading(const std::string& model) const { return isLoading() && m_loading == model; }
    /** True when a load was accepted for which there was no room. */
    bool wasOverloaded() const { return m_isOverloaded; }
    unsigned ordersAccepted() const { return m_allAccepted; }
    /** Number of orders for adapters that were refused since their sender had counted other orders than the server. */
    unsigned conflicts() const { return m_conflicts; }
    /** How long an adapter is on its way to the server; 0 by default. */
    void setAdapterLoadTime(Duration time) { m_adapterLoadTime = time; }
    /** Has a request use an adapter for a while; false if the server does not hold it, or is about to drop it. */
    bool use(const std::string& adapter, Duration time);

private:
    /** An adapter, which takes a place from the order of its load until it is dropped. */
    struct Adapter {
        Instant loadedAt {};
        Instant usedUntil {};
        bool isLeaving = false;
    };

    boost::asio::awaitable<void> serve(HttpExchange&);
    boost::asio::awaitable<void> pause(Duration) const;
    void completeLoad();
    unsigned decide(const std::vector<std::string>& order);
    unsigned decideAdapter(const std::vector<std::string>& order);
    void dropAdapters();
    std::string report();
    bool happens(unsigned perMille);

    boost::asio::io_context& m_context;
    std::mt19937& m_random;
    const OrderFaults& m_faults;
    Duration m_loadTime;
    std::string m_id;
    std::int64_t m_startedAt = 1;
    std::set<std::string> m_models;
    std::string m_loading;
    Instant m_loadedAt {};
    /** By "model/adapter". */
    std::map<std::string, Adapter> m_adapters;
    Duration m_adapterLoadTime {};
    Instant m_silentUntil {};
    std::multiset<std::string> m_loads;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_fence = 0;
    unsigned m_allAccepted = 0;
    unsigned m_conflicts = 0;
    bool m_isOverloaded = false;
    HttpServer m_server;
    Endpoint m_endpoint;
};

} // namespace hemlockchute::testing
