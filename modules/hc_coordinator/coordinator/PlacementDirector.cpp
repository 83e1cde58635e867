#include "coordinator/PlacementDirector.h"

#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/fleet/FollowIntervals.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

constexpr unsigned statusOk = 200;
constexpr unsigned statusWrongServer = 421;
/** A load from memory or disk that takes this many times its declared time is assumed to come from the store. */
constexpr int lateLoadFactor = 2;
/** A load from the store that exceeds its declared time by this fraction, 1/n, indicates an overloaded store. */
constexpr int overdueDivisor = 4;
/** Back-off of completion checks: the wait is this fraction, 1/n, of the time elapsed so far. */
constexpr int pollBackOffDivisor = 16;
/** Added to the declared load time before the first check, so that the server has registered the completion. */
constexpr Duration loadSlack = 5ms;

constexpr MetricDefinition ordersMetric { "hemlock_coordinator_orders_total", "Orders sent to servers, by operation and what they said." };
constexpr MetricDefinition loadsMetric { "hemlock_coordinator_load_seconds", "Time from the order of a model until its server holds it, by where the weights came from." };
constexpr MetricDefinition unreportedMetric { "hemlock_coordinator_reports_unavailable_total", "Questions to servers what they hold that were not answered." };

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string_view nameOf(std::optional<OrderOutcome> outcome)
{
    static constexpr std::string_view names[] = { "accepted", "already-holds", "conflict", "wrong-server", "fenced", "rejected" };
    return outcome ? names[static_cast<std::size_t>(*outcome)] : "no-answer";
}

bool isInProgress(std::optional<OrderOutcome> outcome)
{
    return outcome == OrderOutcome::Accepted || outcome == OrderOutcome::Conflict;
}

std::string_view nameOf(const PlacementStep& step)
{
    static constexpr std::string_view names[] = { "load", "unload", "report" };
    return names[static_cast<std::size_t>(step.operation)];
}

std::string_view nameOf(PlacementStep::Source source)
{
    static constexpr std::string_view names[] = { "memory", "disk", "store" };
    return names[static_cast<std::size_t>(source)];
}

} // namespace

// Coroutines hold no braced lists (docs/STYLE.md), so their log lines are written here.

void PlacementDirector::logOrder(const PlacementOrder& order, const PlacementStep& step, std::optional<OrderOutcome> outcome, Duration took) const
{
    m_metrics.add(ordersMetric, { { "operation", std::string(nameOf(step)) }, { "outcome", std::string(nameOf(outcome)) } });
    logEvent(EventId::CoordinatorOrder, { { "server", order.server }, { "operation", nameOf(step) }, { "model", step.model }, { "adapter", step.adapter }, { "source", nameOf(step.source) }, { "makes_room_for", step.makesRoomFor }, { "accepted_before", order.ordersAcceptedBefore }, { "fence", order.fence }, { "outcome", nameOf(outcome) }, { "took_ms", milliseconds(took) } });
}

void PlacementDirector::logLoadCompleted(const BackendServerName& server, const PlacementStep& step, Duration took) const
{
    m_metrics.observe(loadsMetric, took, { { "source", std::string(nameOf(step.source)) } });
    logEvent(EventId::CoordinatorModelTaken, { { "server", server }, { "model", step.model }, { "source", nameOf(step.source) }, { "took_ms", milliseconds(took) } });
}

void PlacementDirector::logReportUnavailable(const BackendServerName& server, std::string_view reason) const
{
    m_metrics.add(unreportedMetric);
    logEvent(EventId::CoordinatorReportUnavailable, { { "server", server }, { "reason", reason } });
}

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

asio::awaitable<void> PlacementDirector::pause(Duration duration) const
{
    asio::steady_timer timer(m_context);
    timer.expires_after(duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

PlacementOrder PlacementDirector::orderFor(const Server& server, const PlacementStep& step, FencingNumber fence) const
{
    PlacementOrder order;
    order.operation = step.operation == PlacementStep::Operation::Load ? PlacementOrder::Operation::Load : PlacementOrder::Operation::Unload;
    order.server = server.listed.id;
    order.model = step.model;
    order.adapter = step.adapter;
    order.ordersAcceptedBefore = server.holdings.ordersAccepted();
    order.issuer = m_options.issuer;
    order.fence = fence;
    return order;
}

/** Cancels the call if this host loses its authority before the first byte is sent, since connecting takes time. */
std::shared_ptr<HttpCallHandle> PlacementDirector::whileAuthorized(FencingNumber fence, ServerIncarnation life, PlacementStep step)
{
    auto handle = std::make_shared<HttpCallHandle>();
    handle->setSendCondition([this, fence, life = std::move(life), step = std::move(step)] {
        bool isAuthorized = m_authority() == fence;
        if (isAuthorized)
            noteOrderSent(life, step);
        return isAuthorized;
    });
    return handle;
}

/** An order of a load is repeated until the server holds the model; the first one counts. */
void PlacementDirector::noteOrderSent(const ServerIncarnation& life, const PlacementStep& step)
{
    Server* server = find(life.server, life.startedAt);
    bool isFirst = server && step.operation == PlacementStep::Operation::Load && step.adapter.isEmpty() && server->orderedModel != step.model;
    if (!isFirst)
        return;
    server->orderedModel = step.model;
    server->orderedAt = currentTime();
}

asio::awaitable<std::optional<OrderOutcome>> PlacementDirector::sendOrder(ServerIncarnation life, const PlacementStep& step)
{
    Server* server = find(life.server, life.startedAt);
    auto fence = m_authority();
    if (!server || server->isUnlisted || !fence)
        co_return std::nullopt;
    PlacementOrder order = orderFor(*server, step, *fence);
    HttpRequest request = m_platform.orderRequest(order);
    Endpoint address = server->listed.address;
    Instant sent = currentTime();
    // Answers do not identify their order; on a shared connection a late answer to an earlier order could be mistaken for this one.
    auto answer = co_await m_client.send(address, std::move(request), sent + m_options.orderTimeout, HttpClient::ConnectionUse::SingleUse, whileAuthorized(*fence, life, step));
    std::optional<OrderOutcome> outcome;
    if (answer) {
        outcome = m_platform.decodeOrderAnswer(answer->status);
        markIfLeaving(life, *answer);
    }
    logOrder(order, step, outcome, currentTime() - sent);
    co_return outcome;
}

asio::awaitable<void> PlacementDirector::executeStep(BackendServerName id, PlacementStep step)
{
    if (step.operation == PlacementStep::Operation::Report) {
        co_await fetchReport(id);
        co_return;
    }
    std::int64_t incarnation = m_servers.at(id).listed.startedAt;
    ServerIncarnation life { id, incarnation };
    if (step.operation == PlacementStep::Operation::Unload) {
        Server& server = m_servers.at(id);
        server.withdrawn = step.model;
        server.withdrawnAdapter = step.adapter;
        publish(server);
        if (step.waitsForWithdrawal)
            co_await pause(withdrawalDelay(currentTime()));
    }
    auto outcome = co_await sendOrder(life, step);
    Server* server = find(id, incarnation);
    if (!server)
        co_return;
    server->withdrawn = ModelName();
    server->withdrawnAdapter = AdapterName();
    bool isSuccessful = outcome == OrderOutcome::Accepted || outcome == OrderOutcome::AlreadyHolds;
    if (!isSuccessful) {
        if (!outcome && step.operation == PlacementStep::Operation::Unload)
            removeFromState(*server, step);
        markUnknown(*server);
        publish(*server);
        server->isBusy = false;
        server->nextReport = outcome ? currentTime() : currentTime() + m_options.reportRetryDelay;
        co_return;
    }
    if (outcome == OrderOutcome::Accepted)
        server->holdings.noteOrderAccepted(currentTime());
    if (step.adapter.isEmpty())
        co_await awaitCompletion(id, incarnation, step);
    else
        co_await completeAdapterOrder(id, incarnation, step, *outcome);
    server = find(id, incarnation);
    if (!server)
        co_return;
    publish(*server);
    server->isBusy = false;
}

/** Records that the model or adapter of an unload may no longer be held. */
void PlacementDirector::removeFromState(Server& server, const PlacementStep& step)
{
    if (step.adapter.isEmpty())
        server.holdings.removeModel(step.model);
    else
        server.holdings.removeAdapter(step.model, step.adapter);
}

/** Records that a load leaves copies of the weights in the server's memory and on its disk. */
void PlacementDirector::recordCopies(Server& server, const ModelName& model)
{
    const RoutedService* service = m_configuration->findService(server.listed.service);
    if (!service || !service->engine)
        return;
    server.inMemory.add(model, *service->engine, service->engine->memoryCacheCapacity);
    server.onDisk.add(model, *service->engine, service->engine->diskCacheCapacity);
}

/** Records that a load takes so long that it must come from the store. Always returns false, the new value of the caller's `isLate`, so that this happens once. */
bool PlacementDirector::markLoadingFromStore(Server& server, const ModelName& model, Instant acceptedAt)
{
    server.inMemory.remove(model);
    server.onDisk.remove(model);
    server.isLoadingFromStore = true;
    const RoutedService* service = m_configuration->findService(server.listed.service);
    if (service && service->engine && service->engine->models.contains(model))
        server.loadedAt = acceptedAt + service->engine->models.at(model).loadFromStore;
    return false;
}

/** Reports the store's load time to the placer. Precondition: the load is still marked as in progress. */
void PlacementDirector::noteStoreLoad(const Server& server, const ModelName& model, Duration took)
{
    const RoutedService* service = m_configuration->findService(server.listed.service);
    auto placed = m_services.find(server.listed.service);
    if (!service || !service->engine || !service->engine->models.contains(model) || placed == m_services.end())
        return;
    placed->second.placer.noteStoreLoad(took, service->engine->models.at(model).loadFromStore, server.concurrentStoreLoads);
}

/** Number of loads from the store that are, or may be, in progress. */
unsigned PlacementDirector::storeLoads(const ServiceName& service) const
{
    auto count = std::count_if(m_servers.begin(), m_servers.end(), [&](const auto& item) {
        const Server& server = item.second;
        return server.listed.service == service && (server.isLoadingFromStore || (!server.isKnown && server.mayBeLoading));
    });
    return static_cast<unsigned>(count);
}

/** Waits until an accepted order has completed. Polls by repeating the order: the server accepts it again or reports a conflict until it is done, then answers that it already holds. */
asio::awaitable<void> PlacementDirector::awaitCompletion(BackendServerName id, std::int64_t incarnation, PlacementStep step)
{
    Instant acceptedAt = currentTime();
    ServerIncarnation life { id, incarnation };
    bool isLoad = step.operation == PlacementStep::Operation::Load;
    Server* server = find(id, incarnation);
    Duration time = isLoad ? step.time : m_options.completionPollInterval;
    bool isFromStore = isLoad && step.source == PlacementStep::Source::Store;
    if (isLoad) {
        server->loading = step.model;
        server->isLoadingFromStore = isFromStore;
        server->concurrentStoreLoads = storeLoads(server->listed.service);
        server->loadedAt = acceptedAt + time;
    } else {
        server->holdings.removeModel(step.model);
        publish(*server);
    }
    co_await pause(time + loadSlack);
    auto outcome = co_await sendOrder(life, step);
    bool isLate = isLoad && step.source != PlacementStep::Source::Store && isInProgress(outcome);
    while (isInProgress(outcome) && currentTime() - acceptedAt < m_options.maximumOrderTime) {
        co_await pause(std::max<Duration>(m_options.completionPollInterval, (currentTime() - acceptedAt) / pollBackOffDivisor));
        outcome = co_await sendOrder(life, step);
        server = find(id, incarnation);
        if (isLate && server && currentTime() - acceptedAt > lateLoadFactor * time)
            isLate = markLoadingFromStore(*server, step.model, acceptedAt);
        // An overdue load reveals an overloaded store long before it completes.
        if (isFromStore && server && isInProgress(outcome) && currentTime() - acceptedAt > time + time / overdueDivisor)
            noteStoreLoad(*server, step.model, currentTime() - acceptedAt);
    }
    server = find(id, incarnation);
    if (!server)
        co_return;
    if (isFromStore && outcome == OrderOutcome::AlreadyHolds)
        noteStoreLoad(*server, step.model, currentTime() - acceptedAt);
    if (outcome != OrderOutcome::AlreadyHolds) {
        // Without an answer, the load may still be in progress; the report tells.
        ModelName loading = outcome ? ModelName() : server->loading;
        markUnknown(*server);
        server->loading = loading;
        server->nextReport = currentTime();
        co_return;
    }
    server->loading = ModelName();
    server->isLoadingFromStore = false;
    if (!isLoad)
        co_return;
    server->holdings.addModel(step.model);
    noteOrderedLoad(*server);
    recordCopies(*server, step.model);
    logLoadCompleted(id, step, currentTime() - acceptedAt);
}

/** An adapter's load is assumed to take a fixed time. An unload that was only accepted waits for the requests that use the adapter; a report tells when they have ended. */
asio::awaitable<void> PlacementDirector::completeAdapterOrder(BackendServerName id, std::int64_t incarnation, PlacementStep step, OrderOutcome outcome)
{
    bool isLoad = step.operation == PlacementStep::Operation::Load;
    if (isLoad)
        co_await pause(m_options.adapterLoadTime);
    Server* server = find(id, incarnation);
    if (!server)
        co_return;
    server->adapterOrderedAt = currentTime();
    if (isLoad)
        server->holdings.addAdapter(step.model, step.adapter);
    else if (outcome == OrderOutcome::AlreadyHolds)
        server->holdings.removeAdapter(step.model, step.adapter);
    else {
        server->holdings.beginUnload(step.model, step.adapter);
        server->nextReport = server->adapterOrderedAt + m_options.completionPollInterval;
    }
}

/** Reads a server's report of what it holds. */
asio::awaitable<void> PlacementDirector::fetchReport(BackendServerName id)
{
    std::int64_t incarnation = m_servers.at(id).listed.startedAt;
    Endpoint address = m_servers.at(id).listed.address;
    HttpRequest request = m_platform.reportRequest();
    auto answer = co_await m_client.send(address, std::move(request), currentTime() + m_options.orderTimeout, HttpClient::ConnectionUse::SingleUse);
    Server* server = find(id, incarnation);
    if (!server)
        co_return;
    server->isBusy = false;
    if (answer)
        markIfLeaving(lifeOf(server->listed), *answer);
    std::string reason;
    bool isInProgress = false;
    if (!answer)
        reason = answer.error().detail;
    else if (answer->status != statusOk)
        reason = "status " + std::to_string(answer->status);
    else if (auto report = m_platform.decodeReport(answer->body); !report)
        reason = report.error().detail;
    else if (report->startedAt != incarnation)
        reason = "the report is of another incarnation of the server";
    else if (applyReport(*server, std::move(*report)))
        co_return;
    else {
        isInProgress = true;
        reason = "an order is in progress";
    }
    noteUnreported(*server, isInProgress);
    logReportUnavailable(id, reason);
}

/** False while the server carries out an order, since what it will hold is then not known. */
bool PlacementDirector::applyReport(Server& server, EngineReport report)
{
    if (report.isBusy)
        return false;
    Instant now = currentTime();
    server.inMemory.reset(report.inMemory);
    server.onDisk.reset(report.onDisk);
    server.holdings.applyReport(report, now);
    server.hasReported = true;
    server.isKnown = true;
    server.mayBeLoading = false;
    server.loading = ModelName();
    server.nextReport = now + std::clamp<Duration>((now - server.adapterOrderedAt) / pollBackOffDivisor, m_options.completionPollInterval, m_options.reportRetryDelay);
    noteOrderedLoad(server);
    publish(server);
    return true;
}

/** The server has not said what it holds. */
void PlacementDirector::noteUnreported(Server& server, bool isInProgress)
{
    bool wasKnown = server.isKnown;
    // What it held until now is lost only if it fails to answer again.
    if (wasKnown)
        markUnknown(server);
    server.nextReport = currentTime() + m_options.reportRetryDelay;
    server.mayBeLoading = wasKnown || isInProgress;
    server.hasReported = server.hasReported && server.mayBeLoading;
    if (!server.mayBeLoading)
        server.loading = ModelName();
    publish(server);
}

} // namespace hemlockchute
