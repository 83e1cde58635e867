#include "hemlockchute/controller/OrderBook.h"

#include <algorithm>
#include <cassert>

namespace hemlockchute {
namespace {

constexpr unsigned wholePerMille = 1000;

const EngineModel* findModel(const EngineState& state, const ModelName& model)
{
    auto found = std::find_if(state.models.begin(), state.models.end(), [&](const EngineModel& held) { return held.model == model; });
    return found == state.models.end() ? nullptr : &*found;
}

bool contains(const std::vector<AdapterName>& adapters, const AdapterName& adapter)
{
    return std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
}

bool isSeen(const EngineState& state, const OrderId& id)
{
    return std::find(state.ordersSeen.begin(), state.ordersSeen.end(), id) != state.ordersSeen.end();
}

} // namespace

OrderBook::Options OrderBook::Options::withOrderLifetime(Duration value) const
{
    Options copy = *this;
    copy.orderLifetime = value;
    return copy;
}

OrderBook::Options OrderBook::Options::withSendTimeout(Duration value) const
{
    Options copy = *this;
    copy.sendTimeout = value;
    return copy;
}

OrderBook::OrderBook(FencingNumber fencing, Instant ordersFrom, std::string idPrefix, Options options)
    : m_fencing(fencing)
    , m_idPrefix(std::move(idPrefix))
    , m_options(options)
    , m_trustFrom(ordersFrom)
{
    bool isFirstTerm = fencing <= FencingNumber(1);
    if (!isFirstTerm)
        m_trustFrom += withDrift(options.sendTimeout + options.orderLifetime);
}

//==============================================================================
void OrderBook::setServers(const std::vector<BackendServer>& servers, Instant now)
{
    for (auto& [name, engine] : m_engines)
        engine.isListed = false;
    for (const BackendServer& server : servers) {
        auto [entry, isNew] = m_engines.try_emplace(server.name);
        entry->second.server = server;
        entry->second.isListed = true;
        if (isNew) {
            entry->second.lastHeard = now;
            entry->second.firstListed = now;
        }
    }
    settle(now);
}

void OrderBook::setDocument(DocumentPointer document)
{
    assert(document);
    m_document = std::move(document);
}

void OrderBook::inherit(const OrderRecord& record, Instant now)
{
    for (const RecordedOrder& recorded : record.orders) {
        Order order;
        order.recorded = recorded;
        order.openCopies = 1;
        order.wasSent = true;
        order.lastCopy = now;
        order.lastSending = m_trustFrom;
        order.expectedEnd = now;
        m_orders.emplace(recorded.order.id, std::move(order));
        auto [entry, isNew] = m_engines.try_emplace(recorded.engine);
        if (isNew)
            entry->second.lastHeard = now;
    }
}

void OrderBook::noteState(const BackendServerName& name, EngineState state, Instant readBegun, Instant now)
{
    auto found = m_engines.find(name);
    if (found == m_engines.end())
        return;
    Engine& engine = found->second;
    if (engine.state && readBegun < engine.readBegun)
        return;
    engine.state = std::move(state);
    engine.readBegun = readBegun;
    engine.lastHeard = now;
    for (auto& [id, order] : m_orders) {
        bool isOwn = order.recorded.engine == name && readBegun >= order.lastSending;
        if (isOwn && isSeen(*engine.state, id))
            noteTaken(order, now);
    }
    settle(now);
}

//==============================================================================
std::optional<RecordedOrder> OrderBook::issue(const OrderRequest& request, unsigned permits, Instant now)
{
    if (!mayOrder(request.engine, now) || !isSound(request, permits))
        return std::nullopt;
    EngineOrder engineOrder;
    engineOrder.id = OrderId(m_idPrefix + "-" + std::to_string(++m_lastOrder));
    engineOrder.fencing = m_fencing;
    engineOrder.kind = request.kind;
    engineOrder.model = request.model;
    engineOrder.version = request.version;
    engineOrder.adapter = request.adapter;
    engineOrder.source = request.source;
    engineOrder.memory = request.memory;
    engineOrder.lifetime = m_options.orderLifetime;
    Order order;
    order.recorded = { request.engine, engineOrder };
    order.lastCopy = now;
    order.expectedEnd = now + request.expectedTime;
    if (request.kind == OrderKind::LoadModel) {
        m_loadEnds[{ request.engine, request.model }] = order.expectedEnd;
        if (request.source == LoadSource::Store)
            m_storeLoads.emplace(request.engine, request.model);
    }
    m_orders.emplace(engineOrder.id, order);
    return order.recorded;
}

bool OrderBook::isSound(const OrderRequest& request, unsigned permits) const
{
    const Engine& engine = *find(request.engine);
    auto possible = possibleOn(engine);
    auto held = possible.find(request.model);
    bool isHeld = held != possible.end();
    bool fits = reservedMemory(request.engine) + request.memory <= engine.state->memory;
    switch (request.kind) {
    case OrderKind::LoadModel:
        return !isHeld && fits && possibleReplicas(request.model) < permits;
    case OrderKind::LoadAdapter:
        return isHeld && fits && held->second.phase == LoadPhase::Loaded && !contains(held->second.adapters, request.adapter);
    case OrderKind::UnloadModel:
        return isHeld && held->second.phase == LoadPhase::Loaded;
    case OrderKind::UnloadAdapter:
        return isHeld && contains(held->second.adapters, request.adapter);
    }
    return false;
}

void OrderBook::noteSending(const OrderId& id, Instant now)
{
    auto found = m_orders.find(id);
    assert(found != m_orders.end());
    ++found->second.openCopies;
    found->second.lastSending = now;
    found->second.isSending = true;
    found->second.wasSent = true;
}

void OrderBook::noteSent(const OrderId& id, SendOutcome outcome, Instant now)
{
    auto found = m_orders.find(id);
    if (found == m_orders.end())
        return;
    Order& order = found->second;
    order.isSending = false;
    order.lastCopy = now;
    if (outcome != SendOutcome::Unknown && order.openCopies > 0)
        --order.openCopies;
    if (outcome == SendOutcome::TakenIn)
        noteTaken(order, now);
    settle(now);
}

void OrderBook::withdraw(const OrderId& id)
{
    auto found = m_orders.find(id);
    if (found != m_orders.end() && !found->second.wasSent)
        m_orders.erase(found);
}

std::vector<RecordedOrder> OrderBook::ordersToResend(Instant now) const
{
    std::vector<RecordedOrder> orders;
    for (const auto& [id, order] : m_orders) {
        bool isDue = order.wasSent && !order.isSending && !order.isTaken && now - order.lastCopy >= m_options.resendInterval;
        if (!isDue || !mayOrder(order.recorded.engine, now))
            continue;
        orders.push_back(order.recorded);
        orders.back().order.fencing = m_fencing;
    }
    return orders;
}

OrderRecord OrderBook::record()
{
    OrderRecord record;
    record.fencing = m_fencing;
    record.sequence = ++m_lastRecord;
    for (const auto& [id, order] : m_orders)
        record.orders.push_back(order.recorded);
    return record;
}

//==============================================================================
void OrderBook::noteTaken(Order& order, Instant now) const
{
    if (order.isTaken)
        return;
    order.isTaken = true;
    order.beginsBefore = now + withDrift(m_options.orderLifetime);
}

/** True when nothing but the engine's state is needed any more to know what the order came to. */
bool OrderBook::isSettled(const Order& order, const Engine& engine, Instant now) const
{
    if (!order.wasSent || order.isSending)
        return false;
    bool neverArrives = order.openCopies == 0 && !order.isTaken;
    if (neverArrives)
        return true;
    // An unload holds nothing back, so its outcome need not be certain.
    OrderKind kind = order.recorded.order.kind;
    bool isUnload = kind == OrderKind::UnloadModel || kind == OrderKind::UnloadAdapter;
    if (isUnload && now >= order.lastCopy + withDrift(m_options.orderLifetime))
        return true;
    bool isReadSince = engine.state && engine.readBegun >= order.lastSending;
    return order.isTaken && isReadSince && isSettledByState(order, engine);
}

bool OrderBook::isSettledByState(const Order& order, const Engine& engine) const
{
    const EngineOrder& what = order.recorded.order;
    const EngineModel* model = findModel(*engine.state, what.model);
    bool isOver = engine.readBegun >= order.beginsBefore;
    bool hasAdapter = model && contains(model->adapters, what.adapter);
    switch (what.kind) {
    case OrderKind::LoadModel:
        return (model && isSeen(*engine.state, what.id)) || isOver;
    case OrderKind::LoadAdapter:
        return hasAdapter || isOver;
    case OrderKind::UnloadModel:
        return (!model && engine.readBegun >= order.lastCopy) || isOver;
    case OrderKind::UnloadAdapter:
        return !hasAdapter || isOver;
    }
    return false;
}

void OrderBook::settle(Instant now)
{
    std::erase_if(m_orders, [&](const auto& entry) {
        const Engine* engine = find(entry.second.recorded.engine);
        return !engine || isSettled(entry.second, *engine, now);
    });
    std::erase_if(m_engines, [&](const auto& entry) {
        return !entry.second.isListed && now - entry.second.lastHeard >= m_options.goneAfter;
    });
    auto isEnded = [&](const std::pair<BackendServerName, ModelName>& load) {
        const Engine* engine = find(load.first);
        if (!engine)
            return true;
        auto possible = possibleOn(*engine);
        auto found = possible.find(load.second);
        return found == possible.end() || found->second.phase != LoadPhase::Loading;
    };
    std::erase_if(m_storeLoads, isEnded);
    std::erase_if(m_loadEnds, [&](const auto& entry) { return isEnded(entry.first); });
}

//==============================================================================
const OrderBook::Engine* OrderBook::find(const BackendServerName& name) const
{
    auto found = m_engines.find(name);
    return found == m_engines.end() ? nullptr : &found->second;
}

ByteCount OrderBook::adapterMemory(const AdapterName& adapter) const
{
    auto found = m_document->adapters.find(adapter);
    return found == m_document->adapters.end() ? ByteCount() : found->second.memory;
}

ByteCount OrderBook::modelMemory(const EngineModel& held) const
{
    ByteCount memory = held.memory;
    for (const AdapterName& adapter : held.adapters)
        memory += adapterMemory(adapter);
    return memory;
}

std::map<ModelName, OrderBook::PossibleModel> OrderBook::possibleOn(const Engine& engine) const
{
    std::map<ModelName, PossibleModel> possible;
    if (engine.state) {
        for (const EngineModel& held : engine.state->models)
            possible[held.model] = { modelMemory(held), held.phase, true, held.adapters };
    }
    for (const auto& [id, order] : m_orders) {
        if (&engine == find(order.recorded.engine))
            addOrder(order, possible);
    }
    return possible;
}

/** Adds what an order may have made true. */
void OrderBook::addOrder(const Order& order, std::map<ModelName, PossibleModel>& possible) const
{
    const EngineOrder& what = order.recorded.order;
    auto held = possible.find(what.model);
    if (what.kind == OrderKind::LoadModel) {
        if (held == possible.end())
            possible[what.model] = { what.memory, LoadPhase::Loading, false, {} };
        else
            held->second.memory = std::max(held->second.memory, what.memory);
    } else if (held == possible.end())
        return;
    else if (what.kind == OrderKind::UnloadModel)
        held->second.phase = LoadPhase::Unloading;
    else if (what.kind == OrderKind::LoadAdapter && !contains(held->second.adapters, what.adapter)) {
        held->second.memory += what.memory;
        held->second.adapters.push_back(what.adapter);
    }
}

unsigned OrderBook::possibleReplicas(const ModelName& model) const
{
    unsigned count = 0;
    for (const auto& [name, engine] : m_engines)
        count += mayHoldAnything(engine) || possibleOn(engine).contains(model) ? 1 : 0;
    return count;
}

bool OrderBook::mayHoldAnything(const Engine& engine) const
{
    bool isRead = engine.state && engine.readBegun >= m_trustFrom;
    return m_fencing > FencingNumber(1) && engine.firstListed <= m_trustFrom && !isRead;
}

std::set<ModelName> OrderBook::possibleModels() const
{
    std::set<ModelName> models;
    for (const auto& [name, engine] : m_engines) {
        for (const auto& [model, possible] : possibleOn(engine))
            models.insert(model);
    }
    return models;
}

ByteCount OrderBook::reservedMemory(const BackendServerName& name) const
{
    const Engine* engine = find(name);
    if (!engine)
        return {};
    ByteCount counted;
    ByteCount notInState;
    for (const auto& [model, possible] : possibleOn(*engine)) {
        counted += possible.memory;
        if (!possible.isInState)
            notInState += possible.memory;
    }
    ByteCount reported = engine->state ? engine->state->memoryUsed : ByteCount();
    return std::max(counted, reported + notInState);
}

unsigned OrderBook::storeLoadsInFlight(Instant now) const
{
    return static_cast<unsigned>(std::count_if(m_storeLoads.begin(), m_storeLoads.end(), [&](const auto& load) { return isAnswering(load.first, now); }));
}

bool OrderBook::isAnswering(const BackendServerName& name, Instant now) const
{
    const Engine* engine = find(name);
    return engine && now - engine->lastHeard < m_options.answersWithin;
}

unsigned OrderBook::adapterLoadsInFlight() const
{
    return static_cast<unsigned>(std::count_if(m_orders.begin(), m_orders.end(), [](const auto& entry) { return entry.second.recorded.order.kind == OrderKind::LoadAdapter; }));
}

bool OrderBook::isChanging(const BackendServerName& name) const
{
    const Engine* engine = find(name);
    if (!engine)
        return false;
    bool hasOrder = std::any_of(m_orders.begin(), m_orders.end(), [&](const auto& entry) { return entry.second.recorded.engine == name; });
    if (hasOrder || !engine->state)
        return true;
    return std::any_of(engine->state->models.begin(), engine->state->models.end(), [](const EngineModel& held) { return held.phase != LoadPhase::Loaded; });
}

bool OrderBook::mayOrder(const BackendServerName& name, Instant now) const
{
    const Engine* engine = find(name);
    return engine && engine->state && engine->readBegun >= m_trustFrom && now - engine->readBegun < m_options.freshness;
}

//==============================================================================
std::vector<PlannedEngine> OrderBook::plannedEngines(const std::set<ModelName>& busy, Instant now) const
{
    std::vector<PlannedEngine> planned;
    for (const auto& [name, engine] : m_engines) {
        if (!engine.state)
            continue;
        PlannedEngine entry;
        entry.name = name;
        entry.memory = engine.state->memory;
        entry.memoryReserved = reservedMemory(name);
        bool isLeaving = engine.server.isLeaving || engine.state->isLeaving || !engine.isListed || m_document->drains.contains(name);
        entry.isAnswering = isAnswering(name, now);
        entry.takesNewWork = !isLeaving && entry.isAnswering && mayOrder(name, now);
        entry.cachedInMemory = engine.state->cachedInMemory;
        entry.cachedOnDisk = engine.state->cachedOnDisk;
        for (const auto& [model, possible] : possibleOn(engine)) {
            bool isBusy = engine.state->running > 0 && busy.contains(model);
            entry.models.push_back({ model, possible.memory, possible.phase == LoadPhase::Loaded, possible.phase == LoadPhase::Loading,
                possible.phase == LoadPhase::Unloading, possible.adapters, isBusy ? 1U : 0U });
        }
        planned.push_back(std::move(entry));
    }
    return planned;
}

std::vector<PlacedEngine> OrderBook::placedEngines(Instant now) const
{
    std::vector<PlacedEngine> placed;
    for (const auto& [name, engine] : m_engines) {
        if (!engine.state || engine.server.name.isEmpty())
            continue;
        PlacedEngine entry;
        entry.name = name;
        entry.endpoint = engine.server.endpoint;
        entry.protocol = engine.server.protocol;
        entry.takesNewWork = engine.isListed && !engine.server.isLeaving && !engine.state->isLeaving && !m_document->drains.contains(name);
        entry.running = engine.state->running;
        entry.queued = engine.state->queued;
        entry.slots = engine.state->slots;
        entry.lag = engine.state->lag + (now - engine.readBegun);
        auto possible = possibleOn(engine);
        for (const EngineModel& held : engine.state->models) {
            if (possible[held.model].phase == LoadPhase::Loaded)
                entry.models[held.model] = held.adapters;
        }
        placed.push_back(std::move(entry));
    }
    return placed;
}

std::map<ModelName, Duration> OrderBook::readyIn(Instant now) const
{
    std::map<ModelName, Duration> ready;
    for (const auto& [load, end] : m_loadEnds) {
        Duration left = std::max(Duration::zero(), end - now);
        auto [entry, isNew] = ready.emplace(load.second, left);
        entry->second = std::min(entry->second, left);
    }
    return ready;
}

std::vector<BackendServer> OrderBook::engines() const
{
    std::vector<BackendServer> servers;
    for (const auto& [name, engine] : m_engines) {
        if (!engine.server.name.isEmpty())
            servers.push_back(engine.server);
    }
    return servers;
}

Duration OrderBook::withDrift(Duration duration) const
{
    return duration + duration * m_options.driftPerMille / wholePerMille;
}

} // namespace hemlockchute
