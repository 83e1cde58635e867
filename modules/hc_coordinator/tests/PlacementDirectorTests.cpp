#include "FaultyEngines.h"
#include "PropertyCheck.h"
#include "coordinator/PlacementDirector.h"

#include <numeric>

using namespace hemlockchute;
using namespace hemlockchute::testing;

namespace {

namespace asio = boost::asio;

const ServiceName service("llm");
constexpr Duration tickInterval = 4ms;
constexpr Duration withdrawalDelay = 24ms;
constexpr Duration orderTimeout = 60ms;
constexpr unsigned storeLoadsAtOnce = 2;
const std::vector<std::string> modelNames { "a", "b", "c", "d", "e", "f" };

RouteConfigurationPointer configuration(Duration loadTime, const std::vector<std::string>& models = modelNames)
{
    RoutedService llm;
    llm.name = service;
    llm.engine.emplace();
    llm.engine->slots = 4;
    llm.engine->weightsCapacity = ByteCount::gibibytes(FaultyEngine::maximumModels);
    llm.engine->storeLoadsPerSecond = 100;
    for (const std::string& name : models) {
        EngineModel model;
        model.weights = ByteCount::gibibytes(1);
        model.loadFromStore = loadTime;
        model.loadFromDisk = loadTime;
        model.loadFromMemory = loadTime;
        llm.engine->models.emplace(ModelName(name), model);
    }
    return configurationWith(llm);
}

PlacementDirector::Options directorOptions(unsigned number)
{
    PlacementDirector::Options options;
    options.issuer = HostName("leader-" + std::to_string(number));
    options.placer.storeLoadsAtOnce = storeLoadsAtOnce;
    options.placer.minimumResidence = 20ms;
    options.placer.unreachableAfter = 50ms;
    options.placer.evictionCost = 5ms;
    options.orderTimeout = orderTimeout;
    options.withdrawalDelay = withdrawalDelay;
    options.completionPollInterval = 5ms;
    options.maximumOrderTime = 300ms;
    options.reportRetryDelay = 20ms;
    return options;
}

//==============================================================================
/** Two directors, of which one has authority at a time, in front of engines over faulty links; records every violation of an invariant. */
class PlacementSimulation {
public:
    explicit PlacementSimulation(unsigned seed, OrderFaults faults = {}, unsigned engines = 3, Duration loadTime = 15ms)
        : m_random(seed)
        , m_faults(faults)
        , m_loadTime(loadTime)
    {
        for (unsigned i = 0; i < engines; ++i)
            m_engines.push_back(std::make_unique<FaultyEngine>(m_context, "s" + std::to_string(++m_lastId), m_random, m_faults, loadTime));
        for (unsigned i = 0; i < 2; ++i)
            m_leaders.push_back(std::make_unique<Leader>(*this, i));
        makeLeader(0);
    }

    /** Runs for the duration, with ticks of the current leader. */
    void run(Duration duration)
    {
        for (Instant end = currentTime() + duration; currentTime() < end;) {
            tick();
            m_context.run_for(tickInterval);
        }
    }

    void makeLeader(unsigned leader)
    {
        m_leading = leader;
        ++m_fence;
        m_shown.clear();
        m_leaders[leader]->director.beginEpoch(m_fence);
    }

    void replaceAnEngine()
    {
        FaultyEngine& engine = *m_engines[randomBelow(m_engines.size())];
        std::set<std::string> models;
        for (unsigned i = 0; i < randomBelow(FaultyEngine::maximumModels + 1); ++i)
            models.insert(modelNames[randomBelow(modelNames.size())]);
        engine.replace("s" + std::to_string(++m_lastId), models);
    }

    void want(std::vector<std::string> models) { m_wanted = std::move(models); }
    void changeWantedModels()
    {
        m_wanted.clear();
        for (unsigned i = 0; i < 4; ++i)
            m_wanted.push_back(modelNames[randomBelow(modelNames.size())]);
    }

    /** Randomly changes the leader, an engine or the wanted models. */
    void injectRandomChange()
    {
        switch (randomBelow(4)) {
        case 0:
            makeLeader(1 - m_leading);
            break;
        case 1:
            replaceAnEngine();
            break;
        default:
            changeWantedModels();
        }
    }

    void endFaults() { m_faults = {}; }
    /** The leader loses its authority once it has built its next order, before the order is sent. */
    void loseAuthorityWithNextOrder() { m_losesAuthority = true; }
    bool hasAuthority() const { return m_hasAuthority; }

    bool holdsAllWanted() const
    {
        return std::all_of(m_wanted.begin(), m_wanted.end(), [this](const std::string& model) {
            return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& engine) { return engine->models().contains(model); });
        });
    }

    bool eventuallyHoldsAllWanted(Duration within)
    {
        for (Instant end = currentTime() + within; currentTime() < end && !holdsAllWanted();)
            run(tickInterval);
        return holdsAllWanted();
    }

    unsigned loadsInProgress() const
    {
        return static_cast<unsigned>(std::count_if(m_engines.begin(), m_engines.end(), [](const auto& engine) { return engine->isLoading(); }));
    }

    unsigned ordersAccepted() const
    {
        unsigned all = 0;
        for (const auto& engine : m_engines)
            all += engine->ordersAccepted();
        return all;
    }

    std::string describe() const
    {
        std::string text = "leader " + std::to_string(m_leading) + " wants";
        for (const std::string& model : m_wanted)
            text += " " + model;
        for (const auto& engine : m_engines) {
            text += "; " + engine->listed().id.text() + " holds";
            for (const std::string& model : engine->models())
                text += " " + model;
        }
        return text;
    }

    /** The invariants that were violated; empty if none. */
    std::string violations() const
    {
        std::string text = m_violations;
        for (const auto& engine : m_engines) {
            if (engine->wasOverloaded())
                text += "a load was accepted for which there was no room; ";
        }
        return text;
    }

private:
    struct Leader {
        Leader(PlacementSimulation& simulation, unsigned number)
            : client(HttpClient::Options())
            , director(simulation.m_context, platform, client, metrics, directorOptions(number), [&simulation, number] { return simulation.m_hasAuthority && simulation.m_leading == number ? std::optional(FencingNumber(simulation.m_fence)) : std::nullopt; })
        {
            platform.onOrder = [&simulation, number](const PlacementOrder& order) { simulation.checkOrder(number, order); };
            director.setConfiguration(configuration(simulation.m_loadTime));
        }

        PlainPlatform platform;
        HttpClient client;
        Metrics metrics;
        PlacementDirector director;
    };

    std::size_t randomBelow(std::size_t bound) { return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random); }

    void tick()
    {
        Instant now = currentTime();
        PlacementDirector& director = m_leaders[m_leading]->director;
        std::vector<ListedServer> listing;
        for (const auto& engine : m_engines)
            listing.push_back(engine->listed());
        director.updateListing(listing, now);
        director.recordDemand(demand(), now);
        director.tick(now);
        FollowReply reply;
        director.fill(reply, {}, now);
        for (const FleetEntry& entry : reply.servers) {
            for (const auto& [model, adapters] : entry.server.models)
                m_shown[{ entry.server.id, model }] = now;
        }
    }

    /** Two requests wait for each wanted model, and about ten a second arrive. */
    FollowRequest demand()
    {
        constexpr unsigned ticksPerArrival = 25;
        unsigned arrivals = ++m_ticks % ticksPerArrival == 0 ? 1 : 0;
        FollowRequest request;
        request.host = HostName("gateway");
        std::erase_if(m_wantedSince, [&](const auto& item) { return std::find(m_wanted.begin(), m_wanted.end(), item.first) == m_wanted.end(); });
        for (const std::string& model : m_wanted)
            m_wantedSince.try_emplace(model, currentTime());
        for (const std::string& model : m_wanted)
            request.demands.push_back({ { service, ModelName(model), AdapterName() }, 2, 0, arrivals, 0, 1 });
        return request;
    }

    void checkOrder(unsigned issuer, const PlacementOrder& order)
    {
        if (issuer != m_leading || order.fence != FencingNumber(m_fence))
            m_violations += "an order without authority; ";
        m_hasAuthority = !m_losesAuthority;
        if (order.operation != PlacementOrder::Operation::Unload)
            return;
        Instant now = currentTime();
        FollowReply reply;
        m_leaders[issuer]->director.fill(reply, {}, now);
        for (const FleetEntry& entry : reply.servers) {
            if (entry.server.id == order.server && entry.server.models.contains(order.model))
                m_violations += "an unload of a model that is still shown to gateways; ";
        }
        // The gateways' last view is up to one tick old. A model without demand may be unloaded at once.
        auto shown = m_shown.find({ order.server, order.model });
        auto wanted = m_wantedSince.find(order.model.text());
        bool isWanted = wanted != m_wantedSince.end() && now - wanted->second > withdrawalDelay;
        if (isWanted && shown != m_shown.end() && now - shown->second < withdrawalDelay - tickInterval)
            m_violations += "an unload of a model that gateways could still use; ";
    }

    std::mt19937 m_random;
    OrderFaults m_faults;
    Duration m_loadTime;
    asio::io_context m_context;
    unsigned m_lastId = 0;
    std::vector<std::unique_ptr<FaultyEngine>> m_engines;
    unsigned m_leading = 0;
    bool m_hasAuthority = true;
    bool m_losesAuthority = false;
    std::uint64_t m_fence = 0;
    unsigned m_ticks = 0;
    std::vector<std::string> m_wanted { "a", "b" };
    /** Since when each of them has been wanted without interruption. */
    std::map<std::string, Instant> m_wantedSince;
    std::map<std::pair<BackendServerName, ModelName>, Instant> m_shown;
    std::string m_violations;
    std::vector<std::unique_ptr<Leader>> m_leaders;
};

//==============================================================================
/** One director with authority and enough store capacity, in front of three servers without faults. */
class SteadyPlacement {
public:
    explicit SteadyPlacement(Duration declaredLoadTime, Duration loadTime)
        : m_client(HttpClient::Options())
        , m_director(m_context, m_platform, m_client, m_metrics, options(), [] { return FencingNumber(1); })
    {
        for (unsigned i = 0; i < 3; ++i)
            m_servers.push_back(std::make_unique<FaultyEngine>(m_context, "s" + std::to_string(i), m_random, m_faults, loadTime));
        m_director.setConfiguration(configuration(declaredLoadTime, { "a", "b" }));
        m_director.beginEpoch(1);
    }

    FaultyEngine& server(unsigned number) { return *m_servers[number]; }

    /** Sets the number of requests for a model; they wait until a server holds it, then they run, and more arrive. */
    void setRequests(const std::string& model, unsigned requests) { m_requests[model] = requests; }

    /** Runs for the duration, or until the condition holds. */
    void run(
        Duration duration, const std::function<bool()>& isDone = [] { return false; })
    {
        for (Instant end = currentTime() + duration; currentTime() < end && !isDone();) {
            tick();
            m_context.run_for(tickInterval);
        }
    }

    /** Leaves a server out of the list, or lists it again. */
    void setListed(unsigned number, bool isListed)
    {
        if (isListed)
            m_unlisted.erase(number);
        else
            m_unlisted.insert(number);
    }
    /** From now on, servers end and start again, empty, when they load this model. */
    void crashUnder(const std::string& model) { m_crashingModel = model; }
    unsigned loadsOf(const std::string& model) const
    {
        return std::accumulate(m_servers.begin(), m_servers.end(), 0U, [&](unsigned all, const auto& server) { return all + server->loads(model); });
    }
    /** The time until a model that requests wait for is expected, as gateways are told. */
    std::optional<Duration> expectedIn(const std::string& model)
    {
        FollowRequest request;
        request.demands.push_back({ { service, ModelName(model), AdapterName() }, 1, 0, 0, 0, 1 });
        FollowReply reply;
        m_director.fill(reply, request, currentTime());
        return reply.expectations.empty() ? std::nullopt : std::optional(reply.expectations.front().remaining);
    }

    /** Has a gateway report that a server refuses connections. */
    void reportRefused(unsigned number) { m_refused = { lifeOf(server(number).listed()) }; }
    /** Runs until the list has been read that often. */
    void runUntilListsAreRead(unsigned count)
    {
        unsigned last = m_listsRead + count;
        run(1s, [&] { return m_listsRead >= last; });
    }

    /** Whether gateways see the model at the server. */
    bool isShown(unsigned number, const std::string& model)
    {
        FollowReply reply;
        m_director.fill(reply, {}, currentTime());
        return std::any_of(reply.servers.begin(), reply.servers.end(), [&](const FleetEntry& entry) { return entry.server.id == server(number).listed().id && entry.server.models.contains(ModelName(model)); });
    }

private:
    static PlacementDirector::Options options()
    {
        PlacementDirector::Options options = directorOptions(0);
        options.placer.storeLoadsAtOnce = 8;
        options.placer.idleLoadValue = 0;
        return options;
    }

    void tick()
    {
        Instant now = currentTime();
        for (const auto& server : m_servers) {
            if (server->isLoading(m_crashingModel))
                server->replace(server->listed().id.text(), {});
        }
        if (m_ticks++ % ticksPerList == 0)
            readList(now);
        FollowRequest request;
        request.host = HostName("gateway");
        request.ended = std::exchange(m_refused, {});
        for (const auto& [model, requests] : m_requests) {
            bool isHeld = std::any_of(m_servers.begin(), m_servers.end(), [&model = model](const auto& server) { return server->models().contains(model); });
            request.demands.push_back({ { service, ModelName(model), AdapterName() }, isHeld ? 0 : requests, isHeld ? requests : 0, 1, 0, 1 });
        }
        m_director.recordDemand(request, now);
        m_director.tick(now);
    }

    void readList(Instant now)
    {
        std::vector<ListedServer> listing;
        for (unsigned i = 0; i < m_servers.size(); ++i) {
            if (!m_unlisted.contains(i))
                listing.push_back(m_servers[i]->listed());
        }
        m_director.updateListing(listing, now);
        ++m_listsRead;
    }

    static constexpr unsigned ticksPerList = 5;

    std::mt19937 m_random { 1 };
    OrderFaults m_faults;
    asio::io_context m_context;
    std::vector<std::unique_ptr<FaultyEngine>> m_servers;
    std::set<unsigned> m_unlisted;
    std::vector<ServerIncarnation> m_refused;
    std::string m_crashingModel;
    unsigned m_ticks = 0;
    unsigned m_listsRead = 0;
    PlainPlatform m_platform;
    HttpClient m_client;
    Metrics m_metrics;
    PlacementDirector m_director;
    std::map<std::string, unsigned> m_requests;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementDirectorTests)

BOOST_AUTO_TEST_CASE(wantedModelsAreLoadedAndOthersAreEvicted)
{
    PlacementSimulation simulation(1);
    simulation.want({ "a", "b", "c", "d", "e", "f" });
    BOOST_TEST(simulation.eventuallyHoldsAllWanted(5s));
    simulation.replaceAnEngine();
    BOOST_TEST(simulation.eventuallyHoldsAllWanted(5s));
    BOOST_TEST(simulation.violations() == "");
}

BOOST_AUTO_TEST_CASE(aModelWhoseLoadsCrashServersIsLoadedAgainAndAgain)
{
    SteadyPlacement placement(40ms, 40ms);
    placement.crashUnder("a");
    placement.setRequests("a", 3);
    placement.run(1s);
    BOOST_TEST(placement.loadsOf("a") >= 2U);
    BOOST_TEST(placement.loadsOf("a") <= 4U);
    // Callers are told, and the other models are loaded.
    BOOST_TEST((placement.expectedIn("a") && *placement.expectedIn("a") > 2s));
    placement.setRequests("b", 3);
    placement.run(1s, [&] { return placement.isShown(0, "b") || placement.isShown(1, "b") || placement.isShown(2, "b"); });
    BOOST_TEST(placement.loadsOf("b") >= 1U);
    BOOST_TEST(placement.loadsOf("a") <= 4U);
}

/** Three changes of leader while models are missing: a new leader does not know the loads that its predecessors started. */
BOOST_AUTO_TEST_CASE(aNewLeaderDoesNotExceedTheStoreLimit)
{
    PlacementSimulation simulation(1, {}, 6, 600ms);
    simulation.want({ "a", "b", "c", "d", "e", "f" });
    unsigned most = 0;
    for (unsigned leader : { 1U, 0U, 1U }) {
        for (int i = 0; i < 20; ++i) {
            simulation.run(8ms);
            most = std::max(most, simulation.loadsInProgress());
        }
        simulation.makeLeader(leader);
    }
    BOOST_TEST(most == storeLoadsAtOnce);
    BOOST_TEST(simulation.violations() == "");
}

/** Connecting takes time: an order must not be sent if authority is lost meanwhile. */
BOOST_AUTO_TEST_CASE(noOrderIsSentAfterAuthorityIsLost)
{
    PlacementSimulation simulation(1);
    simulation.want({ "a", "b" });
    simulation.loseAuthorityWithNextOrder();
    simulation.run(200ms);
    BOOST_TEST(!simulation.hasAuthority());
    BOOST_TEST(simulation.ordersAccepted() == 0U);
}

BOOST_AUTO_TEST_CASE(lateAndLostOrdersNeverOverloadAnEngine)
{
    checkProperty("late and lost orders", 25, [](unsigned seed) {
        std::mt19937 random(seed);
        auto upTo = [&](unsigned most) { return std::uniform_int_distribution<unsigned>(0, most)(random); };
        OrderFaults faults;
        faults.lostOrder = upTo(200);
        faults.lostAnswer = upTo(200);
        faults.late = upTo(500);
        faults.refused = upTo(100);
        PlacementSimulation simulation(seed, faults);
        for (int i = 0; i < 10; ++i) {
            simulation.run(std::chrono::milliseconds(20 + upTo(80)));
            simulation.injectRandomChange();
        }
        simulation.endFaults();
        bool isHeld = simulation.eventuallyHoldsAllWanted(5s);
        RC_LOG() << "seed " << seed << ", orders accepted " << simulation.ordersAccepted() << "; " << simulation.describe() << ": " << simulation.violations() << '\n';
        RC_ASSERT(simulation.violations().empty());
        RC_ASSERT(isHeld);
    });
}

//==============================================================================
// Silent servers

/** The server is silent for longer than the time-out of an order, and then goes on. */
BOOST_AUTO_TEST_CASE(theModelsOfAServerThatDoesNotAnswerAnOrderAreNotLoadedElsewhere)
{
    SteadyPlacement placement(15ms, 15ms);
    placement.server(0).replace("s0", { "a" });
    placement.server(1).replace("s1", { "a" });
    // As many requests as two servers take.
    placement.setRequests("a", 4);
    placement.run(100ms);
    BOOST_TEST(placement.isShown(0, "a"));
    placement.server(0).silence(orderTimeout + 40ms);
    placement.setRequests("b", 2);
    bool isAlwaysShown = true;
    placement.run(300ms, [&] {
        isAlwaysShown = isAlwaysShown && placement.isShown(0, "a");
        return false;
    });
    BOOST_TEST(isAlwaysShown);
    BOOST_TEST(placement.server(2).loads("a") == 0U);
    BOOST_TEST(placement.server(0).loads("b") == 1U);
}

/** The server accepts a load that takes longer than declared, and is silent when asked whether it is complete. */
BOOST_AUTO_TEST_CASE(aLoadAtASilentServerIsNotStartedElsewhere)
{
    SteadyPlacement placement(40ms, 250ms);
    placement.setRequests("b", 2);
    placement.run(1s, [&] { return placement.server(0).isLoading(); });
    placement.server(0).silence(orderTimeout + 80ms);
    placement.run(1s, [&] { return placement.server(0).models().contains("b"); });
    BOOST_TEST(placement.server(0).loads("b") == 1U);
    BOOST_TEST(placement.server(1).loads("b") + placement.server(2).loads("b") == 0U);
}

/** An entry may be unreadable for a moment, or move to a page that was read before. */
BOOST_AUTO_TEST_CASE(theModelsOfAServerThatOneListLeavesOutAreNotLoadedElsewhere)
{
    SteadyPlacement placement(15ms, 15ms);
    placement.server(0).replace("s0", { "a" });
    placement.server(1).replace("s1", { "a" });
    placement.setRequests("a", 4);
    placement.run(100ms);
    placement.setListed(0, false);
    placement.runUntilListsAreRead(1);
    BOOST_TEST(!placement.isShown(0, "a"));
    placement.setListed(0, true);
    placement.runUntilListsAreRead(1);
    BOOST_TEST(placement.isShown(0, "a"));
    placement.run(100ms);
    BOOST_TEST(placement.server(2).loads("a") == 0U);
}

BOOST_AUTO_TEST_CASE(theModelsOfAServerThatTwoListsLeaveOutAreLoadedElsewhere)
{
    SteadyPlacement placement(15ms, 15ms);
    placement.server(0).replace("s0", { "a" });
    placement.server(1).replace("s1", { "a" });
    placement.setRequests("a", 4);
    placement.run(100ms);
    placement.setListed(0, false);
    placement.runUntilListsAreRead(2);
    placement.run(100ms);
    BOOST_TEST(placement.server(2).loads("a") == 1U);
}

//==============================================================================
// Servers that refuse connections

/** The list still names the server, which answers nobody. */
BOOST_AUTO_TEST_CASE(theModelsOfAServerThatHasEndedAreLoadedElsewhereBeforeTheListDropsIt)
{
    SteadyPlacement placement(15ms, 15ms);
    placement.server(0).replace("s0", { "a" });
    placement.server(1).replace("s1", { "a" });
    placement.setRequests("a", 4);
    placement.run(100ms);
    placement.server(0).silence(10s);
    placement.reportRefused(0);
    placement.run(1s, [&] { return placement.server(2).models().contains("a"); });
    BOOST_TEST(placement.server(2).loads("a") == 1U);
}

/** Only the gateway's link to the server is cut. */
BOOST_AUTO_TEST_CASE(theModelsOfAServerThatOnlyAGatewayCannotReachAreNotLoadedElsewhere)
{
    SteadyPlacement placement(15ms, 15ms);
    placement.server(0).replace("s0", { "a" });
    placement.server(1).replace("s1", { "a" });
    placement.setRequests("a", 4);
    placement.run(100ms);
    placement.reportRefused(0);
    bool isAlwaysShown = true;
    placement.run(300ms, [&] {
        isAlwaysShown = isAlwaysShown && placement.isShown(0, "a");
        return false;
    });
    BOOST_TEST(isAlwaysShown);
    BOOST_TEST(placement.server(2).loads("a") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
