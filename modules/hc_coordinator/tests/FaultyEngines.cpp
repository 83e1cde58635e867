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

/** "started busy accepted model…" */
Result<EngineReport, PlatformErrorCode> PlainPlatform::decodeReport(std::string_view body) const
{
    std::vector<std::string> parts = words(body);
    EngineReport report;
    report.startedAt = std::stoll(parts.at(0));
    report.isBusy = parts.at(1) == "busy";
    report.ordersAccepted = std::stoull(parts.at(2));
    for (std::size_t i = 3; i < parts.size(); ++i)
        report.models.try_emplace(ModelName(parts[i]));
    return report;
}

/** "operation server model accepted-before fence" */
HttpRequest PlainPlatform::orderRequest(const PlacementOrder& order) const
{
    if (onOrder)
        onOrder(order);
    HttpRequest request;
    request.method = "POST";
    request.target = "/order";
    request.body = std::string(order.operation == PlacementOrder::Operation::Load ? "load " : "unload ") + order.server.text() + " " + order.model.text() + " "
        + std::to_string(order.ordersAcceptedBefore) + " " + std::to_string(order.fence.value());
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
    return text;
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
