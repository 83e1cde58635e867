#include "Property.h"
#include "hemlockchute/policy/RequestQueue.h"

#include <numeric>

using namespace hemlockchute;

namespace {

/** A queue with a constant backlog, and one server that takes requests from it. */
class FloodedQueue {
public:
    explicit FloodedQueue(const std::vector<unsigned>& floors)
        : m_queue(makeRequestQueue("rank-fair", RequestQueueOptions().withMaximumWaiting(4000)))
    {
        std::map<RankName, RankSpec> ranks;
        for (std::size_t index = 0; index < floors.size(); ++index) {
            RankSpec spec;
            spec.name = RankName(std::to_string(index));
            spec.order = static_cast<unsigned>(index);
            spec.floorPerMille = floors[index];
            ranks[spec.name] = spec;
        }
        m_queue->setRanks(ranks);
    }

    /** Adds requests of a model until three are waiting. */
    void flood(unsigned rank, unsigned model, Duration cost)
    {
        for (unsigned& waiting = m_waiting[{ rank, model }]; waiting < 3; ++waiting) {
            QueuedRequest request;
            request.ticket = m_lastTicket = m_lastTicket.next();
            request.rank = RankName(std::to_string(rank));
            request.model = ModelName(std::to_string(model));
            request.arrival = m_now;
            request.deadline = m_now + 10h;
            request.cost = cost;
            auto refusal = m_queue->add(request, m_now);
            RC_ASSERT(!refusal);
        }
    }

    /** Serves one request of a warm model, and charges its actual cost. */
    std::optional<QueuedRequest> serve(const std::function<bool(unsigned)>& isWarm, const std::vector<Duration>& actualCostOfModel)
    {
        auto taken = m_queue->take([&](const QueuedRequest& request) { return isWarm(modelOf(request)); }, m_now);
        if (!taken)
            return std::nullopt;
        Duration actualCost = actualCostOfModel.at(modelOf(*taken));
        m_queue->charge(*taken, actualCost, m_now);
        m_now += actualCost;
        --m_waiting[{ rankOf(*taken), modelOf(*taken) }];
        return taken;
    }

    Instant now() const { return m_now; }
    static unsigned rankOf(const QueuedRequest& request) { return static_cast<unsigned>(std::stoul(request.rank.text())); }
    static unsigned modelOf(const QueuedRequest& request) { return static_cast<unsigned>(std::stoul(request.model.text())); }

private:
    std::unique_ptr<RequestQueue> m_queue;
    Instant m_now { 1h };
    QueueTicket m_lastTicket;
    std::map<std::pair<unsigned, unsigned>, unsigned> m_waiting;
};

Duration anyCost()
{
    return std::chrono::milliseconds(*rc::gen::inRange(1, 400));
}

} // namespace

BOOST_AUTO_TEST_SUITE(QueueFairnessTests)

BOOST_AUTO_TEST_CASE(everyRankReceivesItsFloorUnderAFloodOfTheMostUrgent)
{
    checkProperty([] {
        std::vector<unsigned> floors { 0, *rc::gen::inRange(0U, 500U), *rc::gen::inRange(0U, 500U) };
        std::vector<Duration> expected { anyCost(), anyCost(), anyCost() };
        std::vector<Duration> actual { anyCost(), anyCost(), anyCost() };
        FloodedQueue queue(floors);
        std::vector<Duration> served(3);
        for (int round = 0; round < 2000; ++round) {
            for (unsigned rank = 0; rank < 3; ++rank)
                queue.flood(rank, rank, expected[rank]);
            auto taken = queue.serve([](unsigned) { return true; }, actual);
            RC_ASSERT(taken.has_value());
            unsigned rank = FloodedQueue::rankOf(*taken);
            served[rank] += actual[rank];
        }
        Duration all = std::accumulate(served.begin(), served.end(), Duration::zero());
        constexpr Duration tolerance = 1s;
        for (unsigned rank = 1; rank < 3; ++rank)
            RC_ASSERT((served[rank] >= all * floors[rank] / 1000 - tolerance));
        // The most urgent rank receives the remainder.
        RC_ASSERT((served[0] >= all * (1000 - floors[1] - floors[2]) / 1000 - tolerance));
    });
}

BOOST_AUTO_TEST_CASE(coldAndWarmModelsReceiveEqualServiceWithinTenPercent)
{
    checkProperty([] {
        auto modelCount = *rc::gen::inRange(2U, 12U);
        std::vector<Duration> expected;
        std::vector<Duration> actual;
        std::vector<Duration> coldUntil;
        for (unsigned model = 0; model < modelCount; ++model) {
            expected.push_back(anyCost());
            actual.push_back(anyCost());
            coldUntil.push_back(std::chrono::milliseconds(*rc::gen::inRange(0, 20'000)));
        }
        coldUntil[0] = Duration::zero();
        FloodedQueue queue({ 1000 });
        Instant start = queue.now();
        std::vector<Duration> served(modelCount);
        while (queue.now() < start + 60s * modelCount) {
            for (unsigned model = 0; model < modelCount; ++model)
                queue.flood(0, model, expected[model]);
            // Every model is unloaded and reloaded every two minutes.
            Duration elapsed = (queue.now() - start) % Duration(120s);
            auto isWarm = [&](unsigned model) { return elapsed >= coldUntil[model]; };
            auto taken = queue.serve(isWarm, actual);
            RC_ASSERT(taken.has_value());
            unsigned model = FloodedQueue::modelOf(*taken);
            served[model] += actual[model];
        }
        Duration mean = std::accumulate(served.begin(), served.end(), Duration::zero()) / modelCount;
        for (unsigned model = 0; model < modelCount; ++model) {
            RC_ASSERT((served[model] >= mean * 9 / 10));
            RC_ASSERT((served[model] <= mean * 11 / 10));
        }
    },
        40);
}

BOOST_AUTO_TEST_CASE(catchUpOfALongColdModelIsBounded)
{
    checkProperty([] {
        const std::vector<Duration> cost { 100ms, 100ms };
        FloodedQueue queue({ 1000 });
        Instant start = queue.now();
        Duration cold = std::chrono::seconds(*rc::gen::inRange(60, 600));
        Duration currentRun {};
        Duration longestRun {};
        while (queue.now() < start + cold + 120s) {
            queue.flood(0, 0, cost[0]);
            queue.flood(0, 1, cost[1]);
            auto taken = queue.serve([&](unsigned model) { return model == 0 || queue.now() >= start + cold; }, cost);
            RC_ASSERT(taken.has_value());
            currentRun = FloodedQueue::modelOf(*taken) == 1 ? currentRun + 100ms : Duration::zero();
            longestRun = std::max(longestRun, currentRun);
        }
        RC_ASSERT((longestRun <= 21s));
    },
        20);
}

BOOST_AUTO_TEST_CASE(requestThatWouldMissItsDeadlineIsRefusedOnArrival)
{
    auto queue = makeRequestQueue("rank-fair", RequestQueueOptions().withParallelism(2));
    RankSpec rank;
    rank.name = RankName("counter");
    queue->setRanks({ { rank.name, rank } });
    Instant now { 1h };
    for (std::uint64_t number = 1; number <= 10; ++number)
        BOOST_TEST(!queue->add({ QueueTicket(number), rank.name, ModelName("m"), {}, now, now + 20s, 1s }, now));
    // Ten seconds of work ahead at a parallelism of two make a wait of five seconds.
    auto refusal = queue->add({ QueueTicket(11), rank.name, ModelName("m"), {}, now, now + 2s, 1s }, now);
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST((refusal->reason == RefusalReason::WouldMissDeadline));
    BOOST_TEST((refusal->retryAfter == 3s));
    // Another model shares service time with the first, and waits for at most one request of each.
    BOOST_TEST(!queue->add({ QueueTicket(12), rank.name, ModelName("other"), {}, now, now + 2s, 1s }, now));
    // A request whose model is still loading at its deadline is refused too.
    auto cold = queue->add({ QueueTicket(13), rank.name, ModelName("cold"), {}, now, now + 2s, 1s, 4s }, now);
    BOOST_REQUIRE(cold.has_value());
    BOOST_TEST((cold->retryAfter == 2s));
}

BOOST_AUTO_TEST_CASE(expiredRequestIsNotTaken)
{
    for (const char* strategy : { "rank-fair", "fifo", "strict-priority" }) {
        auto queue = makeRequestQueue(strategy, {});
        RankSpec rank;
        rank.name = RankName("counter");
        queue->setRanks({ { rank.name, rank } });
        Instant now { 1h };
        BOOST_TEST(!queue->add({ QueueTicket(1), rank.name, ModelName("m"), {}, now, now + 1s }, now));
        BOOST_TEST(!queue->take([](const QueuedRequest&) { return true; }, now + 1s));
        BOOST_TEST(queue->expire(now + 1s).size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(waitingRankFallsBelowItsFloorWhileAnotherIsServed)
{
    for (const char* strategy : { "rank-fair", "fifo" }) {
        auto queue = makeRequestQueue(strategy, {});
        std::map<RankName, RankSpec> ranks;
        for (unsigned order = 0; order < 2; ++order) {
            RankSpec rank;
            rank.name = RankName(std::to_string(order));
            rank.order = order;
            rank.floorPerMille = order * 100;
            ranks[rank.name] = rank;
        }
        queue->setRanks(ranks);
        RankName lessUrgent("1");
        Instant now { 1h };
        auto everything = [](const QueuedRequest&) { return true; };
        queue->add({ QueueTicket(1), RankName("0"), ModelName("m"), {}, now, now + 1h, 1s }, now);
        queue->add({ QueueTicket(2), lessUrgent, ModelName("m"), {}, now, now + 1h, 1s }, now);
        BOOST_TEST(!queue->isBelowFloor(lessUrgent));
        queue->take(everything, now);
        BOOST_TEST(queue->isBelowFloor(lessUrgent) == (std::string_view(strategy) == "rank-fair"));
        queue->take(everything, now);
        BOOST_TEST(!queue->isBelowFloor(lessUrgent));
        BOOST_TEST(!queue->isBelowFloor(RankName("unheard of")));
    }
}

BOOST_AUTO_TEST_CASE(aFloodOfOneModelLeavesRoomForOthers)
{
    auto queue = makeRequestQueue("rank-fair", RequestQueueOptions().withMaximumWaiting(80));
    std::map<RankName, RankSpec> ranks;
    for (unsigned order = 0; order < 2; ++order) {
        RankSpec rank;
        rank.name = RankName(std::to_string(order));
        rank.order = order;
        ranks[rank.name] = rank;
    }
    queue->setRanks(ranks);
    Instant now { 1h };
    std::uint64_t number = 0;
    auto add = [&](const char* rank, const char* model) {
        return queue->add({ QueueTicket(++number), RankName(rank), ModelName(model), {}, now, now + 1h }, now);
    };
    unsigned accepted = 0;
    while (!add("1", "flood"))
        ++accepted;
    BOOST_TEST(accepted == 30U);
    BOOST_TEST(!add("1", "other"));
    BOOST_TEST(!add("0", "urgent"));
    // However many models are flooded, the rank stays within its half of the queue.
    for (int model = 0; model < 100; ++model)
        add("1", std::to_string(model).c_str());
    BOOST_TEST(queue->size() <= 41U);
    BOOST_TEST(!add("0", "urgent"));
}

BOOST_AUTO_TEST_SUITE_END()
