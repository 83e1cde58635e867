#include "gateway/ServerAdmission.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace hemlockchute;

namespace {

constexpr unsigned serverCount = 10;
constexpr unsigned slots = 4;
constexpr Duration serviceTime = 100ms;
constexpr Duration patience = 1s;
constexpr Duration pauseTime = 2s;
constexpr Duration stepTime = 5ms;
/** What all servers can do in a step. */
constexpr double capacity = serverCount * slots * (static_cast<double>(stepTime.count()) / static_cast<double>(serviceTime.count()));
constexpr double usualTraffic = 0.5 * capacity;
constexpr double crowdedTraffic = 3.0 * capacity;
constexpr unsigned steps = 1200;
const Instant pausesBegin { 2s };
/** In this time all pauses end, and those come back that were refused because of them. */
constexpr Duration returning = 1s;

const ModelKey plain { ServiceName("api"), ModelName(), AdapterName() };

/** One gateway whose traffic becomes three times what its servers can take when some of them ask for a pause. */
class PauseReplay {
public:
    explicit PauseReplay(unsigned pausing)
        : m_table(DataCentreName("z1"), ServerTable::Options())
        , m_admission(m_table, ServerAdmission::Options())
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
            for (due += m_now < pausesBegin ? usualTraffic : crowdedTraffic; due >= 1; --due)
                m_waiting.push_back(m_now);
            send();
        }
    }

    unsigned sentToPausing = 0;
    unsigned mostDuringPauses = 0;
    unsigned served = 0;
    unsigned servedDuringPauses = 0;
    unsigned mostAtReturn = 0;

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
            m_table.noteEnded(m_running.front().first);
            --m_atServer[m_running.front().first];
            m_running.pop_front();
            ++served;
            servedDuringPauses += arePausing() ? 1 : 0;
        }
    }

    void send()
    {
        while (!m_waiting.empty()) {
            if (m_now - m_waiting.front() > patience) {
                m_waiting.pop_front();
                continue;
            }
            ServerSelection offer = m_admission.select(plain, {}, 0, {}, m_now);
            if (!offer.server)
                return;
            m_waiting.pop_front();
            m_table.noteSent(*offer.server, 0);
            m_running.emplace_back(*offer.server, m_now + serviceTime);
            unsigned there = ++m_atServer[*offer.server];
            bool isPausing = arePausing() && std::stoul(offer.server->text().substr(2)) < m_pausing;
            sentToPausing += isPausing ? 1 : 0;
            if (arePausing())
                mostDuringPauses = std::max(mostDuringPauses, there);
            else if (m_now >= pausesBegin + pauseTime && m_now < pausesBegin + pauseTime + returning)
                mostAtReturn = std::max(mostAtReturn, there);
        }
    }

    ServerTable m_table;
    ServerAdmission m_admission;
    unsigned m_pausing;
    Instant m_now {};
    std::deque<Instant> m_waiting;
    std::deque<std::pair<BackendServerName, Instant>> m_running;
    std::map<BackendServerName, unsigned> m_atServer;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServerAdmissionTests)

/** A tenth, half and all servers of a service pause at once, with three times the traffic that all of them can take. */
BOOST_AUTO_TEST_CASE(whatPausingServersDoNotTakeDoesNotCrowdTheOthers)
{
    constexpr unsigned mostAtOne = slots + slots / 2;
    for (unsigned pausing : { serverCount / 10, serverCount / 2, serverCount }) {
        PauseReplay replay(pausing);
        replay.run();
        BOOST_TEST_CONTEXT(pausing << " of " << serverCount << " pause")
        {
            BOOST_TEST(replay.sentToPausing == 0U);
            BOOST_TEST(replay.mostDuringPauses <= mostAtOne);
            BOOST_TEST(replay.mostAtReturn <= mostAtOne);
            // The others do what they can.
            auto possible = static_cast<unsigned>((serverCount - pausing) * slots * (pauseTime / serviceTime));
            BOOST_TEST(replay.servedDuringPauses >= possible * 9 / 10);
        }
    }
}

/** Ranks behind the first leave the queue at a server to it. */
BOOST_AUTO_TEST_CASE(lessUrgentRequestsFindAServerFullSooner)
{
    ServerTable table(DataCentreName("z1"), ServerTable::Options());
    ListedServer server;
    server.id = BackendServerName("s");
    server.service = ServiceName("llm");
    server.slots = slots;
    server.models[ModelName("m")];
    table.replaceAll({ server });
    ServerAdmission admission(table, ServerAdmission::Options());
    ModelKey key { ServiceName("llm"), ModelName("m"), AdapterName() };
    auto isFull = [&](unsigned rank) { return admission.select(key, {}, rank, {}, Instant(1h)).isFull; };
    for (unsigned sent = 0; sent < slots; ++sent)
        table.noteSent(server.id, 0);
    BOOST_TEST((!isFull(0) && !isFull(1) && isFull(2)));
    table.noteSent(server.id, 0);
    BOOST_TEST((!isFull(0) && isFull(1)));
    table.noteSent(server.id, 0);
    BOOST_TEST(isFull(0));
}

BOOST_AUTO_TEST_SUITE_END()
