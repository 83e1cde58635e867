#include "PropertyCheck.h"
#include "SimulatedCluster.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

/** One run of a cluster under random faults and membership changes. */
class AgreementRun {
public:
    AgreementRun()
        : m_keepers(*rc::gen::element(3U, 3U, 5U))
        , m_cluster(m_keepers, *rc::gen::arbitrary<std::uint64_t>())
    {
    }

    void run(std::size_t steps)
    {
        for (std::size_t step = 0; step < steps; ++step) {
            if (*rc::gen::inRange(0, 3) == 0)
                injectFault();
            if (*rc::gen::inRange(0, 3) == 0)
                m_cluster.repairStep();
            m_cluster.advance(milliseconds(2, 80));
        }
        RC_ASSERT(m_cluster.healAndCheckProgress() == std::string());
    }

private:
    KeeperId anyKeeper() const { return KeeperId(*rc::gen::inRange<std::uint64_t>(1, m_keepers + 1)); }

    static Duration milliseconds(int least, int most) { return *rc::gen::inRange(least, most) * Duration(1ms); }

    void injectFault()
    {
        using Fault = void (AgreementRun::*)();
        static constexpr Fault faults[] = { &AgreementRun::crash, &AgreementRun::startAll, &AgreementRun::startAll, &AgreementRun::restart,
            &AgreementRun::restart, &AgreementRun::pause, &AgreementRun::isolate, &AgreementRun::randomiseLinks, &AgreementRun::randomiseLinks, &AgreementRun::heal,
            &AgreementRun::makeNetworkChaotic, &AgreementRun::makeNetworkStable, &AgreementRun::loseDisk, &AgreementRun::removeVoter, &AgreementRun::compact, &AgreementRun::slowDisk, &AgreementRun::stepDown, &AgreementRun::stepDown,
            &AgreementRun::cutOffLeader, &AgreementRun::cutOffLeader, &AgreementRun::returnToSnapshot, &AgreementRun::returnToSnapshot };
        (this->*faults[*rc::gen::inRange<std::size_t>(0, std::size(faults))])();
    }

    void crash() { m_cluster.crash(anyKeeper()); }
    void startAll()
    {
        for (std::uint64_t keeper = 1; keeper <= m_keepers; ++keeper)
            m_cluster.start(KeeperId(keeper));
    }
    void restart()
    {
        KeeperId keeper = anyKeeper();
        m_cluster.crash(keeper);
        m_cluster.start(keeper);
    }
    void stepDown() { m_cluster.stepDown(anyKeeper()); }
    void pause() { m_cluster.pause(anyKeeper(), milliseconds(10, 400)); }
    void isolate() { m_cluster.isolate(anyKeeper()); }
    /** Leaves entries on the leader's disk that conflict with those of the next one. */
    void cutOffLeader()
    {
        if (m_cluster.leaderCount() == 0)
            return;
        KeeperId leader = m_cluster.latestLeader();
        m_cluster.isolate(leader);
        for (int count = *rc::gen::inRange(1, 12); count > 0; --count)
            m_cluster.propose(leader);
    }
    /** Members that return meanwhile get a snapshot, which may end anywhere in their own logs, and restart soon. */
    void returnToSnapshot()
    {
        for (std::uint64_t keeper = 1; keeper <= m_keepers; ++keeper)
            m_cluster.compact(KeeperId(keeper));
        m_cluster.heal();
        m_cluster.advance(milliseconds(2, 200));
        restart();
    }
    void randomiseLinks() { m_cluster.randomiseLinks(); }
    void heal() { m_cluster.heal(); }
    void makeNetworkChaotic() { m_cluster.setChaotic(true); }
    void makeNetworkStable() { m_cluster.setChaotic(false); }
    void loseDisk()
    {
        if (*rc::gen::inRange(0, 3) == 0)
            m_cluster.loseDisk(anyKeeper());
    }
    void removeVoter() { m_cluster.removeVoter(*rc::gen::inRange(0U, m_keepers)); }
    void compact() { m_cluster.compact(anyKeeper()); }
    void slowDisk() { m_cluster.slowDisk(anyKeeper(), milliseconds(0, 80)); }

    unsigned m_keepers;
    SimulatedCluster m_cluster;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AgreementFuzz)

BOOST_AUTO_TEST_CASE(agreementHoldsUnderRandomFaults)
{
    checkProperty("one leader a term, nothing committed lost, reads current", 300, [] { AgreementRun().run(150); });
}

BOOST_AUTO_TEST_SUITE_END()
