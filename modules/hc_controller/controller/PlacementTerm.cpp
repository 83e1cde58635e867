#include "controller/PlacementTerm.h"

#include "hemlockchute/core/EventLog.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tuple>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

constexpr Duration stateTimeout = 1s;
constexpr Duration pollInterval = 1s;
constexpr Duration pollIntervalChanging = 50ms;
constexpr Duration planInterval = 500ms;
constexpr Duration planIntervalWaiting = 50ms;
constexpr Duration takeOverInterval = 200ms;
constexpr Duration readOrdersTimeout = 500ms;
/** A permit that was not to be had is asked for again after this. */
constexpr Duration permitInterval = 1s;
constexpr Duration shareInterval = 1s;
constexpr Duration shareTimeout = 800ms;

/** Each record is whole, so the latest takes the place of all others. */
bool isLater(const OrderRecord& a, const OrderRecord& b)
{
    return std::tie(a.fencing, a.sequence) > std::tie(b.fencing, b.sequence);
}

} // namespace

PlacementTerm::PlacementTerm(std::shared_ptr<ControllerContext> context, OrderRecord held)
    : m_context(std::move(context))
    , m_fencing(m_context->lease.fencing())
    , m_book(m_fencing, m_context->lease.ordersFrom(), m_context->lifeId + "-" + std::to_string(m_fencing.value()), OrderBook::Options())
    , m_permits(m_context->settings.host.dataCentre, m_fencing)
    , m_shares(m_context->settings.host.dataCentre, m_context->settings.dataCentres(), m_fencing, m_context->documents.current()->limits)
    , m_held(std::move(held))
    , m_planTimer(m_context->strand)
{
}

void PlacementTerm::start()
{
    m_book.setDocument(m_context->documents.current());
    setServers(m_context->hostList.servers());
    auto keep = shared_from_this();
    asio::co_spawn(
        m_context->strand, [keep] { return keep->takeOver(); }, asio::detached);
    asio::co_spawn(
        m_context->strand, [keep] { return keep->planAgainAndAgain(); }, asio::detached);
    for (const DataCentreName& other : m_context->settings.dataCentres()) {
        if (other != m_context->settings.host.dataCentre)
            asio::co_spawn(
                m_context->strand, [keep, other] { return keep->exchangeAgainAndAgain(other); }, asio::detached);
    }
}

void PlacementTerm::stop()
{
    m_isStopped = true;
    m_planTimer.cancel();
    for (auto& [name, timer] : m_pollers)
        timer->cancel();
}

bool PlacementTerm::isLive() const
{
    return !m_isStopped && m_context->lease.fencing() == m_fencing && m_context->lease.isHolder(m_context->now());
}

bool PlacementTerm::mayOrder() const
{
    Instant now = m_context->now();
    return isLive() && m_isTakenOver && m_context->lease.mayOrder(now) && now >= m_book.trustFrom();
}

asio::awaitable<void> PlacementTerm::sleep(Timer& timer, Duration duration)
{
    timer.expires_after(duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

//==============================================================================
void PlacementTerm::setServers(const std::vector<BackendServer>& servers)
{
    std::vector<BackendServer> engines;
    for (const BackendServer& listed : servers) {
        if (listed.kind == BackendServer::Kind::Engine && listed.dataCentre == m_context->settings.host.dataCentre)
            engines.push_back(listed);
    }
    m_book.setServers(engines, m_context->now());
    startPollers();
    planSoon();
}

void PlacementTerm::setDocument(const DocumentPointer& document)
{
    m_book.setDocument(document);
    m_shares.setLimits(document->limits);
    m_permitsAsked.clear();
    for (const ModelName& model : m_permits.models())
        askPermits(model, 0, m_context->now());
    planSoon();
}

PlacementView PlacementTerm::view() const
{
    Instant now = m_context->now();
    PlacementView view;
    view.isLeader = isLive();
    view.leader = m_context->lease.leader(now);
    view.engines = m_book.placedEngines(now);
    view.readyIn = m_book.readyIn(now);
    return view;
}

//==============================================================================
/** Collects the orders that other hosts recorded for earlier leaders. */
asio::awaitable<void> PlacementTerm::takeOver()
{
    auto keep = shared_from_this();
    std::vector<EntryHostAddress> missing = m_context->settings.otherHosts();
    Timer timer(m_context->strand);
    while (isLive()) {
        std::vector<EntryHostAddress> failed;
        for (const EntryHostAddress& host : missing) {
            bool isRead = co_await readOrders(host);
            if (!isRead)
                failed.push_back(host);
        }
        missing = failed;
        bool isEnough = missing.empty() || m_context->now() >= m_book.trustFrom();
        if (isEnough)
            break;
        co_await sleep(timer, takeOverInterval);
    }
    if (!isLive())
        co_return;
    m_book.inherit(m_held, m_context->now());
    m_isTakenOver = true;
    logEvent(EventId::ControllerTakenOver, { { "fencing", m_fencing }, { "hosts_not_heard", missing.size() } });
    m_context->demand.noteLoaded(m_book.possibleModels(), m_context->now());
    planSoon();
}

asio::awaitable<bool> PlacementTerm::readOrders(EntryHostAddress host)
{
    auto bytes = co_await m_context->peers.call(host.controller, PeerMethod::ReadOrders, {}, readOrdersTimeout);
    if (!bytes)
        co_return false;
    auto record = decodeOrderRecord(*bytes);
    if (record && record->fencing < m_fencing && isLater(*record, m_held))
        m_held = *record;
    co_return record.has_value();
}

//==============================================================================
void PlacementTerm::startPollers()
{
    for (const BackendServer& engine : m_book.engines()) {
        auto [entry, isNew] = m_pollers.try_emplace(engine.name);
        if (!isNew)
            continue;
        entry->second = std::make_shared<Timer>(m_context->strand);
        asio::co_spawn(
            m_context->strand, [keep = shared_from_this(), name = engine.name] { return keep->poll(name); }, asio::detached);
    }
}

asio::awaitable<void> PlacementTerm::poll(BackendServerName name)
{
    auto keep = shared_from_this();
    std::shared_ptr<Timer> timer = m_pollers[name];
    while (isLive()) {
        std::optional<BackendServer> engine = server(name);
        if (!engine)
            break;
        co_await readState(*engine);
        Duration pause = m_book.isChanging(name) ? pollIntervalChanging : pollInterval;
        co_await sleep(*timer, pause);
    }
    m_pollers.erase(name);
}

asio::awaitable<void> PlacementTerm::readState(BackendServer engine)
{
    BackendProtocol* protocol = m_context->protocol(engine.protocol);
    if (!protocol)
        co_return;
    Instant begun = m_context->now();
    auto state = co_await protocol->readState(engine, begun + stateTimeout);
    if (!state)
        co_return;
    bool wasChanging = m_book.isChanging(engine.name);
    m_book.noteState(engine.name, std::move(*state), begun, m_context->now());
    if (wasChanging)
        planSoon();
}

std::optional<BackendServer> PlacementTerm::server(const BackendServerName& name) const
{
    for (const BackendServer& engine : m_book.engines()) {
        if (engine.name == name)
            return engine;
    }
    return std::nullopt;
}

void PlacementTerm::pollSoon(const BackendServerName& name)
{
    auto found = m_pollers.find(name);
    if (found != m_pollers.end())
        found->second->cancel();
}

//==============================================================================
void PlacementTerm::planSoon()
{
    m_planTimer.cancel();
}

asio::awaitable<void> PlacementTerm::planAgainAndAgain()
{
    auto keep = shared_from_this();
    while (isLive()) {
        if (mayOrder())
            plan();
        bool isAnyWaiting = m_context->demand.isAnyWaiting(m_context->now());
        co_await sleep(m_planTimer, isAnyWaiting ? planIntervalWaiting : planInterval);
    }
}

void PlacementTerm::plan()
{
    Instant now = m_context->now();
    tendPermits(now);
    std::vector<RecordedOrder> orders = m_book.ordersToResend(now);
    std::erase_if(orders, [this](const RecordedOrder& recorded) {
        const ModelName& model = recorded.order.model;
        return recorded.order.kind == OrderKind::LoadModel && m_book.possibleReplicas(model) > m_permits.usable(model);
    });
    for (const PlanStep& step : m_context->planner->plan(plannerInput(now)))
        takeStep(step, orders, now);
    if (!orders.empty())
        asio::co_spawn(
            m_context->strand, [keep = shared_from_this(), orders] { return keep->sendOrders(orders); }, asio::detached);
}

PlannerInput PlacementTerm::plannerInput(Instant now)
{
    PlannerInput input;
    input.now = now;
    input.document = m_context->documents.current();
    input.engines = m_book.plannedEngines(m_context->demand.recentlyUsed(now), now);
    input.demand = m_context->demand.demand(*input.document, now);
    for (const ModelName& model : m_permits.models())
        input.permits[model] = m_permits.usable(model);
    // What is loaded is kept until the keepers have said what is held.
    for (const ModelName& model : m_book.possibleModels()) {
        if (!m_permits.isKnown(model))
            input.permits[model] = m_book.possibleReplicas(model);
    }
    m_shares.setDemand(m_context->demand.waitingModels(now), m_context->demand.waitingAdapters(now));
    input.storeLoadsAllowed = m_shares.storeLoadsAllowed(m_book.storeLoadsInFlight(now), now);
    input.adapterLoadsAllowed = m_shares.adapterLoadsAllowed(m_book.adapterLoadsInFlight(), now);
    return input;
}

void PlacementTerm::takeStep(const PlanStep& step, std::vector<RecordedOrder>& orders, Instant now)
{
    if (step.kind == PlanStep::Kind::RequestPermit) {
        askPermits(step.model, m_book.possibleReplicas(step.model) + 1, now);
        return;
    }
    if (step.kind == PlanStep::Kind::ReturnPermit) {
        unsigned held = m_permits.held(step.model);
        givePermitsBack(step.model, std::max(m_book.possibleReplicas(step.model), held > 0 ? held - 1 : 0));
        return;
    }
    auto request = orderFor(step);
    if (!request)
        return;
    auto order = m_book.issue(*request, m_permits.usable(step.model), now);
    if (!order)
        return;
    if (order->order.kind == OrderKind::LoadModel && order->order.source == LoadSource::Store)
        m_shares.noteStoreLoad();
    orders.push_back(*order);
}

//==============================================================================
/** Learns what is held of models that may be loaded, and gives back what was lowered once it is unloaded. */
void PlacementTerm::tendPermits(Instant now)
{
    for (const ModelName& model : m_book.possibleModels()) {
        if (!m_permits.isKnown(model))
            askPermits(model, 0, now);
    }
    for (const ModelName& model : m_permits.models()) {
        unsigned kept = std::max(m_book.possibleReplicas(model), m_permits.usable(model));
        if (m_permits.isKnown(model) && kept < m_permits.held(model))
            givePermitsBack(model, kept);
    }
}

void PlacementTerm::askPermits(const ModelName& model, unsigned wanted, Instant now)
{
    auto asked = m_permitsAsked.find(model);
    if (asked != m_permitsAsked.end() && now - asked->second < permitInterval)
        return;
    auto command = m_permits.request(model, wanted);
    if (!command)
        return;
    m_permitsAsked[model] = now;
    asio::co_spawn(
        m_context->strand, [keep = shared_from_this(), model, body = CommandBody(*command)] { return keep->proposePermits(model, body); }, asio::detached);
}

void PlacementTerm::givePermitsBack(const ModelName& model, unsigned kept)
{
    auto command = m_permits.giveBack(model, kept);
    if (command)
        asio::co_spawn(
            m_context->strand, [keep = shared_from_this(), model, body = CommandBody(*command)] { return keep->recordAndPropose(model, body); }, asio::detached);
}

//==============================================================================
std::vector<ShareReport> PlacementTerm::exchangeShares(const DataCentreName& from, const std::vector<ShareReport>& reports)
{
    Instant now = m_context->now();
    m_shares.receive(from, reports, now);
    return m_shares.report(from, now);
}

asio::awaitable<void> PlacementTerm::exchangeAgainAndAgain(DataCentreName other)
{
    auto keep = shared_from_this();
    std::vector<EntryHostAddress> hosts;
    for (const EntryHostAddress& host : m_context->settings.host.entryHosts) {
        if (host.dataCentre == other)
            hosts.push_back(host);
    }
    Timer timer(m_context->strand);
    std::size_t asked = 0;
    while (isLive()) {
        ShareMessage message;
        message.dataCentre = m_context->settings.host.dataCentre;
        message.isLeader = true;
        message.leader = m_context->settings.host.name;
        message.reports = m_shares.report(other, m_context->now());
        auto bytes = co_await m_context->peers.call(hosts[asked].controller, PeerMethod::ExchangeShares, encodeShareMessage(message), shareTimeout);
        auto reply = bytes ? decodeShareMessage(*bytes) : failure(ControllerMessageError::Malformed, "no reply");
        bool isLeader = reply && reply->isLeader;
        if (isLeader)
            m_shares.receive(other, reply->reports, m_context->now());
        else {
            HostName leader = reply ? reply->leader : HostName();
            auto named = std::find_if(hosts.begin(), hosts.end(), [&](const EntryHostAddress& host) { return host.name == leader; });
            asked = named == hosts.end() ? (asked + 1) % hosts.size() : static_cast<std::size_t>(named - hosts.begin());
        }
        co_await sleep(timer, shareInterval);
    }
}

} // namespace hemlockchute
