#include "gateway/Gateway.h"

#include "gateway/ForwardingTimes.h"
#include "gateway/RequestForwarder.h"
#include "hemlockchute/core/EventLog.h"

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;

/** Short enough to leave time for another server. */
constexpr Duration connectTimeout = 300ms;
/** A server's host that does not acknowledge sent bytes for this time counts as gone. */
constexpr std::chrono::milliseconds acknowledgeTimeout { 2000 };
/** The idle connections kept to each server; covers the peak of one host's requests. */
constexpr std::size_t idleConnections = 24;
/** Limit of a page of the platform's list; the answers to callers have a budget of their own. */
constexpr std::size_t maximumListBytes = 4U << 20U;
/** Two consecutive failures eject a server, for 1 s at first and at most 4 s. Only 10 % of the servers must stay usable, since two of three data centres may be cut off. */
constexpr EjectionTable::Options ejection { 2, 1s, 4s, 100 };
/** The time before draining, in which new connections still arrive: the platform probes readiness once per second and needs two failed probes. At most half of the grace time is used, so that the rest is left for requests in progress. */
constexpr Duration drainDelay = 3s;
constexpr int drainDelayDivisor = 2;
/** Unsolicited bytes from a server on an idle connection take memory until the connection is checked. */
constexpr Duration brokenConnectionsInterval = 2s;
constexpr Duration listCheckInterval = 200ms;
/** The read time-out as a multiple of the header time-out, to allow for the body. */
constexpr unsigned bodyTimeoutFactor = 4;

constexpr MetricDefinition versionMetric { "hemlock_gateway_configuration_version", "The configuration in force here; 0 before the first." };
constexpr MetricDefinition placementAgeMetric { "hemlock_gateway_placement_age_seconds", "Time since a coordinator that leads was heard." };
constexpr MetricDefinition acceptsKeysMetric { "hemlock_gateway_accepts_keys", "Whether requests with an access key are served, 1 or 0." };
constexpr MetricDefinition requestsHereMetric { "hemlock_gateway_requests_in_progress", "Requests that wait or run." };

HttpClient::Options clientOptions()
{
    return HttpClient::Options().withConnectTimeout(connectTimeout).withMaximumIdleConnections(idleConnections).withAcknowledgeTimeout(acknowledgeTimeout).withMaximumBodyBytes(maximumListBytes);
}

ServerTable::Options tableOptions(const GatewaySettings& settings)
{
    ServerTable::Options options;
    options.notices = settings.notices;
    options.ejection = ejection;
    return options;
}

/** The server list may be half as old as the time for which a listed server still takes requests while leaving; the other half is for requests in transit. */
CoordinatorLink::Options linkOptions(const GatewaySettings& settings)
{
    constexpr int noticeDivisor = 2;
    constexpr Duration margin = 100ms;
    CoordinatorLink::Options options;
    options.listLifetime = settings.leavingNotice / noticeDivisor + margin;
    return options;
}

/** Polls often enough to learn in time that a server is leaving. After a restart of the whole system a leader is elected within the first delay, so that hundreds of gateways need not poll the platform. */
ListingPoller::Options listingOptions(const GatewaySettings& settings)
{
    constexpr int noticeDivisor = 3;
    ListingPoller::Options options;
    options.interval = settings.leavingNotice / noticeDivisor;
    options.maximumBackOff = options.interval;
    options.firstDelay = 1500ms;
    return options;
}

} // namespace

Gateway::Gateway(asio::io_context& context, const GatewaySettings& settings, const FleetPlatform& platform)
    : m_settings(settings)
    , m_platform(platform)
    , m_client(clientOptions())
    , m_peers(context, { settings.clusterName, settings.clusterKey, settings.host, "gateway" }, PeerClient::Options())
    , m_servers(settings.dataCentre, tableOptions(settings))
    , m_access(settings.access)
    , m_link(context, m_peers, settings.host, settings.dataCentre, settings.seeds, linkOptions(settings), m_servers, m_demand, m_promptParts, m_rateLimiter, m_access, *m_quotas,
          { [this](ConfigurationVersion version, const ByteString& body) { applyConfiguration(version, body); },
              [this](const std::vector<Endpoint>& unusedAddresses) {
                  closeConnections(unusedAddresses);
                  m_core.retries.setHostCount(std::max(1U, m_link.gateways().value_or(1)));
                  m_core.noteStateChanged();
              } })
    , m_core(platform, settings, m_client, m_link, m_servers, m_demand, m_promptParts, m_rateLimiter, m_access, m_quotas)
    , m_listing(context, platform, m_client, settings.listing, listingOptions(settings), [this](std::vector<ListedServer> servers, Instant) { updateListing(std::move(servers)); })
    , m_requestMemory(RequestBufferBudget::withBytes(settings.requestMemory))
    , m_callers(
          context, HttpServer::Options().withSingleThread(), [this](HttpExchange& exchange) { return serve(exchange); }, m_requestMemory)
    , m_readiness(
          context, HttpServer::Options().withSingleThread(), [this](HttpExchange& exchange) { return answerReadiness(exchange); }, m_requestMemory)
    , m_metrics(
          context, HttpServer::Options().withSingleThread(), [this](HttpExchange& exchange) { return answerMetrics(exchange); }, m_requestMemory)
    , m_listTimer(context)
    , m_connectionTimer(context)
    , m_stopTimer(context)
    , m_endTimer(context)
{
}

Result<void, RoleErrorCode> Gateway::start()
{
    std::vector<std::pair<HttpServer*, Endpoint>> servers { { &m_callers, m_settings.callers }, { &m_readiness, m_settings.readiness } };
    if (m_settings.metrics)
        servers.emplace_back(&m_metrics, *m_settings.metrics);
    for (auto& [server, endpoint] : servers) {
        if (auto listening = server->listen(endpoint); !listening)
            return failureBecause(RoleErrorCode::ListenFailed, listening.error());
    }
    m_link.start();
    m_listing.start();
    checkServers();
    closeBrokenConnections();
    return {};
}

void Gateway::reload(const GatewaySettings& settings)
{
    m_link.setSeeds(settings.seeds);
    m_settings.grace = settings.grace;
}

void Gateway::stop(std::function<void()> done)
{
    m_onStopped = std::move(done);
    Instant now = std::chrono::steady_clock::now();
    m_core.stopDeadline = now + m_settings.grace;
    m_callers.disableKeepAlive();
    m_stopTimer.expires_after(std::min<Duration>(drainDelay, m_settings.grace / drainDelayDivisor));
    m_stopTimer.async_wait([this](const boost::system::error_code&) {
        m_core.isDraining = true;
        m_core.noteStateChanged();
        m_callers.drain([this] { finishStop(); });
    });
    m_endTimer.expires_at(*m_core.stopDeadline - abortLeadTime);
    m_endTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            abortRequests();
    });
}

/** Aborts the requests in progress, and finishes before the stop deadline even if callers have not read their responses. */
void Gateway::abortRequests()
{
    std::set<RequestForwarder*> requests = *m_core.requests;
    for (RequestForwarder* request : requests) {
        if (m_core.requests->contains(request))
            request->abort();
    }
    m_endTimer.expires_at(*m_core.stopDeadline - exitLeadTime);
    m_endTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            finishStop();
    });
}

void Gateway::finishStop()
{
    if (!m_onStopped)
        return;
    m_endTimer.cancel();
    m_listTimer.cancel();
    m_connectionTimer.cancel();
    m_link.stop();
    m_listing.stop();
    std::exchange(m_onStopped, nullptr)();
}

//==============================================================================
asio::awaitable<void> Gateway::serve(HttpExchange& exchange)
{
    RequestForwarder forwarder(m_core, exchange);
    co_await forwarder.run();
}

bool Gateway::isReady() const
{
    return m_core.configuration && m_servers.hasListing() && !m_core.stopDeadline;
}

asio::awaitable<void> Gateway::answerReadiness(HttpExchange& exchange)
{
    if (!m_platform.isReadinessPath(exchange.request().target)) {
        co_await exchange.respond(HttpResponse::text(statusNotFound, "nothing here\n"));
        co_return;
    }
    bool ready = isReady();
    co_await exchange.respond(HttpResponse::text(ready ? statusOk : statusUnavailable, ready ? "ready\n" : "not ready\n"));
}

asio::awaitable<void> Gateway::answerMetrics(HttpExchange& exchange)
{
    Instant now = std::chrono::steady_clock::now();
    m_core.metrics.set(versionMetric, m_core.configuration ? static_cast<double>(m_core.configuration->version().value()) : 0);
    m_core.metrics.set(placementAgeMetric, std::chrono::duration<double>(m_link.sinceLastContact(now)).count());
    m_core.metrics.set(acceptsKeysMetric, m_acceptsKeys ? 1 : 0);
    m_core.metrics.set(requestsHereMetric, static_cast<double>(m_core.requests->size()));
    HttpResponse response = HttpResponse::text(statusOk, m_core.metrics.snapshot().prometheusText() + m_requestMemory->prometheusText());
    co_await exchange.respond(std::move(response));
}

//==============================================================================
/** Ignores versions that are not newer. */
void Gateway::applyConfiguration(ConfigurationVersion version, const ByteString& body)
{
    if (m_core.configuration && version <= m_core.configuration->version())
        return;
    auto configuration = m_platform.decodeConfiguration(body);
    if (!configuration) {
        logEvent(EventId::GatewayConfigurationUnreadable, { { "version", version }, { "reason", configuration.error().detail } });
        return;
    }
    m_core.configuration = std::move(*configuration);
    m_link.noteVersion(version);
    m_quotas->setQuotas(m_core.configuration->workspaces());
    std::map<ServiceName, std::uint64_t> tokenCapacities;
    for (const auto& [name, service] : m_core.configuration->services()) {
        if (service.engine)
            tokenCapacities[name] = service.engine->tokenCapacity;
    }
    m_servers.setTokenCapacities(std::move(tokenCapacities));
    const CallerLimits& limits = m_core.configuration->limits();
    m_callers.setOptions(HttpServer::Options().withSingleThread().withMaximumHeaderBytes(limits.headerBytes).withMaximumBodyBytes(limits.bodyBytes).withReadTimeout(bodyTimeoutFactor * limits.headerTimeout).withIdleTimeout(limits.idleTimeout));
    logEvent(EventId::GatewayConfigurationInForce, { { "version", version }, { "routes", m_core.configuration->routes().size() }, { "workspaces", m_core.configuration->workspaces().size() } });
}

void Gateway::updateListing(std::vector<ListedServer> servers)
{
    if (m_link.hasCurrentList(std::chrono::steady_clock::now()))
        return;
    closeConnections(m_servers.replaceAll(std::move(servers)));
    m_link.requestFullList();
    m_core.noteStateChanged();
}

void Gateway::closeConnections(const std::vector<Endpoint>& unusedAddresses)
{
    for (const Endpoint& endpoint : unusedAddresses)
        m_client.closeIdleConnections(endpoint);
}

/** Polls the platform's list only while no coordinator provides a recent one, and treats servers that have left the list as ended. */
void Gateway::checkServers()
{
    Instant now = std::chrono::steady_clock::now();
    m_listing.setActive(!m_link.hasCurrentList(now));
    auto isListed = [this](const ServerIncarnation& life) {
        const ListedServer* server = m_servers.find(life.server);
        return server && server->startedAt == life.startedAt;
    };
    m_promptParts.update(isListed, now);
    logAccess();
    m_listTimer.expires_after(listCheckInterval);
    m_listTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            checkServers();
    });
}

/** Requests with a key are refused meanwhile, each with a line of its own. */
void Gateway::logAccess()
{
    bool requiresKeys = m_core.configuration && m_core.configuration->requiresKeys();
    bool accepts = !requiresKeys || m_access.isConfirmed(m_core.suspendAwareClock.now());
    if (accepts != std::exchange(m_acceptsKeys, accepts))
        logEvent(accepts ? EventId::GatewayKeysAccepted : EventId::GatewayKeysUnconfirmed, { { "version", m_core.configuration->version() }, { "placement_age_ms", milliseconds(m_link.sinceLastContact(currentTime())) } });
}

void Gateway::closeBrokenConnections()
{
    m_client.closeBrokenConnections();
    m_connectionTimer.expires_after(brokenConnectionsInterval);
    m_connectionTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            closeBrokenConnections();
    });
}

} // namespace hemlockchute
