#include "SimulatedCluster.h"
#include "hemlockchute/agreement/StateCodec.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

ReplicaId replicaId(std::uint64_t keeper, std::uint64_t incarnation = 1)
{
    return { KeeperId(keeper), IncarnationId(incarnation) };
}

Membership oneVoter()
{
    Membership membership;
    membership.voters.insert(replicaId(1));
    return membership;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AgreementTests)

BOOST_AUTO_TEST_CASE(calmClusterCommitsReadsAndKeepsItsLeader)
{
    SimulatedCluster cluster(3, 1);
    cluster.advance(1s);
    for (int i = 0; i < 50; ++i) {
        for (std::uint64_t keeper = 1; keeper <= 3; ++keeper) {
            cluster.propose(KeeperId(keeper));
            cluster.read(KeeperId(keeper));
        }
        cluster.advance(20ms);
    }
    BOOST_TEST(cluster.committedCount() > 50U);
    BOOST_TEST(cluster.readCount() > 50U);
    BOOST_TEST(cluster.leaderCount() == 1U);
}

BOOST_AUTO_TEST_CASE(emptiedKeeperComesBackBySnapshotAndSecondLossIsSurvived)
{
    SimulatedCluster cluster(3, 2);
    cluster.advance(1s);
    for (int i = 0; i < 40; ++i) {
        for (std::uint64_t keeper = 1; keeper <= 3; ++keeper) {
            cluster.propose(KeeperId(keeper));
            cluster.compact(KeeperId(keeper));
        }
        cluster.advance(20ms);
    }
    for (std::uint64_t lost : { 3, 2 }) {
        cluster.loseDisk(KeeperId(lost));
        for (int i = 0; i < 20; ++i) {
            cluster.advance(100ms);
            cluster.repairStep();
        }
    }
    BOOST_TEST(cluster.installCount() >= 2U);
    BOOST_TEST(cluster.hasLivingQuorums());
    BOOST_TEST(cluster.settle() == "");
}

BOOST_AUTO_TEST_CASE(singleVoterCommitsOnlyWhatIsPersisted)
{
    Instant now { 1h };
    Replica replica(replicaId(1), Replica::Options(), { {}, {}, {}, oneVoter() }, now);
    replica.tick(now += 1s);
    BOOST_REQUIRE(replica.isLeader());
    auto index = replica.propose("x", now);
    BOOST_REQUIRE(index);
    Effects effects = replica.takeEffects();
    BOOST_TEST(effects.hardState.has_value());
    BOOST_TEST(effects.committed.empty());
    BOOST_REQUIRE(replica.propose("y", now));
    replica.persisted(now);
    effects = replica.takeEffects();
    BOOST_REQUIRE(!effects.committed.empty());
    BOOST_TEST(effects.committed.back().payload == "x");
}

BOOST_AUTO_TEST_CASE(membershipChangesByOneStepOnly)
{
    Instant now { 1h };
    Replica replica(replicaId(1), Replica::Options(), { {}, {}, {}, oneVoter() }, now);
    replica.tick(now += 1s);
    replica.takeEffects();
    replica.persisted(now);
    Membership wanted = oneVoter();
    wanted.voters.insert(replicaId(2));
    BOOST_TEST(!replica.changeMembership(wanted, now));
    wanted = oneVoter();
    wanted.learners.insert(replicaId(2));
    BOOST_TEST(replica.changeMembership(wanted, now).has_value());
    wanted.learners.insert(replicaId(3));
    BOOST_TEST(!replica.changeMembership(wanted, now));
    BOOST_TEST(!replica.changeMembership({}, now));
}

BOOST_AUTO_TEST_CASE(codecsGiveBackWhatTheyTook)
{
    LogEntry entry { LogIndex(7), AgreementTerm(3), LogEntry::Kind::Command, "payload" };
    AgreementMessage message { replicaId(1, 9), replicaId(2, 8), AgreementTerm(4), AppendRequest { LogIndex(6), AgreementTerm(2), { entry }, LogIndex(5), 11 } };
    auto decoded = decodeMessage(encodeMessage(message));
    BOOST_REQUIRE(decoded);
    const auto& body = std::get<AppendRequest>(decoded->body);
    BOOST_TEST((decoded->from == message.from && decoded->to == message.to && decoded->term == message.term));
    BOOST_TEST((body.entries.front() == entry && body.committed == LogIndex(5) && body.round == 11));
    BOOST_TEST((decodeEntry(encodeEntry(entry)).value() == entry));
    BOOST_TEST((decodeMembership(encodeMembership(oneVoter())).value() == oneVoter()));
    KeeperIdentity identity { IncarnationId(5), oneVoter() };
    BOOST_TEST((decodeIdentity(encodeIdentity(identity)).value() == identity));
    BOOST_TEST(!decodeMessage("not a message"));
    BOOST_TEST(!decodeMessage(""));
}

BOOST_AUTO_TEST_SUITE_END()
