#include "coordinator/PlacementDirector.h"

#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/fleet/FollowIntervals.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

constexpr unsigned statusWrongServer = 421;

} // namespace

PlacementDirector::PlacementDirector(asio::io_context& context, const FleetPlatform& platform, HttpClient& client, Metrics& metrics, Options options, Authority authority)
    : m_context(context)
    , m_platform(platform)
    , m_client(client)
    , m_metrics(metrics)
    , m_options(std::move(options))
    , m_authority(std::move(authority))
{
}

void PlacementDirector::setConfiguration(RouteConfigurationPointer configuration)
{
    m_configuration = std::move(configuration);
    for (const auto& [name, service] : m_configuration->services()) {
        if (service.engine)
            m_services.try_emplace(name, m_options.placer);
    }
}

/** A server that is new, or listed with another incarnation or address, has to report what it holds. */
void PlacementDirector::updateListing(const std::vector<ListedServer>& listing, Instant asked)
{
    m_listRequestedAt = asked;
    std::map<BackendServerName, Server> servers;
    for (const ListedServer& listed : listing) {
        auto known = m_servers.extract(listed.id);
        bool isSame = !known.empty() && known.mapped().listed.startedAt == listed.startedAt && known.mapped().listed.address == listed.address;
        if (!known.empty() && !isSame)
            noteEnded(known.mapped(), asked);
        Server server = isSame ? std::move(known.mapped()) : Server();
        server.listed = listed;
        server.isUnlisted = false;
        publish(server);
        servers.insert_or_assign(listed.id, std::move(server));
    }
    // An entry may be unreadable for a moment, or move to a page that was read before; what runs at the server goes on.
    for (auto& [id, server] : m_servers) {
        m_table.remove(id);
        if (!isLeaving(server) && !std::exchange(server.isUnlisted, true))
            servers.try_emplace(id, std::move(server));
        else
            noteEnded(server, asked);
    }
    m_servers = std::move(servers);
}

/** The server is not listed any more, or in another incarnation. */
void PlacementDirector::noteEnded(const Server& server, Instant now)
{
    auto service = m_services.find(server.listed.service);
    if (server.orderedModel.isEmpty() || isLeaving(server) || service == m_services.end())
        return;
    bool isPostponed = service->second.loadCrashes.noteCrash(server.orderedModel, server.orderedAt, now);
    logEvent(EventId::CoordinatorLoadCrash, { { "service", server.listed.service }, { "model", server.orderedModel }, { "server", server.listed.id }, { "started_at", server.listed.startedAt }, { "ordered_ago_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - server.orderedAt).count() }, { "postponed", isPostponed } });
}

/** The server has reported what it holds, so the load that was ordered last has ended. */
void PlacementDirector::noteOrderedLoad(Server& server)
{
    auto service = m_services.find(server.listed.service);
    if (service != m_services.end() && server.holdings.models().contains(server.orderedModel))
        service->second.loadCrashes.noteLoaded(server.orderedModel);
    server.orderedModel = ModelName();
}

/** Until when a model must not be loaded since servers crash under it; nothing if a server holds it, whose requests the placer must know. */
std::optional<Instant> PlacementDirector::postponedUntil(const ServiceName& name, const Service& service, const ModelName& model, Instant now) const
{
    auto until = service.loadCrashes.postponedUntil(model, now);
    bool isHeld = until && std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& item) { return item.second.listed.service == name && presumedModels(item.second).contains(model); });
    return isHeld ? std::nullopt : until;
}

void PlacementDirector::recordDemand(const FollowRequest& request, Instant now)
{
    m_demand.recordReport(request, now);
    for (const ServerIncarnation& life : request.leaving)
        markLeaving(life, request.host.text());
    for (const ServerIncarnation& life : request.ended)
        checkIfEnded(life);
}

void PlacementDirector::setRateLimits(const std::vector<RateLimitNotice>& notices)
{
    m_rateLimits.clear();
    for (const RateLimitNotice& notice : notices) {
        if (notice.limit)
            m_rateLimits[notice.server] = *notice.limit;
    }
}

void PlacementDirector::beginEpoch(std::uint64_t epoch)
{
    m_table.beginEpoch(epoch);
    m_demand.beginEpoch(epoch);
    m_listRequestedAt.reset();
    for (auto& [id, server] : m_servers) {
        markUnknown(server);
        server.hasReported = false;
        server.holdings.forgetOrders();
        server.orderedModel = ModelName();
        publish(server);
    }
    for (auto& [name, service] : m_services)
        service.placer.reset();
}

//==============================================================================
void PlacementDirector::fill(FollowReply& reply, const FollowRequest& request, Instant now)
{
    // The table may have started a new epoch by itself.
    m_demand.beginEpoch(m_table.epoch());
    const GatewayTracker& gateways = m_demand.gateways(now);
    reply.gateways = gateways.gateways();
    reply.followers = gateways.followers();
    if (m_listRequestedAt)
        reply.listAge = now - *m_listRequestedAt;
    m_table.fill(reply, request);
    for (const auto& [server, load] : gateways.outstanding())
        reply.outstanding.push_back({ server, load });
    std::set<std::pair<ServiceName, ModelName>> told;
    for (const ModelDemandReport& demand : request.demands) {
        auto service = m_services.find(demand.key.service);
        if (service == m_services.end() || !told.emplace(demand.key.service, demand.key.model).second)
            continue;
        auto at = service->second.placer.expectedReadyTimes().find(demand.key.model);
        if (auto postponed = postponedUntil(service->first, service->second, demand.key.model, now))
            reply.expectations.push_back({ demand.key.service, demand.key.model, *postponed - now });
        else if (at != service->second.placer.expectedReadyTimes().end())
            reply.expectations.push_back({ demand.key.service, demand.key.model, std::max<Duration>(at->second - now, Duration::zero()) });
    }
}

/** A server that only fails to answer an order still holds its models; its last report is newer than the list. */
const HeldModels& PlacementDirector::presumedModels(const Server& server)
{
    return server.hasReported ? server.holdings.models() : server.listed.models;
}

/** A server as gateways see it: with the models it holds, except those withdrawn for an unload. */
ListedServer PlacementDirector::publishedState(const Server& server)
{
    ListedServer published = server.listed;
    published.isLeaving = isLeaving(server);
    published.inMemory.clear();
    published.onDisk.clear();
    published.models = presumedModels(server);
    if (server.withdrawnAdapter.isEmpty())
        published.models.erase(server.withdrawn);
    else if (auto held = published.models.find(server.withdrawn); held != published.models.end())
        held->second.erase(server.withdrawnAdapter);
    return published;
}

Duration PlacementDirector::withdrawalDelay(Instant now)
{
    const GatewayTracker& gateways = m_demand.gateways(now);
    return m_options.withdrawalDelay.value_or(propagationTime(gateways.followers(), gateways.maximumGatewaysPerRelay()));
}

//==============================================================================
void PlacementDirector::tick(Instant now)
{
    if (!m_configuration || !m_authority())
        return;
    for (auto& [name, service] : m_services) {
        const RoutedService* spec = m_configuration->findService(name);
        if (!spec || !spec->engine)
            continue;
        for (auto& [id, server] : m_servers) {
            bool mayReport = server.listed.service == name && !isLeaving(server) && !server.isUnlisted;
            bool isDue = mayReport && !server.isKnown && !server.isBusy && now >= server.nextReport;
            if (!isDue)
                continue;
            server.isBusy = true;
            asio::co_spawn(m_context, fetchReport(id), asio::detached);
        }
        decide(name, *spec->engine, service, now);
    }
}

void PlacementDirector::decide(const ServiceName& name, const EngineSpec& engine, Service& service, Instant now)
{
    const std::map<ServerHandle, ServerLoad>& outstanding = m_demand.gateways(now).outstanding();
    ModelPlacer::Servers placed;
    for (const auto& [id, server] : m_servers) {
        if (server.listed.service != name)
            continue;
        PlacedServer each;
        each.id = id;
        each.dataCentre = server.listed.dataCentre;
        each.isLoadingFromStore = server.isLoadingFromStore || (!server.isKnown && server.mayBeLoading);
        if (isLeaving(server)) {
            // It takes no orders, but may use part of the store's capacity.
            if (each.isLoadingFromStore)
                placed.push_back(std::move(each));
            continue;
        }
        // Until a report request fails too, the models of a silent server are not replaced elsewhere.
        if (!server.isKnown && !server.mayBeLoading)
            continue;
        each.models = presumedModels(server);
        each.inMemory = server.inMemory.models();
        each.onDisk = server.onDisk.models();
        each.pendingAdapters = server.holdings.pendingAdapters();
        each.leavingAdapters = server.holdings.leavingAdapters();
        each.unconfirmedAdapters = server.holdings.unconfirmedAdapters();
        each.mayTakeOrder = server.isKnown && !server.isBusy && !server.isUnlisted;
        each.mayReport = now >= server.nextReport;
        each.loading = server.loading;
        each.loadedAt = server.loadedAt;
        auto load = outstanding.find(m_table.handleOf(id));
        each.outstanding = load == outstanding.end() ? 0 : load->second.requests;
        if (auto limit = m_rateLimits.find(lifeOf(server.listed)); limit != m_rateLimits.end())
            each.rateLimit = limit->second;
        placed.push_back(std::move(each));
    }
    ModelPlacer::Demands demands = m_demand.demands(name, now);
    service.loadCrashes.expire(now);
    std::erase_if(demands, [&](const auto& demand) { return postponedUntil(name, service, demand.first.first, now).has_value(); });
    for (const PlacementStep& step : service.placer.decide(engine, placed, demands, now)) {
        m_servers.at(step.server).isBusy = true;
        asio::co_spawn(m_context, executeStep(step.server, step), asio::detached);
    }
}

//==============================================================================
/** The server if it is still in this incarnation, otherwise null. */
PlacementDirector::Server* PlacementDirector::find(const BackendServerName& id, std::int64_t incarnation)
{
    auto found = m_servers.find(id);
    return found != m_servers.end() && found->second.listed.startedAt == incarnation ? &found->second : nullptr;
}

void PlacementDirector::publish(const Server& server)
{
    if (!server.isUnlisted)
        m_table.put(publishedState(server));
}

/** From now on the placer plans without this server, without waiting for the list to show it as leaving. */
void PlacementDirector::markLeaving(const ServerIncarnation& life, std::string_view toldBy)
{
    Server* server = find(life.server, life.startedAt);
    if (!server || isLeaving(*server))
        return;
    server->announcedLeaving = true;
    publish(*server);
    logEvent(EventId::CoordinatorServerLeaving, { { "server", life.server }, { "started_at", life.startedAt }, { "told_by", toldBy } });
}

/** Ignores a wrong-server answer, since another server may have taken over the address. */
void PlacementDirector::markIfLeaving(const ServerIncarnation& life, const HttpResponse& answer)
{
    if (answer.status != statusWrongServer && m_platform.decodeAnswer(answer.status, answer.headers).notice.isLeaving)
        markLeaving(life, m_options.issuer.text());
}

/** A gateway could not connect to the server. Its report is read at once, so that the models of a server that has ended are replaced before the list drops it; it may also be out of the gateway's reach only. */
void PlacementDirector::checkIfEnded(const ServerIncarnation& life)
{
    Server* server = find(life.server, life.startedAt);
    if (!server || !server->isKnown || server->isBusy)
        return;
    markUnknown(*server);
    server->nextReport = currentTime();
}

/** The server's report is read before it gets another order. */
void PlacementDirector::markUnknown(Server& server)
{
    server.isKnown = false;
    server.mayBeLoading = true;
    server.loading = ModelName();
    server.isLoadingFromStore = false;
    server.holdings.noteUncertain();
}

} // namespace hemlockchute
