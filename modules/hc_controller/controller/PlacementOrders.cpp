#include "controller/PlacementTerm.h"
#include "hemlockchute/core/EventLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

constexpr Duration recordTimeout = 300ms;
/** A host that could not record is left out for this time, so that it does not slow every order. */
constexpr Duration leftOutTime = 3s;
constexpr Duration sendTimeout = 1s;
constexpr Duration permitTimeout = 2s;

constexpr std::pair<PlanSource, LoadSource> sources[] = {
    { PlanSource::Memory, LoadSource::Memory },
    { PlanSource::Disk, LoadSource::Disk },
    { PlanSource::Store, LoadSource::Store }
};

LoadSource loadSource(PlanSource source)
{
    for (const auto& [planned, ordered] : sources) {
        if (planned == source)
            return ordered;
    }
    return LoadSource::Store;
}

Duration loadTime(const ModelSpec& spec, PlanSource source)
{
    switch (source) {
    case PlanSource::Memory:
        return spec.loadTimeFromMemory;
    case PlanSource::Disk:
        return spec.loadTimeFromDisk;
    case PlanSource::Store:
        break;
    }
    return spec.loadTimeFromStore;
}

OrderBook::SendOutcome outcomeOf(const Result<void, BackendErrorCode>& result)
{
    if (result)
        return OrderBook::SendOutcome::TakenIn;
    switch (result.error().code) {
    case BackendErrorCode::NotSent:
        return OrderBook::SendOutcome::NotSent;
    case BackendErrorCode::Refused:
    case BackendErrorCode::Busy:
    case BackendErrorCode::StaleFencing:
    case BackendErrorCode::OutOfMemory:
        return OrderBook::SendOutcome::Refused;
    case BackendErrorCode::Lost:
    case BackendErrorCode::TimedOut:
    case BackendErrorCode::Malformed:
        break;
    }
    return OrderBook::SendOutcome::Unknown;
}

void logOrder(const RecordedOrder& recorded, const Result<void, BackendErrorCode>& result)
{
    bool isUncertain = outcomeOf(result) == OrderBook::SendOutcome::Unknown;
    logEvent(isUncertain ? EventId::ControllerOrderUncertain : EventId::ControllerOrderSent,
        { { "order", recorded.order.id }, { "engine", recorded.engine }, { "model", recorded.order.model }, { "kind", static_cast<int>(recorded.order.kind) },
            { "outcome", result ? std::string("taken in") : result.error().detail } });
}

} // namespace

std::optional<OrderBook::OrderRequest> PlacementTerm::orderFor(const PlanStep& step) const
{
    DocumentPointer document = m_context->documents.current();
    OrderBook::OrderRequest request;
    request.engine = step.engine;
    request.model = step.model;
    request.adapter = step.adapter;
    request.source = loadSource(step.source);
    if (step.kind == PlanStep::Kind::UnloadModel) {
        request.kind = OrderKind::UnloadModel;
        return request;
    }
    if (step.kind == PlanStep::Kind::LoadAdapter) {
        auto adapter = document->adapters.find(step.adapter);
        if (adapter == document->adapters.end())
            return std::nullopt;
        request.kind = OrderKind::LoadAdapter;
        request.version = adapter->second.version;
        request.memory = adapter->second.memory;
        return request;
    }
    auto model = document->models.find(step.model);
    if (model == document->models.end())
        return std::nullopt;
    request.version = model->second.version;
    request.memory = model->second.memory;
    request.expectedTime = loadTime(model->second, step.source);
    return request;
}

//==============================================================================
asio::awaitable<void> PlacementTerm::sendOrders(std::vector<RecordedOrder> orders)
{
    auto keep = shared_from_this();
    co_await recordAtOthers();
    for (const RecordedOrder& order : orders)
        asio::co_spawn(
            m_context->strand, [keep, order] { return keep->sendOrder(order); }, asio::detached);
}

/** Tells every other host of the data centre which orders may be under way from now on. */
asio::awaitable<void> PlacementTerm::recordAtOthers()
{
    ByteString payload = encodeOrderRecord(m_book.record());
    for (const EntryHostAddress& host : m_context->settings.otherHosts()) {
        auto leftOut = m_leftOutUntil.find(host.name);
        if (leftOut != m_leftOutUntil.end() && m_context->now() < leftOut->second)
            continue;
        auto recorded = co_await m_context->peers.call(host.controller, PeerMethod::RecordOrder, payload, recordTimeout);
        if (recorded)
            continue;
        m_leftOutUntil[host.name] = m_context->now() + leftOutTime;
        logEvent(EventId::ControllerOrderUnrecorded, { { "host", host.name }, { "reason", recorded.error().detail } });
    }
}

asio::awaitable<void> PlacementTerm::sendOrder(RecordedOrder recorded)
{
    auto keep = shared_from_this();
    OrderId id = recorded.order.id;
    std::optional<BackendServer> engine = server(recorded.engine);
    BackendProtocol* protocol = engine ? m_context->protocol(engine->protocol) : nullptr;
    if (!protocol || !mayOrder()) {
        m_book.withdraw(id);
        co_return;
    }
    Instant deadline = std::min(m_context->now() + sendTimeout, m_context->lease.leaseEnd());
    m_book.noteSending(id, m_context->now());
    ++m_ordersSent;
    auto result = co_await protocol->sendOrder(*engine, recorded.order, deadline);
    m_book.noteSent(id, outcomeOf(result), m_context->now());
    logOrder(recorded, result);
    pollSoon(recorded.engine);
    planSoon();
}

//==============================================================================
/** Before permits go back, no record may name an order that a successor would send again under them. */
asio::awaitable<void> PlacementTerm::recordAndPropose(ModelName model, CommandBody command)
{
    auto keep = shared_from_this();
    co_await recordAtOthers();
    co_await proposePermits(model, command);
}

asio::awaitable<void> PlacementTerm::proposePermits(ModelName model, CommandBody command)
{
    auto keep = shared_from_this();
    auto answer = co_await m_context->keepers.propose(command, permitTimeout);
    const PermitAnswer* permits = answer ? std::get_if<PermitAnswer>(&*answer) : nullptr;
    if (permits)
        m_permits.answered(model, *permits);
    else
        m_permits.failed(model);
    planSoon();
}

} // namespace hemlockchute
