#include "PropertyCheck.h"
#include "SimulatedCluster.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

constexpr unsigned keeperCount = 3;

KeeperId anyKeeper()
{
    return KeeperId(*rc::gen::inRange<std::uint64_t>(1, keeperCount + 1));
}

/** One random event of the run. */
void disturb(SimulatedCluster& cluster)
{
    using Event = void (*)(SimulatedCluster&);
    static const Event events[] = {
        [](SimulatedCluster& c) { c.crash(anyKeeper()); },
        [](SimulatedCluster& c) { c.start(anyKeeper()); },
        [](SimulatedCluster& c) { c.start(anyKeeper()); },
        [](SimulatedCluster& c) {
            KeeperId keeper = anyKeeper();
            c.crash(keeper);
            c.start(keeper);
        },
        [](SimulatedCluster& c) { c.pause(anyKeeper(), Duration(*rc::gen::inRange(10, 400)) * 1'000'000); },
        [](SimulatedCluster& c) { c.isolate(anyKeeper()); },
        [](SimulatedCluster& c) { c.isolate(KeeperId()); },
        [](SimulatedCluster& c) { c.setChaotic(true); },
        [](SimulatedCluster& c) { c.setChaotic(false); },
        [](SimulatedCluster& c) {
            if (*rc::gen::inRange(0, 3) == 0)
                c.loseDisk(anyKeeper());
        },
        [](SimulatedCluster& c) { c.removeVoter(*rc::gen::inRange(0U, keeperCount)); },
        [](SimulatedCluster& c) { c.compact(anyKeeper()); },
    };
    events[*rc::gen::inRange<std::size_t>(0, std::size(events))](cluster);
}

void run(std::size_t steps)
{
    SimulatedCluster cluster(keeperCount, *rc::gen::arbitrary<std::uint64_t>());
    for (std::size_t step = 0; step < steps; ++step) {
        if (*rc::gen::inRange(0, 3) == 0)
            disturb(cluster);
        cluster.propose(anyKeeper());
        cluster.read(anyKeeper());
        cluster.repairStep();
        cluster.advance(Duration(*rc::gen::inRange(2, 60)) * 1'000'000);
        cluster.read(anyKeeper());
        cluster.propose(anyKeeper());
    }
    RC_ASSERT(cluster.settles());
}

} // namespace

BOOST_AUTO_TEST_SUITE(AgreementFuzz)

BOOST_AUTO_TEST_CASE(agreementSurvivesEveryDisturbance)
{
    checkProperty("one leader a term, nothing committed lost, reads current", 300, [] { run(120); });
}

BOOST_AUTO_TEST_SUITE_END()
