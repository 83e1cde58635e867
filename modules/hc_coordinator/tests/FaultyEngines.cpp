#include "FaultyEngines.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sstream>

namespace hemlockchute::testing {
namespace {

namespace asio = boost::asio;

const Endpoint anyPort(asio::ip::make_address("127.0.0.1"), 0);

std::vector<std::string> words(std::string_view text)
{
    std::istringstream stream { std::string(text) };
    return { std::istream_iterator<std::string>(stream), {} };
}

constexpr unsigned accepted = 202;
constexpr unsigned holds = 200;
constexpr unsigned conflict = 409;
constexpr unsigned wrongServer = 421;
constexpr unsigned fenced = 412;
constexpr unsigned failed = 500;

} // namespace

//==============================================================================
HttpRequest PlainPlatform::reportRequest() const
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/report";
    return request;
}

/** "started busy accepted model…", adapters as model/adapter, and with a plus sign before that while they are on their way */
Result<EngineReport, PlatformErrorCode> PlainPlatform::decodeReport(std::string_view body) const
{
    std::vector<std::string> parts = words(body);
    EngineReport report;
    report.startedAt = std::stoll(parts.at(0));
    report.isBusy = parts.at(1) == "busy";
    report.ordersAccepted = std::stoull(parts.at(2));
    for (std::size_t i = 3; i < parts.size(); ++i) {
        bool isPending = parts[i].front() == '+';
        std::string name = parts[i].substr(isPending ? 1 : 0);
        std::size_t slash = name.find('/');
        HeldModels& models = isPending ? report.pendingAdapters : report.models;
        std::set<AdapterName>& adapters = models[ModelName(name.substr(0, slash))];
        if (slash != std::string::npos)
            adapters.insert(AdapterName(name.substr(slash + 1)));
    }
    return report;
}

/** "operation server model accepted-before fence [adapter]" */
HttpRequest PlainPlatform::orderRequest(const PlacementOrder& order) const
{
    if (onOrder)
        onOrder(order);
    HttpRequest request;
    request.method = "POST";
    request.target = "/order";
    request.body = std::string(order.operation == PlacementOrder::Operation::Load ? "load " : "unload ") + order.server.text() + " " + order.model.text() + " "
        + std::to_string(order.ordersAcceptedBefore) + " " + std::to_string(order.fence.value()) + " " + order.adapter.text();
    return request;
}

OrderOutcome PlainPlatform::decodeOrderAnswer(unsigned status) const
{
    switch (status) {
    case accepted:
        return OrderOutcome::Accepted;
    case holds:
        return OrderOutcome::AlreadyHolds;
    case conflict:
        return OrderOutcome::Conflict;
    case wrongServer:
        return OrderOutcome::WrongServer;
    case fenced:
        return OrderOutcome::Fenced;
    default:
        return OrderOutcome::Rejected;
    }
}

RouteConfigurationPointer configurationWith(const RoutedService& service)
{
    RouteConfiguration::Parts parts;
    parts.version = ConfigurationVersion(1);
    parts.services.emplace(service.name, service);
    Route route;
    route.name = "r";
    route.host = "h.example";
    route.pathPrefix = "/";
    route.timeout = 1s;
    route.services = { { service.name, 1 } };
    parts.routes = { route };
    return RouteConfiguration::make(std::move(parts)).value();
}

//==============================================================================
FaultyEngine::FaultyEngine(asio::io_context& context, std::string id, std::mt19937& random, const OrderFaults& faults, Duration loadTime)
    : m_context(context)
    , m_random(random)
    , m_faults(faults)
    , m_loadTime(loadTime)
    , m_id(std::move(id))
    , m_server(context, HttpServer::Options().withSingleThread(), [this](HttpExchange& exchange) { return serve(exchange); })
    , m_endpoint(m_server.listen(anyPort).value())
{
}

ListedServer FaultyEngine::listed() const
{
    ListedServer server;
    server.id = BackendServerName(m_id);
    server.service = ServiceName("llm");
    server.address = m_endpoint;
    server.dataCentre = DataCentreName("z1");
    server.startedAt = m_startedAt;
    server.slots = 4;
    return server;
}

void FaultyEngine::replace(std::string id, std::set<std::string> models)
{
    m_id = std::move(id);
    ++m_startedAt;
    m_models = std::move(models);
    m_loading.clear();
    m_adapters.clear();
    m_accepted = 0;
}

bool FaultyEngine::happens(unsigned perMille)
{
    return std::uniform_int_distribution<unsigned>(0, 999)(m_random) < perMille;
}

asio::awaitable<void> FaultyEngine::pause(Duration duration) const
{
    asio::steady_timer timer(m_context);
    timer.expires_after(duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void FaultyEngine::completeLoad()
{
    if (!m_loading.empty() && std::chrono::steady_clock::now() >= m_loadedAt)
        m_models.insert(std::exchange(m_loading, {}));
}

std::string FaultyEngine::report()
{
    completeLoad();
    std::string text = std::to_string(m_startedAt) + (m_loading.empty() ? " idle " : " busy ") + std::to_string(m_accepted);
    for (const std::string& model : m_models)
        text += " " + model;
    dropAdapters();
    for (const auto& [name, adapter] : m_adapters)
        text += (currentTime() < adapter.loadedAt ? " +" : " ") + name;
    return text;
}

bool FaultyEngine::use(const std::string& adapter, Duration time)
{
    dropAdapters();
    auto held = m_adapters.find(adapter);
    if (held == m_adapters.end() || held->second.isLeaving || currentTime() < held->second.loadedAt)
        return false;
    held->second.usedUntil = std::max(held->second.usedUntil, currentTime() + time);
    return true;
}

/** An unload waits for the requests that use the adapter. */
void FaultyEngine::dropAdapters()
{
    std::erase_if(m_adapters, [](const auto& item) { return item.second.isLeaving && currentTime() >= item.second.usedUntil; });
}

unsigned FaultyEngine::decideAdapter(const std::vector<std::string>& order)
{
    dropAdapters();
    if (!m_models.contains(order.at(2)))
        return wrongServer;
    std::string name = order.at(2) + "/" + order.at(5);
    auto held = m_adapters.find(name);
    bool isThere = held != m_adapters.end() && currentTime() >= held->second.loadedAt;
    bool isLoad = order.at(0) == "load";
    if (isLoad && held != m_adapters.end() && !held->second.isLeaving)
        return isThere ? holds : accepted;
    // What is still on its way is not there yet, and an order to unload it does not stop it.
    if (!isLoad && !isThere)
        return holds;
    if (std::stoull(order.at(3)) != m_accepted) {
        ++m_conflicts;
        return conflict;
    }
    ++m_accepted;
    ++m_allAccepted;
    if (isLoad) {
        m_isOverloaded = m_isOverloaded || m_adapters.size() >= adapterSlots;
        m_adapters[name].loadedAt = currentTime() + m_adapterLoadTime;
        return accepted;
    }
    held->second.isLeaving = true;
    dropAdapters();
    return m_adapters.contains(name) ? accepted : holds;
}

unsigned FaultyEngine::decide(const std::vector<std::string>& order)
{
    completeLoad();
    bool isLoad = order.at(0) == "load";
    const std::string& model = order.at(2);
    if (order.at(1) != m_id)
        return wrongServer;
    std::uint64_t fence = std::stoull(order.at(4));
    if (fence < m_fence)
        return fenced;
    m_fence = fence;
    if (order.size() > 5)
        return decideAdapter(order);
    if (!m_loading.empty())
        return isLoad && m_loading == model ? accepted : conflict;
    if (isLoad == m_models.contains(model))
        return holds;
    if (std::stoull(order.at(3)) != m_accepted)
        return conflict;
    ++m_accepted;
    ++m_allAccepted;
    if (!isLoad) {
        m_models.erase(model);
        std::erase_if(m_adapters, [&](const auto& item) { return item.first.starts_with(model + "/"); });
        return accepted;
    }
    m_isOverloaded = m_isOverloaded || m_models.size() >= maximumModels;
    m_loading = model;
    m_loads.insert(model);
    m_loadedAt = std::chrono::steady_clock::now() + m_loadTime;
    return accepted;
}

asio::awaitable<void> FaultyEngine::serve(HttpExchange& exchange)
{
    constexpr Duration beyondTimeout = 10s;
    HttpResponse response;
    response.status = holds;
    if (auto now = std::chrono::steady_clock::now(); now < m_silentUntil)
        co_await pause(m_silentUntil - now);
    if (exchange.request().target == "/report") {
        if (happens(m_faults.lostAnswer))
            co_await pause(beyondTimeout);
        response.body = report();
        co_await exchange.respond(std::move(response));
        co_return;
    }
    std::vector<std::string> order = words(exchange.request().body);
    bool isLate = happens(m_faults.late);
    if (happens(m_faults.lostOrder))
        co_await pause(beyondTimeout);
    if (isLate)
        co_await pause(std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(m_faults.maximumDelay).count())(m_random)));
    response.status = happens(m_faults.refused) ? failed : decide(order);
    if (happens(m_faults.lostAnswer))
        co_await pause(beyondTimeout);
    co_await exchange.respond(std::move(response));
}

} // namespace hemlockchute::testing
