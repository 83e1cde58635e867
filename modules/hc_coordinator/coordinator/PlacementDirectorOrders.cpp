#include "coordinator/PlacementDirector.h"

#include "hemlockchute/core/EventLog.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

// What a director orders servers to do, and what they report.

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

constexpr unsigned statusOk = 200;
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

//==============================================================================
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
    // An adapter that no request uses is gone with the answer, and its unload counts like any other order.
    bool isImmediateUnload = step.operation == PlacementStep::Operation::Unload && !step.adapter.isEmpty();
    if (outcome == OrderOutcome::Accepted || isImmediateUnload)
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
