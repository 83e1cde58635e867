#include "hemlockchute/router/Router.h"

#include "hemlockchute/core/EventLog.h"
#include "router/CallerRequest.h"
#include "router/Problem.h"
#include "router/RouterCore.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

/** Interval of checks for expired requests and for servers that have become usable again. */
constexpr Duration tickInterval = 10ms;
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusMethodNotAllowed = 405;
constexpr unsigned statusUnavailable = 503;

HttpResponse refusal(unsigned status, std::string detail, const RequestId& request)
{
    Problem problem;
    problem.status = status;
    problem.detail = std::move(detail);
    return problemResponse(problem, request);
}

} // namespace

//==============================================================================
struct Router::Impl : std::enable_shared_from_this<Router::Impl> {
    Impl(asio::io_context& context, const Options& options, RunRegistry& runs)
        : core(std::make_shared<RouterCore>(context, options.dispatch, options.idPrefix, options.dataCentre, runs, options.seed))
        , requestMemory(RequestBufferBudget::withBytes(options.requestMemory))
        , callers(
              context, options.http, [core = core](HttpExchange& exchange) { return serveCaller(core, exchange); }, requestMemory)
        , operators(
              context, HttpServer::Options(), [core = core, memory = requestMemory](HttpExchange& exchange) { return serveOperator(core, memory, exchange); }, requestMemory)
        , timer(asio::make_strand(context))
    {
    }

    static asio::awaitable<void> serveCaller(std::shared_ptr<RouterCore> core, HttpExchange& exchange)
    {
        ++core->counters().requests;
        std::string path = exchange.request().path();
        bool isModelPath = path == "/v1/chat/completions";
        if (isModelPath && exchange.request().method == "POST")
            return handleModelRequest(std::move(core), exchange);
        if (path.starts_with("/services/"))
            return handleServiceCall(std::move(core), exchange);
        unsigned status = isModelPath ? statusMethodNotAllowed : statusNotFound;
        return refuse(std::move(core), exchange, status);
    }

    static asio::awaitable<void> refuse(std::shared_ptr<RouterCore> core, HttpExchange& exchange, unsigned status)
    {
        ++core->counters().refusedNotRun;
        RequestId id = requestIdOf(exchange.request(), core->makeRequestId());
        co_await exchange.respond(refusal(status, status == statusNotFound ? "no such path" : "only POST is served here", id));
    }

    static asio::awaitable<void> serveOperator(std::shared_ptr<RouterCore> core, std::shared_ptr<RequestBufferBudget> memory, HttpExchange& exchange)
    {
        std::string path = exchange.request().path();
        HttpResponse response = HttpResponse::text(statusNotFound, "no such path\n");
        if (path == "/healthz")
            response = HttpResponse::text(statusOk, "ok\n");
        else if (path == "/readyz")
            response = readiness(*core);
        else if (path == "/metrics")
            response = HttpResponse::text(statusOk, metrics(*core) + memory->prometheusText());
        else if (path == "/burn")
            response = HttpResponse::json(statusOk, core->burn().counts(SystemClock().wallTime()).encode());
        co_await exchange.respond(std::move(response));
    }

    static HttpResponse readiness(RouterCore& core)
    {
        if (core.isStopping())
            return HttpResponse::text(statusUnavailable, "stopping\n");
        if (core.document()->version.isNone())
            return HttpResponse::text(statusUnavailable, "no document is in force yet\n");
        if (!core.dispatcher().withTable([](DispatchTable& table) { return table.hasPlacement(); }))
            return HttpResponse::text(statusUnavailable, "no placement is known yet\n");
        return HttpResponse::text(statusOk, "ready\n");
    }

    static std::string metrics(RouterCore& core)
    {
        std::size_t waiting = core.dispatcher().withTable([](DispatchTable& table) { return table.queueDepth(); });
        return core.counters().text() + core.metrics().snapshot().prometheusText() + "# TYPE hemlock_router_waiting gauge\nhemlock_router_waiting " + std::to_string(waiting) + "\n"
            + "# TYPE hemlock_router_document_version gauge\nhemlock_router_document_version " + std::to_string(core.document()->version.value()) + "\n";
    }

    asio::awaitable<void> runTicks()
    {
        auto self = shared_from_this();
        while (!isStopped) {
            timer.expires_after(tickInterval);
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            core->dispatcher().tick();
        }
    }

    void finishStop(const std::function<void()>& done)
    {
        isStopped = true;
        done();
    }

    std::shared_ptr<RouterCore> core;
    std::shared_ptr<RequestBufferBudget> requestMemory;
    HttpServer callers;
    HttpServer operators;
    asio::steady_timer timer;
    std::atomic<bool> isStopped { false };
};

Router::Router(asio::io_context& context, Options options, RunRegistry& runs)
    : m_impl(std::make_shared<Impl>(context, options, runs))
{
    asio::co_spawn(
        m_impl->timer.get_executor(), [impl = m_impl] { return impl->runTicks(); }, asio::detached);
}

Router::~Router()
{
    m_impl->isStopped = true;
}

Result<asio::ip::tcp::endpoint, HttpServerErrorCode> Router::listenForCallers(const asio::ip::tcp::endpoint& endpoint)
{
    return m_impl->callers.listen(endpoint);
}

Result<asio::ip::tcp::endpoint, HttpServerErrorCode> Router::listenForOperators(const asio::ip::tcp::endpoint& endpoint)
{
    return m_impl->operators.listen(endpoint);
}

void Router::stop(std::function<void()> done)
{
    m_impl->callers.drain([impl = m_impl, done = std::move(done)] {
        impl->core->beginStopping();
        impl->core->whenIdle([impl, done] { impl->operators.drain([impl, done] { impl->finishStop(done); }); });
    });
}

//==============================================================================
void Router::setDocument(DocumentPointer document)
{
    logEvent(EventId::RouterDocumentInForce, { { "version", document->version } });
    m_impl->core->setDocument(std::move(document));
}

void Router::setPlacement(PlacementView view)
{
    m_impl->core->dispatcher().update([&](DispatchTable& table) { table.setPlacement(std::move(view), std::chrono::steady_clock::now()); });
}

void Router::setServers(const std::vector<BackendServer>& servers)
{
    m_impl->core->dispatcher().update([&](DispatchTable& table) { table.setServers(servers); });
}

DemandReport Router::demand(const HostName& self)
{
    return m_impl->core->dispatcher().withTable([&](DispatchTable& table) { return table.demand(self, std::chrono::steady_clock::now()); });
}

void Router::markReported(const DemandReport& report)
{
    m_impl->core->dispatcher().withTable([&](DispatchTable& table) { table.markReported(report); });
}

std::size_t Router::queueDepth()
{
    return m_impl->core->dispatcher().withTable([](DispatchTable& table) { return table.queueDepth(); });
}

void Router::onUnloadedModelRequest(std::function<void()> callback)
{
    m_impl->core->dispatcher().onUnloadedModelRequest(std::move(callback));
}

//==============================================================================
Router::Options Router::Options::withDispatch(DispatchTable::Options value) const
{
    Options copy = *this;
    copy.dispatch = std::move(value);
    return copy;
}

Router::Options Router::Options::withHttp(HttpServer::Options value) const
{
    Options copy = *this;
    copy.http = value;
    return copy;
}

Router::Options Router::Options::withRequestMemory(std::size_t value) const
{
    Options copy = *this;
    copy.requestMemory = value;
    return copy;
}

Router::Options Router::Options::withIdPrefix(std::string value) const
{
    Options copy = *this;
    copy.idPrefix = std::move(value);
    return copy;
}

Router::Options Router::Options::withDataCentre(DataCentreName value) const
{
    Options copy = *this;
    copy.dataCentre = std::move(value);
    return copy;
}

Router::Options Router::Options::withSeed(std::uint64_t value) const
{
    Options copy = *this;
    copy.seed = value;
    return copy;
}

} // namespace hemlockchute
