#include "RouterFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

namespace hemlockchute::testing {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr Duration slowAnswer = 600ms;

const tcp::endpoint anyPort(asio::ip::make_address("127.0.0.1"), 0);

DocumentPointer testDocument()
{
    auto document = parseDocument(R"(
[[team.a.ranks]]
name = "urgent"
order = 0
longest_wait = "5s"
between_tokens_target = "10ms"

[[team.a.ranks]]
name = "patient"
order = 1
longest_wait = "60s"
between_tokens_target = "10ms"

[[team.a.models]]
name = "m"
memory = "1GiB"

[[team.a.models]]
name = "cold"
memory = "1GiB"

[[team.a.services]]
name = "booking"
idempotent = false
timeout = "2s"

[[team.a.services]]
name = "stock"
idempotent = true
timeout = "2s"
)",
        DocumentVersion(1));
    return std::make_shared<Document>(document.value());
}

Router::Options routerOptions()
{
    return Router::Options().withIdPrefix("test").withDispatch(DispatchTable::Options().withMaximumWaiting(8)).withHttp(HttpServer::Options().withReadTimeout(300ms));
}

std::string event(const std::string& attempt, const std::string& rest)
{
    return "data: {\"attempt\":\"" + attempt + "\"," + rest + "}\n\n";
}

asio::awaitable<void> sleep(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

unsigned resumedTokens(const std::string& body)
{
    std::size_t at = body.find("\"resume_after\":[");
    if (at == std::string::npos)
        return 0;
    std::string list = body.substr(at, body.find(']', at) - at);
    return static_cast<unsigned>(std::count(list.begin(), list.end(), ',')) + 1;
}

} // namespace

//==============================================================================
FakeBackendServer::FakeBackendServer(asio::io_context& context, std::string name)
    : m_name(std::move(name))
    , m_server(context, HttpServer::Options(), [this](HttpExchange& exchange) { return answer(exchange); })
    , m_endpoint(m_server.listen(anyPort).value())
{
}

BackendServer FakeBackendServer::server(ServiceName service) const
{
    BackendServer server;
    server.name = BackendServerName(m_name);
    server.kind = service.isEmpty() ? BackendServer::Kind::Engine : BackendServer::Kind::Service;
    server.service = service;
    server.endpoint = m_endpoint;
    return server;
}

PlacedEngine FakeBackendServer::placed(const ModelName& model, unsigned slots) const
{
    PlacedEngine engine;
    engine.name = BackendServerName(m_name);
    engine.endpoint = m_endpoint;
    engine.protocol = "hemlock-http-1";
    engine.slots = slots;
    engine.models[model] = {};
    return engine;
}

void FakeBackendServer::queueBehaviour(FakeServerBehaviour behaviour)
{
    std::lock_guard guard(m_lock);
    m_queuedBehaviours.push_back(std::move(behaviour));
}

void FakeBackendServer::setDefaultBehaviour(FakeServerBehaviour behaviour)
{
    std::lock_guard guard(m_lock);
    m_defaultBehaviour = std::move(behaviour);
}

void FakeBackendServer::setHeld(bool held)
{
    m_isHeld = held;
}

std::vector<HttpRequest> FakeBackendServer::requests() const
{
    std::lock_guard guard(m_lock);
    return m_requests;
}

FakeServerBehaviour FakeBackendServer::nextBehaviour()
{
    std::lock_guard guard(m_lock);
    if (m_queuedBehaviours.empty())
        return m_defaultBehaviour;
    FakeServerBehaviour behaviour = m_queuedBehaviours.front();
    m_queuedBehaviours.erase(m_queuedBehaviours.begin());
    return behaviour;
}

asio::awaitable<void> FakeBackendServer::answer(HttpExchange& exchange)
{
    std::string path = exchange.request().path();
    if (path == "/v1/state" || path == "/v1/cancel") {
        co_await exchange.respond(HttpResponse::json(200, R"({"engine":"e","incarnation":"a","memory_bytes":1,"memory_used_bytes":1,"slots":8})"));
        co_return;
    }
    FakeServerBehaviour behaviour = nextBehaviour();
    {
        std::lock_guard guard(m_lock);
        m_requests.push_back(exchange.request());
    }
    ++m_running;
    co_await stream(exchange, behaviour);
    --m_running;
}

asio::awaitable<void> FakeBackendServer::stream(HttpExchange& exchange, FakeServerBehaviour behaviour)
{
    std::string attempt = exchange.request().headers.find("X-Attempt-Id").value_or("");
    if (!behaviour.attemptIdOverride.empty())
        attempt = behaviour.attemptIdOverride;
    if (behaviour.status != 200) {
        co_await exchange.respond(HttpResponse::text(behaviour.status, "refused"));
        co_return;
    }
    HttpHeaders headers;
    headers.set("X-Attempt-Id", attempt);
    bool isService = exchange.request().path() != "/v1/infer";
    if (isService && behaviour.stallAfter)
        co_return co_await stall(exchange);
    if (isService && behaviour.pauseAfter)
        co_await sleep(behaviour.pause);
    co_await waitWhileHeld(exchange);
    if (isService && behaviour.disconnectAfter) {
        co_await exchange.startStream(200, headers);
        co_return;
    }
    if (isService) {
        HttpResponse response = HttpResponse::text(200, "done: " + exchange.request().body);
        response.headers.set("X-Attempt-Id", attempt);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    co_await exchange.startStream(200, headers);
    for (unsigned i = resumedTokens(exchange.request().body); i < behaviour.tokens; ++i) {
        if (behaviour.disconnectAfter == i)
            co_return;
        if (behaviour.stallAfter == i)
            co_return co_await stall(exchange);
        if (behaviour.pauseAfter == i)
            co_await sleep(behaviour.pause);
        std::string index = std::to_string(i);
        std::string rest = "\"index\":";
        rest.append(index).append(",\"token\":\"t").append(index).append(" \"");
        bool written = co_await exchange.write(event(attempt, rest));
        if (!written)
            co_return;
    }
    co_await exchange.write(event(attempt, "\"done\":true,\"tokens\":" + std::to_string(behaviour.tokens)));
    co_await exchange.finish();
}

asio::awaitable<void> FakeBackendServer::stall(HttpExchange& exchange)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!exchange.isCallerDisconnected()) {
        timer.expires_after(5ms);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> FakeBackendServer::waitWhileHeld(HttpExchange& exchange)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    bool waits = m_isHeld;
    while (waits) {
        timer.expires_after(5ms);
        co_await timer.async_wait(asio::use_awaitable);
        waits = m_isHeld && !exchange.isCallerDisconnected();
    }
}

//==============================================================================
asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> FakeRunRegistry::propose(CommandBody command, Duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, mode() == Mode::Slow ? slowAnswer : Duration::zero());
    co_await timer.async_wait(asio::use_awaitable);
    std::lock_guard guard(m_lock);
    if (m_mode == Mode::Unavailable)
        co_return failure(KeeperClientErrorCode::NotAccepted, "cut off");
    if (m_mode == Mode::Delayed) {
        m_delayedCommands.push_back(command);
        co_return failure(KeeperClientErrorCode::Unknown, "late");
    }
    RunAnswer answer = apply(command);
    if (m_mode == Mode::AnswersLost)
        co_return failure(KeeperClientErrorCode::Unknown, "answer lost");
    co_return answer;
}

asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> FakeRunRegistry::readRun(IdempotencyKey key, Duration)
{
    std::lock_guard guard(m_lock);
    if (m_mode != Mode::Available)
        co_return failure(KeeperClientErrorCode::NotAccepted, "cut off");
    co_return m_state.run(key);
}

FakeRunRegistry::Mode FakeRunRegistry::mode() const
{
    std::lock_guard guard(m_lock);
    return m_mode;
}

void FakeRunRegistry::setMode(Mode mode)
{
    std::lock_guard guard(m_lock);
    m_mode = mode;
    for (const CommandBody& command : m_delayedCommands)
        apply(command);
    m_delayedCommands.clear();
}

RunAnswer FakeRunRegistry::run(const std::string& key) const
{
    std::lock_guard guard(m_lock);
    return m_state.run(IdempotencyKey(key));
}

RunAnswer FakeRunRegistry::apply(const CommandBody& command)
{
    return std::get<RunAnswer>(m_state.apply(m_state.lastApplied().next(), { SystemClock().wallTime(), command }));
}

//==============================================================================
RouterFixture::RouterFixture()
    : first(context, "first")
    , second(context, "second")
    , router(context, routerOptions(), runs)
    , client(HttpClient::Options())
    , work(asio::make_work_guard(context))
{
    configureLog(LogOptions().withLevel(Severity::Error));
    callers = router.listenForCallers(anyPort).value();
    operators = router.listenForOperators(anyPort).value();
    router.setDocument(testDocument());
    setEngines({ first.placed(ModelName("m")), second.placed(ModelName("m")) });
    for (int i = 0; i < 2; ++i)
        threads.emplace_back([this] { context.run(); });
}

RouterFixture::~RouterFixture()
{
    context.stop();
    for (std::thread& thread : threads)
        thread.join();
}

Result<HttpResponse, HttpClientErrorCode> RouterFixture::send(HttpRequest request, Duration timeout)
{
    return asio::co_spawn(asio::make_strand(context), client.send(callers, std::move(request), std::chrono::steady_clock::now() + timeout), asio::use_future).get();
}

HttpResponse RouterFixture::sendModelRequest(const std::string& body, HttpHeaders headers)
{
    return send({ "POST", "/v1/chat/completions", std::move(headers), body }).value();
}

HttpResponse RouterFixture::callBookingService(const std::string& key, const std::string& body, HttpHeaders headers)
{
    if (!key.empty())
        headers.set("Idempotency-Key", key);
    return send({ "POST", "/services/booking/orders", std::move(headers), body }).value();
}

std::string RouterFixture::exchangeRaw(const std::string& bytes, bool closeAfterwards)
{
    asio::io_context own;
    tcp::socket socket(own);
    socket.connect(callers);
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    if (closeAfterwards)
        socket.shutdown(tcp::socket::shutdown_send, error);
    std::string all;
    asio::read(socket, asio::dynamic_buffer(all), error);
    return all;
}

void RouterFixture::setEngines(std::vector<PlacedEngine> engines)
{
    PlacementView view;
    view.isLeader = true;
    view.engines = std::move(engines);
    router.setPlacement(std::move(view));
}

} // namespace hemlockchute::testing
