#include "hemlockchute/router/DispatchTable.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace hemlockchute {
namespace {

/** Time without work for an engine that refused or failed; prevents retries in a tight loop. */
constexpr Duration refusalBackoff = 25ms;
constexpr Duration initialCostEstimate = 50ms;
/** The newest duration has a weight of 1/8 in the moving average. */
constexpr int estimateDivisor = 8;
/** Number of concurrent calls that each server of a plain service is assumed to handle. */
constexpr unsigned serviceSlots = 1024;

} // namespace

DispatchTable::DispatchTable(Options options)
    : m_options(std::move(options))
    , m_queue(makeRequestQueue(m_options.queueStrategy, RequestQueueOptions().withMaximumWaiting(m_options.maximumWaiting)))
    , m_picker(makeServerPicker(m_options.pickerStrategy))
    , m_ejections(EjectionTable::Options())
    , m_slotReserve(m_options.slotReserve)
    , m_document(std::make_shared<Document>())
{
    assert(m_queue && m_picker);
}

//==============================================================================
std::vector<Refusal> DispatchTable::setDocument(DocumentPointer document)
{
    m_document = std::move(document);
    std::erase_if(m_averageDuration, [&](const auto& entry) { return !m_document->models.contains(entry.first); });
    std::vector<Refusal> refusals = m_queue->setRanks(m_document->ranks);
    for (const Refusal& refusal : refusals)
        m_waiting.erase(refusal.ticket);
    return refusals;
}

void DispatchTable::setPlacement(PlacementView view, Instant now)
{
    m_engines.clear();
    m_enginesByModel.clear();
    m_placementReceivedAt = now;
    for (PlacedEngine& placed : view.engines) {
        unsigned reported = placed.running + placed.queued;
        unsigned own = outstanding(placed.name);
        for (const auto& [model, adapters] : placed.models)
            m_enginesByModel[model].push_back(m_engines.size());
        m_engines.push_back({ std::move(placed), reported > own ? reported - own : 0 });
    }
    estimateParallelism();
}

/** Sets the parallelism for the queue's wait estimates to all slots, since other routers' future use of them is unknown. */
void DispatchTable::estimateParallelism()
{
    unsigned slots = 0;
    for (const Engine& engine : m_engines)
        slots += engine.placed.takesNewWork ? engine.placed.slots : 0;
    m_queue->setParallelism(slots);
}

void DispatchTable::setServers(const std::vector<BackendServer>& servers)
{
    m_hasList = true;
    m_listedServers.clear();
    m_services.clear();
    for (const BackendServer& server : servers) {
        m_listedServers.emplace(server.name, server);
        if (server.kind == BackendServer::Kind::Service)
            m_services[server.service].push_back(server.name);
    }
    auto hasLeft = [&](const auto& entry) { return !m_listedServers.contains(entry.first); };
    std::erase_if(m_budgets, hasLeft);
    std::erase_if(m_pausedUntil, hasLeft);
}

//==============================================================================
std::optional<Refusal> DispatchTable::add(QueuedRequest request, Instant now)
{
    auto average = m_averageDuration.find(request.model);
    request.cost = average == m_averageDuration.end() ? initialCostEstimate : average->second;
    ++m_arrivals[request.model];
    auto refusal = m_queue->add(request, now);
    if (!refusal)
        m_waiting.emplace(request.ticket, std::move(request));
    return refusal;
}

bool DispatchTable::remove(QueueTicket ticket)
{
    m_waiting.erase(ticket);
    return m_queue->remove(ticket);
}

std::vector<Refusal> DispatchTable::expire(Instant now)
{
    std::vector<Refusal> refusals = m_queue->expire(now);
    for (const Refusal& refusal : refusals)
        m_waiting.erase(refusal.ticket);
    return refusals;
}

std::optional<Assignment> DispatchTable::assignNext(Instant now, std::uint64_t random)
{
    if (m_queue->size() == 0)
        return std::nullopt;
    std::map<std::tuple<RankName, ModelName, AdapterName>, std::optional<std::size_t>> picks;
    auto pickFor = [&](const QueuedRequest& request) {
        auto [entry, isNew] = picks.try_emplace({ request.rank, request.model, request.adapter });
        if (isNew)
            entry->second = pickEngine(enginesFor(request.model, request.adapter, now), request.rank, now, random);
        return entry->second;
    };
    auto request = m_queue->take([&](const QueuedRequest& waiting) { return pickFor(waiting).has_value(); }, now);
    if (!request)
        return std::nullopt;
    m_waiting.erase(request->ticket);
    return Assignment { *request, reserveSlot(m_engines[*pickFor(*request)]) };
}

std::optional<BackendServer> DispatchTable::assignRetry(const QueuedRequest& request, const std::set<BackendServerName>& tried, Instant now, std::uint64_t random)
{
    auto engines = withoutTried(enginesFor(request.model, request.adapter, now), tried);
    auto picked = pickEngine(engines, request.rank, now, random);
    if (!picked)
        return std::nullopt;
    return reserveSlot(m_engines[*picked]);
}

std::optional<BackendServer> DispatchTable::assignTakeover(const QueuedRequest& request, const BackendServerName& silent, const std::set<BackendServerName>& tried, Instant now, std::uint64_t random)
{
    auto engines = enginesFor(request.model, request.adapter, now);
    std::erase_if(engines, [&](std::size_t index) { return m_engines[index].placed.name == silent; });
    auto picked = pickEngine(withoutTried(std::move(engines), tried), request.rank, now, random);
    if (!picked)
        return std::nullopt;
    return reserveSlot(m_engines[*picked]);
}

std::optional<BackendServer> DispatchTable::assignReconnect(const QueuedRequest& request, const BackendServerName& server, Instant now)
{
    for (std::size_t index : enginesFor(request.model, request.adapter, now)) {
        if (m_engines[index].placed.name == server)
            return reserveSlot(m_engines[index]);
    }
    return std::nullopt;
}

std::optional<BackendServer> DispatchTable::assignService(const ServiceName& service, const std::set<BackendServerName>& tried, Instant now, std::uint64_t random)
{
    std::vector<BackendServer> servers = serversOf(service, tried, now);
    std::vector<ServerCandidate> candidates;
    candidates.reserve(servers.size());
    for (const BackendServer& server : servers) {
        ServerCandidate candidate;
        candidate.name = server.name;
        candidate.ownOutstanding = outstanding(server.name);
        candidate.slots = serviceSlots;
        candidates.push_back(std::move(candidate));
    }
    auto picked = m_picker->pick(candidates, random);
    if (!picked)
        return std::nullopt;
    ++m_outstanding[servers[*picked].name];
    return servers[*picked];
}

void DispatchTable::recordAttemptOutcome(const BackendServerName& server, AttemptOutcome end, Instant now)
{
    auto count = m_outstanding.find(server);
    assert(count != m_outstanding.end());
    if (--count->second == 0)
        m_outstanding.erase(count);
    switch (end) {
    case AttemptOutcome::Answered:
        m_ejections.noteSuccess(server);
        m_budgets.try_emplace(server, RetryBudget::Options()).first->second.noteSuccess();
        break;
    case AttemptOutcome::Refused:
        m_pausedUntil[server] = now + refusalBackoff;
        break;
    case AttemptOutcome::Failed:
        m_pausedUntil[server] = now + refusalBackoff;
        m_ejections.noteFailure(server, now);
        break;
    case AttemptOutcome::Unused:
    case AttemptOutcome::TimedOut:
        break;
    }
}

void DispatchTable::recordProbe(const BackendServerName& server, bool isAlive, Instant now)
{
    if (!isAlive)
        m_ejections.noteFailure(server, now);
}

void DispatchTable::recordDuration(const QueuedRequest& request, Duration duration, Instant now)
{
    Duration& average = m_averageDuration.try_emplace(request.model, duration).first->second;
    average += (duration - average) / estimateDivisor;
    m_queue->charge(request, duration, now);
}

std::optional<Duration> DispatchTable::takeRetry(const BackendServerName& server, unsigned retry, std::uint64_t random)
{
    RetryBudget& budget = m_budgets.try_emplace(server, RetryBudget::Options()).first->second;
    if (!budget.tryTake())
        return std::nullopt;
    return budget.backoff(retry, random);
}

//==============================================================================
bool DispatchTable::isLoaded(const ModelName& model, const AdapterName& adapter) const
{
    auto engines = m_enginesByModel.find(model);
    if (engines == m_enginesByModel.end())
        return false;
    return std::any_of(engines->second.begin(), engines->second.end(), [&](std::size_t index) {
        const auto& adapters = m_engines[index].placed.models.at(model);
        return adapter.isEmpty() || std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
    });
}

DemandReport DispatchTable::demand(const HostName& self, Instant now) const
{
    DemandReport report { self, {} };
    for (const auto& [model, arrivals] : m_arrivals)
        report.models[model].arrivals = arrivals;
    for (const WaitingModel& waiting : m_queue->waitingModels()) {
        ModelDemand& demand = report.models[waiting.model];
        demand.waiting = waiting.waiting;
        demand.bestRankOrder = waiting.bestRankOrder;
        demand.oldestWait = now - waiting.oldestArrival;
    }
    for (const auto& [ticket, request] : m_waiting) {
        if (!request.adapter.isEmpty())
            ++report.models[request.model].adapters[request.adapter];
    }
    return report;
}

void DispatchTable::markReported(const DemandReport& report)
{
    for (const auto& [model, demand] : report.models) {
        auto arrivals = m_arrivals.find(model);
        if (arrivals == m_arrivals.end())
            continue;
        arrivals->second -= std::min(arrivals->second, demand.arrivals);
        if (arrivals->second == 0)
            m_arrivals.erase(arrivals);
    }
}

//==============================================================================
bool DispatchTable::acceptsNewWork(const BackendServerName& server) const
{
    if (m_document->drains.contains(server))
        return false;
    if (!m_hasList)
        return true;
    auto listed = m_listedServers.find(server);
    return listed != m_listedServers.end() && !listed->second.isLeaving;
}

bool DispatchTable::isPaused(const BackendServerName& engine, Instant now) const
{
    auto paused = m_pausedUntil.find(engine);
    return paused != m_pausedUntil.end() && now < paused->second;
}

std::vector<std::size_t> DispatchTable::enginesFor(const ModelName& model, const AdapterName& adapter, Instant now) const
{
    auto engines = m_enginesByModel.find(model);
    if (engines == m_enginesByModel.end())
        return {};
    std::vector<BackendServerName> open;
    std::map<BackendServerName, std::size_t> indexes;
    for (std::size_t index : engines->second) {
        const PlacedEngine& placed = m_engines[index].placed;
        const auto& adapters = placed.models.at(model);
        bool hasAdapter = adapter.isEmpty() || std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
        if (!placed.takesNewWork || !hasAdapter || !acceptsNewWork(placed.name) || isPaused(placed.name, now))
            continue;
        open.push_back(placed.name);
        indexes[placed.name] = index;
    }
    std::vector<std::size_t> usable;
    for (const BackendServerName& name : m_ejections.usable(open, now))
        usable.push_back(indexes.at(name));
    return usable;
}

std::vector<std::size_t> DispatchTable::withoutTried(std::vector<std::size_t> engines, const std::set<BackendServerName>& tried) const
{
    std::vector<std::size_t> others;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(others), [&](std::size_t index) { return !tried.contains(m_engines[index].placed.name); });
    return others.empty() ? engines : others;
}

std::optional<std::size_t> DispatchTable::pickEngine(const std::vector<std::size_t>& engines, const RankName& rank, Instant now, std::uint64_t random) const
{
    if (engines.empty())
        return std::nullopt;
    std::vector<ServerCandidate> candidates;
    candidates.reserve(engines.size());
    for (std::size_t index : engines)
        candidates.push_back(candidate(m_engines[index], rank, now));
    auto picked = m_picker->pick(candidates, random);
    if (!picked)
        return std::nullopt;
    return engines[*picked];
}

std::vector<BackendServer> DispatchTable::serversOf(const ServiceName& service, const std::set<BackendServerName>& tried, Instant now) const
{
    auto names = m_services.find(service);
    if (names == m_services.end())
        return {};
    std::vector<BackendServerName> open;
    std::copy_if(names->second.begin(), names->second.end(), std::back_inserter(open), [&](const BackendServerName& name) { return acceptsNewWork(name); });
    std::vector<BackendServer> usable;
    for (const BackendServerName& name : m_ejections.usable(open, now))
        usable.push_back(m_listedServers.at(name));
    auto keepIfAny = [&](auto&& isPreferred) {
        if (std::any_of(usable.begin(), usable.end(), isPreferred))
            std::erase_if(usable, [&](const BackendServer& server) { return !isPreferred(server); });
    };
    keepIfAny([&](const BackendServer& server) { return !tried.contains(server.name); });
    keepIfAny([&](const BackendServer& server) { return server.dataCentre == m_options.dataCentre; });
    return usable;
}

unsigned DispatchTable::usableSlots(unsigned slots, const RankName& rank) const
{
    auto spec = m_document->ranks.find(rank);
    if (spec == m_document->ranks.end() || m_queue->isBelowFloor(rank))
        return slots;
    auto isMoreUrgent = [&](const auto& entry) { return entry.second.order < spec->second.order; };
    auto moreUrgent = std::count_if(m_document->ranks.begin(), m_document->ranks.end(), isMoreUrgent);
    return m_slotReserve.usable(slots, static_cast<unsigned>(moreUrgent));
}

ServerCandidate DispatchTable::candidate(const Engine& engine, const RankName& rank, Instant now) const
{
    ServerCandidate candidate;
    candidate.name = engine.placed.name;
    candidate.ownOutstanding = outstanding(engine.placed.name);
    // The report includes this router's own requests; only those of other routers add to the own count.
    candidate.reportedRunning = engine.othersRunning + candidate.ownOutstanding;
    candidate.reportAge = now - m_placementReceivedAt + engine.placed.lag;
    candidate.slots = usableSlots(engine.placed.slots, rank);
    return candidate;
}

BackendServer DispatchTable::reserveSlot(const Engine& engine)
{
    ++m_outstanding[engine.placed.name];
    BackendServer server;
    server.name = engine.placed.name;
    server.endpoint = engine.placed.endpoint;
    server.protocol = engine.placed.protocol;
    return server;
}

unsigned DispatchTable::outstanding(const BackendServerName& server) const
{
    auto found = m_outstanding.find(server);
    return found == m_outstanding.end() ? 0 : found->second;
}

//==============================================================================
DispatchTable::Options DispatchTable::Options::withQueueStrategy(std::string value) const
{
    Options copy = *this;
    copy.queueStrategy = std::move(value);
    return copy;
}

DispatchTable::Options DispatchTable::Options::withPickerStrategy(std::string value) const
{
    Options copy = *this;
    copy.pickerStrategy = std::move(value);
    return copy;
}

DispatchTable::Options DispatchTable::Options::withMaximumWaiting(std::size_t value) const
{
    Options copy = *this;
    copy.maximumWaiting = value;
    return copy;
}

DispatchTable::Options DispatchTable::Options::withDataCentre(DataCentreName value) const
{
    Options copy = *this;
    copy.dataCentre = std::move(value);
    return copy;
}

DispatchTable::Options DispatchTable::Options::withSlotReserve(SlotReserve::Options value) const
{
    Options copy = *this;
    copy.slotReserve = value;
    return copy;
}

} // namespace hemlockchute
