#include "hemlockchute/router/DispatchTable.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

constexpr unsigned slots = 8;
const Instant start { 1h };

RankSpec rank(const std::string& name, unsigned order)
{
    RankSpec spec;
    spec.name = RankName(name);
    spec.order = order;
    return spec;
}

DocumentPointer documentOfTwoRanks()
{
    auto document = std::make_shared<Document>();
    document->version = DocumentVersion(1);
    document->ranks[RankName("urgent")] = rank("urgent", 0);
    document->ranks[RankName("patient")] = rank("patient", 1);
    ModelSpec model;
    model.name = ModelName("m");
    document->models[model.name] = model;
    return document;
}

PlacementView viewOfOneEngine()
{
    PlacedEngine engine;
    engine.name = BackendServerName("e1");
    engine.slots = slots;
    engine.models[ModelName("m")] = {};
    PlacementView view;
    view.isLeader = true;
    view.engines.push_back(engine);
    return view;
}

/** A table with one engine of eight slots and two ranks. */
struct Fixture {
    explicit Fixture(DispatchTable::Options options = DispatchTable::Options())
        : table(std::move(options))
    {
        table.setDocument(documentOfTwoRanks());
        table.setPlacement(viewOfOneEngine(), start);
    }

    std::optional<Refusal> add(const std::string& rankName, Duration timeout = 1h)
    {
        QueuedRequest request;
        request.ticket = QueueTicket(++lastTicket);
        request.rank = RankName(rankName);
        request.model = ModelName("m");
        request.arrival = start;
        request.deadline = start + timeout;
        return table.add(request, start);
    }

    unsigned assignAll()
    {
        unsigned assigned = 0;
        while (table.assignNext(start, 1))
            ++assigned;
        return assigned;
    }

    DispatchTable table;
    std::uint64_t lastTicket = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DispatchTableTests, Fixture)

BOOST_AUTO_TEST_CASE(aLessUrgentRankLeavesAReservedSlotFree)
{
    for (unsigned i = 0; i < 2 * slots; ++i)
        BOOST_REQUIRE(!add("patient"));
    BOOST_TEST(assignAll() == slots - 1);
    BOOST_REQUIRE(!add("urgent"));
    auto assignment = table.assignNext(start, 1);
    BOOST_REQUIRE(assignment);
    BOOST_TEST(assignment->request.rank.text() == "urgent");
}

BOOST_AUTO_TEST_CASE(theMostUrgentRankMayFillEverySlot)
{
    for (unsigned i = 0; i < 2 * slots; ++i)
        BOOST_REQUIRE(!add("urgent"));
    BOOST_TEST(assignAll() == slots);
}

BOOST_AUTO_TEST_CASE(aRequestThatWouldMissItsDeadlineIsRefusedOnArrival)
{
    for (unsigned i = 0; i < 100 * slots; ++i)
        BOOST_REQUIRE(!add("urgent"));
    auto refusal = add("urgent", 100ms);
    BOOST_REQUIRE(refusal);
    BOOST_TEST((refusal->reason == RefusalReason::WouldMissDeadline));
    BOOST_TEST((refusal->retryAfter > Duration::zero()));
}

BOOST_AUTO_TEST_CASE(aSilentEngineIsOnlyReplacedByAnotherWithAFreeSlot)
{
    BOOST_REQUIRE(!add("urgent"));
    auto assignment = table.assignNext(start, 1);
    BOOST_REQUIRE(assignment);
    const BackendServerName silent = assignment->server.name;
    auto takeover = [&](const std::set<BackendServerName>& tried) { return table.assignTakeover(assignment->request, silent, tried, start, 1); };
    BOOST_TEST(!takeover({}));
    BOOST_TEST(!takeover({ silent }));
    PlacementView view = viewOfOneEngine();
    view.engines.push_back(view.engines.front());
    view.engines.back().name = BackendServerName("e2");
    view.engines.back().slots = 1;
    table.setPlacement(view, start);
    // An engine that was tried before is better than a silent one.
    auto other = takeover({ silent, BackendServerName("e2") });
    BOOST_REQUIRE(other);
    BOOST_TEST(other->name.text() == "e2");
    BOOST_TEST(!takeover({}));
    table.recordAttemptOutcome(other->name, AttemptOutcome::Unused, start);
    BOOST_TEST(takeover({}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
