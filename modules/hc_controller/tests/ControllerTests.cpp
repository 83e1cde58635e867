#include "FakeEngine.h"
#include "controller/Controller.h"
#include "hemlockchute/state/CommandCodec.h"
#include "hemlockchute/state/StateMachine.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <mutex>
#include <thread>

using namespace hemlockchute;
namespace asio = boost::asio;

namespace {

const Endpoint anyPort(asio::ip::make_address("127.0.0.1"), 0);
const DataCentreName tallinn("tallinn");

Instant now()
{
    return std::chrono::steady_clock::now();
}

std::mutex engineLock;
std::map<BackendServerName, std::unique_ptr<FakeEngine>> engines;

/** Speaks to the engines above, without a network. */
class FakeProtocol : public BackendProtocol {
public:
    asio::awaitable<Result<EngineState, BackendErrorCode>> readState(BackendServer server, Instant) override
    {
        std::lock_guard guard(engineLock);
        co_return engines.at(server.name)->state(now());
    }

    asio::awaitable<Result<void, BackendErrorCode>> sendOrder(BackendServer server, EngineOrder order, Instant) override
    {
        std::lock_guard guard(engineLock);
        auto answer = engines.at(server.name)->take(order, now(), Duration::zero(), 20ms);
        if (answer != FakeEngine::Answer::TakenIn)
            co_return failure(BackendErrorCode::Refused, "refused");
        co_return Result<void, BackendErrorCode> {};
    }

    asio::awaitable<Result<std::unique_ptr<TokenStream>, BackendErrorCode>> infer(BackendServer, InferRequest, Instant) override
    {
        co_return failure(BackendErrorCode::Refused, "not asked for");
    }

    asio::awaitable<Result<HttpResponse, BackendErrorCode>> callService(BackendServer, ServiceRequest, Instant) override
    {
        co_return failure(BackendErrorCode::Refused, "not asked for");
    }

    void closeIdleConnections(const BackendServer&) override { }
};

const ScopedPluginRegistration<BackendProtocol, FakeProtocol> registration("fake");

/** One keeper that agrees with itself. */
class LoneKeeper {
public:
    explicit LoneKeeper(asio::io_context& context)
        : m_state(StateMachine::Options())
        , m_server(context, { "test", "0123456789abcdef", HostName("keeper"), "keeper" })
        , m_documents(context)
    {
        m_server.handle(PeerMethod::Propose, [this](PeerCall call) { propose(call); });
        m_server.handle(PeerMethod::FollowDocument, [this](PeerCall call) { m_documents.serve(std::move(call)); });
        endpoint = *m_server.listen(anyPort);
    }

    void submit(const std::string& text)
    {
        std::lock_guard guard(m_lock);
        SubmitDocument submit { SubmitId("s"), { TeamName(), true }, DocumentVersion(), text };
        Answer answer = apply(submit);
        BOOST_REQUIRE(std::get<SubmitAnswer>(answer).verdict == SubmitAnswer::Verdict::Accepted);
        m_documents.offer(m_state.document());
    }

    unsigned permits(const ModelName& model)
    {
        std::lock_guard guard(m_lock);
        return m_state.permits(tallinn)[model];
    }

    Endpoint endpoint;

private:
    void propose(const PeerCall& call)
    {
        std::lock_guard guard(m_lock);
        Answer answer = apply(decodeCommand(call.payload).value().body);
        call.reply(encodeKeeperReply({ KeeperReply::Kind::Answered, KeeperId(1), encodeAnswer(answer) }));
    }

    Answer apply(const CommandBody& body)
    {
        Command command;
        command.time = SystemClock().wallTime();
        command.body = body;
        return m_state.apply(m_state.lastApplied().next(), command);
    }

    std::mutex m_lock;
    StateMachine m_state;
    PeerServer m_server;
    DocumentSource m_documents;
};

asio::awaitable<void> listHosts(HttpExchange& exchange)
{
    co_await exchange.respond(HttpResponse::json(200, R"({"hosts":[
        {"name":"e1","data_centre":"tallinn","kind":"engine","address":"127.0.0.1:1","protocol":"fake","state":"live"},
        {"name":"far","data_centre":"tartu","kind":"engine","address":"127.0.0.1:1","protocol":"fake","state":"live"}]})"));
}

Endpoint freeEndpoint()
{
    asio::io_context context;
    return asio::ip::tcp::acceptor(context, anyPort).local_endpoint();
}

/** A controller with a keeper and a platform around it. */
struct Running {
    Running()
        : work(asio::make_work_guard(context))
        , keeper(context)
        , platform(context, HttpServer::Options(), listHosts)
        , router(context, { "test", "0123456789abcdef", HostName("a"), "router" }, PeerClient::Options())
    {
        Endpoint platformEndpoint = *platform.listen(anyPort);
        Endpoint controllerEndpoint = freeEndpoint();
        settings.host.name = HostName("a");
        settings.host.dataCentre = tallinn;
        settings.host.clusterName = "test";
        settings.host.clusterKey = "0123456789abcdef";
        settings.host.entryHosts = { { HostName("a"), tallinn, anyPort, controllerEndpoint } };
        settings.host.keepers = { { KeeperId(1), HostName("keeper"), tallinn, keeper.endpoint } };
        settings.peers = controllerEndpoint;
        settings.operators = anyPort;
        settings.platform = platformEndpoint;
        settings.platformInterval = 100ms;
        settings.strategy = "worth-per-load-time";
        for (std::thread& thread : threads)
            thread = std::thread([this] { context.run(); });
    }

    ~Running()
    {
        work.reset();
        context.stop();
        for (std::thread& thread : threads)
            thread.join();
    }

    PlacementView report(const DemandReport& demand)
    {
        std::promise<PlacementView> view;
        router.call(settings.peers, PeerMethod::ReportDemand, encodeDemandReport(demand), 5s, [&](const Result<ByteString, PeerErrorCode>& bytes) {
            view.set_value(bytes ? decodePlacementView(*bytes).value() : PlacementView());
        });
        return view.get_future().get();
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    LoneKeeper keeper;
    HttpServer platform;
    PeerClient router;
    ControllerSettings settings;
    std::thread threads[2];
};

const char* const document = R"(
[team.counter]
[[team.counter.ranks]]
name = "counter"
order = 0
[[team.counter.models]]
name = "fit"
replicas = 1
memory = "1GiB"
[[team.counter.adapters]]
name = "bakers"
model = "fit"
memory = "1MiB"
)";

DemandReport demandFor(const char* model, const char* adapter)
{
    ModelDemand demand;
    demand.waiting = 1;
    demand.arrivals = 1;
    demand.adapters[AdapterName(adapter)] = 1;
    return { HostName("a"), { { ModelName(model), demand } } };
}

bool isServed(const PlacementView& view)
{
    for (const PlacedEngine& engine : view.engines) {
        auto found = engine.models.find(ModelName("fit"));
        if (found != engine.models.end() && !found->second.empty())
            return true;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControllerTests)

BOOST_AUTO_TEST_CASE(AColdModelAndItsAdapterAreLoadedOnDemand)
{
    engines[BackendServerName("e1")] = std::make_unique<FakeEngine>(BackendServerName("e1"), ByteCount::gibibytes(2), false);
    Running running;
    running.keeper.submit(document);
    auto controller = std::make_shared<Controller>(running.context, running.settings, "life");
    BOOST_REQUIRE(controller->start());
    BOOST_TEST(!running.report(demandFor("fit", "bakers")).isLeader);
    PlacementView view;
    while (!isServed(view)) {
        view = running.report(demandFor("fit", "bakers"));
        std::this_thread::sleep_for(20ms);
    }
    BOOST_TEST(view.isLeader);
    BOOST_TEST(view.leader == HostName("a"));
    BOOST_TEST(view.engines.size() == 1U);
    BOOST_TEST(running.keeper.permits(ModelName("fit")) == 1U);
    std::promise<void> stopped;
    controller->stop([&] { stopped.set_value(); });
    stopped.get_future().get();
}

BOOST_AUTO_TEST_SUITE_END()
