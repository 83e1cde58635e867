#include "gateway/ServerAdmission.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace hemlockchute;

namespace {

constexpr unsigned serverCount = 10;
constexpr unsigned slots = 4;
constexpr Duration serviceTime = 100ms;
constexpr Duration waitTimeout = 1s;
constexpr Duration pauseTime = 2s;
constexpr Duration stepTime = 5ms;
/** The requests that all servers together can serve in one step. */
constexpr double capacity = serverCount * slots * (static_cast<double>(stepTime.count()) / static_cast<double>(serviceTime.count()));
constexpr double normalTraffic = 0.5 * capacity;
constexpr double overloadTraffic = 3.0 * capacity;
constexpr unsigned steps = 1200;
const Instant pausesBegin { 2s };
/** All pauses end, and refused callers retry, within this time. */
constexpr Duration returnPeriod = 1s;

const ModelKey plain { ServiceName("api"), ModelName(), AdapterName() };

/** Simulates a gateway whose traffic rises to three times the capacity of its servers when some of them ask for a pause. */
class PauseSimulation {
public:
    explicit PauseSimulation(unsigned pausing)
        : m_table(DataCentreName("z1"), ServerTable::Options())
        , m_admission(m_table, m_rateLimiter, ServerAdmission::Options())
        , m_pausing(pausing)
    {
        std::vector<ListedServer> all;
        for (unsigned number = 0; number < serverCount; ++number) {
            ListedServer server;
            server.id = BackendServerName("s-" + std::to_string(number));
            server.service = plain.service;
            server.address = { boost::asio::ip::make_address("10.0.0.1"), static_cast<unsigned short>(number + 1) };
            server.slots = slots;
            all.push_back(server);
        }
        m_table.replaceAll(std::move(all));
    }

    void run()
    {
        double due = 0;
        for (unsigned step = 0; step < steps; ++step, m_now += stepTime) {
            if (m_now == pausesBegin)
                askForPauses();
            finish();
            for (due += m_now < pausesBegin ? normalTraffic : overloadTraffic; due >= 1; --due)
                m_waiting.push_back(m_now);
            send();
        }
    }

    unsigned sentToPausing = 0;
    unsigned maximumInFlightDuringPauses = 0;
    unsigned served = 0;
    unsigned servedDuringPauses = 0;
    unsigned maximumInFlightAfterPauses = 0;

private:
    static BackendServerName nameOf(unsigned number) { return BackendServerName("s-" + std::to_string(number)); }
    bool arePausing() const { return m_now >= pausesBegin && m_now < pausesBegin + pauseTime; }

    void askForPauses()
    {
        for (unsigned number = 0; number < m_pausing; ++number)
            m_table.notePause({ nameOf(number), 0 }, pauseTime, static_cast<double>(number) / serverCount, m_now);
    }

    void finish()
    {
        while (!m_running.empty() && m_running.front().second <= m_now) {
            m_table.noteEnded(m_running.front().first, {});
            --m_atServer[m_running.front().first];
            m_running.pop_front();
            ++served;
            servedDuringPauses += arePausing() ? 1 : 0;
        }
    }

    void send()
    {
        while (!m_waiting.empty()) {
            if (m_now - m_waiting.front() > waitTimeout) {
                m_waiting.pop_front();
                continue;
            }
            ServerSelection selection = m_admission.select(plain, {}, 0, {}, m_now);
            if (!selection.server)
                return;
            m_waiting.pop_front();
            m_table.noteSent(*selection.server, {});
            m_running.emplace_back(*selection.server, m_now + serviceTime);
            unsigned inFlight = ++m_atServer[*selection.server];
            bool isPausing = arePausing() && std::stoul(selection.server->text().substr(2)) < m_pausing;
            sentToPausing += isPausing ? 1 : 0;
            if (arePausing())
                maximumInFlightDuringPauses = std::max(maximumInFlightDuringPauses, inFlight);
            else if (m_now >= pausesBegin + pauseTime && m_now < pausesBegin + pauseTime + returnPeriod)
                maximumInFlightAfterPauses = std::max(maximumInFlightAfterPauses, inFlight);
        }
    }

    ServerTable m_table;
    ServerRateLimiter m_rateLimiter { ServerRateLimiter::Options(), 1 };
    ServerAdmission m_admission;
    unsigned m_pausing;
    Instant m_now {};
    std::deque<Instant> m_waiting;
    std::deque<std::pair<BackendServerName, Instant>> m_running;
    std::map<BackendServerName, unsigned> m_atServer;
};

RequestMetadata withTokens(std::uint64_t prompt, std::uint64_t output)
{
    RequestMetadata request;
    request.promptTokens = prompt;
    request.maximumOutputTokens = output;
    return request;
}

/** Two servers with 12 slots and memory for 99,231 tokens each. */
struct MemoryFixture {
    MemoryFixture()
    {
        std::vector<ListedServer> servers;
        for (const std::string id : { "a", "b" }) {
            ListedServer server;
            server.id = BackendServerName(id);
            server.service = key.service;
            server.slots = 12;
            server.models[key.model];
            servers.push_back(std::move(server));
        }
        table.replaceAll(std::move(servers));
        table.setTokenCapacities({ { key.service, memoryTokens } });
    }

    ServerSelection select(const RequestMetadata& request, unsigned rank = 0) const { return admission.select(key, request, rank, {}, Instant(1h)); }

    static constexpr std::uint64_t memoryTokens = 99231;
    ModelKey key { ServiceName("llm"), ModelName("m"), AdapterName() };
    ServerTable table { DataCentreName("z1"), ServerTable::Options() };
    ServerRateLimiter rateLimiter { ServerRateLimiter::Options(), 1 };
    ServerAdmission admission { table, rateLimiter, ServerAdmission::Options() };
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServerAdmissionTests)

/** A tenth, half or all of the servers pause at once, under three times the traffic that all of them can serve. The excess must wait at the gateway. */
BOOST_AUTO_TEST_CASE(excessOfPausedServersDoesNotOverloadTheOthers)
{
    constexpr unsigned maximumPerServer = slots + slots / 2;
    for (unsigned pausing : { serverCount / 10, serverCount / 2, serverCount }) {
        PauseSimulation simulation(pausing);
        simulation.run();
        BOOST_TEST_CONTEXT(pausing << " of " << serverCount << " pause")
        {
            BOOST_TEST(simulation.sentToPausing == 0U);
            BOOST_TEST(simulation.maximumInFlightDuringPauses <= maximumPerServer);
            BOOST_TEST(simulation.maximumInFlightAfterPauses <= maximumPerServer);
            // The other servers reach 90 % of their capacity.
            auto capacityDuringPauses = static_cast<unsigned>((serverCount - pausing) * slots * (pauseTime / serviceTime));
            BOOST_TEST(simulation.servedDuringPauses >= capacityDuringPauses * 9 / 10);
        }
    }
}

/** The queue at a server is reserved for more urgent ranks. */
BOOST_AUTO_TEST_CASE(serverIsFullEarlierForLessUrgentRanks)
{
    ServerTable table(DataCentreName("z1"), ServerTable::Options());
    ListedServer server;
    server.id = BackendServerName("s");
    server.service = ServiceName("llm");
    server.slots = slots;
    server.models[ModelName("m")];
    table.replaceAll({ server });
    ServerRateLimiter rateLimiter(ServerRateLimiter::Options(), 1);
    ServerAdmission admission(table, rateLimiter, ServerAdmission::Options());
    ModelKey key { ServiceName("llm"), ModelName("m"), AdapterName() };
    auto isFull = [&](unsigned rank) { return admission.select(key, {}, rank, {}, Instant(1h)).isFull; };
    for (unsigned sent = 0; sent < slots; ++sent)
        table.noteSent(server.id, {});
    BOOST_TEST((!isFull(0) && !isFull(1) && isFull(2)));
    table.noteSent(server.id, {});
    BOOST_TEST((!isFull(0) && isFull(1)));
    table.noteSent(server.id, {});
    BOOST_TEST(isFull(0));
}

/** A server preempts streams, or terminates, if long prompts exceed its memory before they fill its slots. */
BOOST_FIXTURE_TEST_CASE(longPromptsThatExceedTheMemoryGoElsewhereOrWait, MemoryFixture)
{
    RequestMetadata request = withTokens(9190, 300);
    std::map<BackendServerName, std::uint64_t> held;
    unsigned sent = 0;
    for (ServerSelection selection = select(request); selection.server; selection = select(request)) {
        BOOST_REQUIRE(++sent <= 24U);
        table.noteSent(*selection.server, request);
        held[*selection.server] += request.heldTokens();
    }
    BOOST_TEST(sent == 20U);
    for (const auto& [server, tokens] : held)
        BOOST_TEST(tokens <= memoryTokens);
    BOOST_TEST(select(request).isFull);
    BOOST_TEST(select(withTokens(4000, 331)).server.has_value());
    BOOST_TEST(!select(withTokens(4000, 332)).server);
    table.noteEnded(BackendServerName("b"), request);
    BOOST_TEST((select(request).server == BackendServerName("b")));
}

/** The tokens of requests from other hosts use the same memory. */
BOOST_FIXTURE_TEST_CASE(tokensOfOtherHostsCountTowardsTheMemory, MemoryFixture)
{
    FollowReply reply;
    for (const std::string id : { "a", "b" })
        reply.servers.push_back({ *table.find(BackendServerName(id)), ServerHandle(id == "a" ? 1 : 2), 1 });
    reply.outstanding = { { ServerHandle(1), { 1, 0, 99000 } }, { ServerHandle(2), { 8, 0, 90000 } } };
    table.applyReply(reply);
    BOOST_TEST((select(withTokens(200, 100)).server == BackendServerName("b")));
    BOOST_TEST((select(withTokens(200, 31)).server == BackendServerName("a")));
    BOOST_TEST(select(withTokens(9000, 300)).isFull);
}

/** A request that no server has memory for must not wait for ever, nor go to a server whose other requests it would displace. */
BOOST_FIXTURE_TEST_CASE(requestBeyondTheCapacityGoesToAServerWithoutRequests, MemoryFixture)
{
    RequestMetadata large = withTokens(120000, 100);
    table.noteSent(BackendServerName("a"), withTokens(1, 1));
    BOOST_TEST((select(large).server == BackendServerName("b")));
    table.noteSent(BackendServerName("b"), large);
    BOOST_TEST(select(large).isFull);
    BOOST_TEST((select(withTokens(10, 10)).server == BackendServerName("a")));
    table.noteEnded(BackendServerName("a"), withTokens(1, 1));
    BOOST_TEST((select(large).server == BackendServerName("a")));
}

/** Free memory must not replace the limit on the queue, nor may an unknown capacity limit anything. */
BOOST_FIXTURE_TEST_CASE(queueLimitOfARankHoldsWhileMemoryIsFree, MemoryFixture)
{
    RequestMetadata request = withTokens(10, 10);
    for (unsigned sent = 0; sent < 12; ++sent) {
        table.noteSent(BackendServerName("a"), request);
        table.noteSent(BackendServerName("b"), request);
    }
    BOOST_TEST((select(request, 0).server && select(request, 1).server && select(request, 2).isFull));
    table.setTokenCapacities({});
    BOOST_TEST(select(withTokens(1000000, 0), 0).server.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
