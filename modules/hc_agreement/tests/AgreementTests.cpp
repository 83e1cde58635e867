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

BOOST_AUTO_TEST_CASE(stableClusterCommitsReadsAndKeepsItsLeader)
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

BOOST_AUTO_TEST_CASE(emptiedKeeperRejoinsBySnapshotAndClusterSurvivesSecondDiskLoss)
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
    BOOST_TEST(cluster.hasLiveQuorums());
    BOOST_TEST(cluster.healAndCheckProgress() == "");
}

/** Even the stable network loses a few messages; the announcement of the successor may be one of them. */
BOOST_AUTO_TEST_CASE(stepDownElectsSuccessorBeforeAnElectionTimeout)
{
    constexpr unsigned clusters = 100;
    constexpr unsigned mostLate = clusters / 20;
    unsigned late = 0;
    for (unsigned seed = 1; seed <= clusters; ++seed) {
        SimulatedCluster cluster(3, seed);
        cluster.advance(1s);
        BOOST_REQUIRE(cluster.leaderCount() == 1U);
        KeeperId former = cluster.latestLeader();
        cluster.stepDown(former);
        cluster.advance(150ms);
        bool isTakenOver = cluster.leaderCount() == 2 && cluster.latestLeader() != former;
        late += isTakenOver ? 0 : 1;
        BOOST_TEST(cluster.healAndCheckProgress() == "");
    }
    BOOST_TEST(late <= mostLate);
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

BOOST_AUTO_TEST_CASE(membershipChangesOneMemberAtATime)
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

//==============================================================================
namespace {

constexpr Duration electionTimeout = 300ms;

Membership threeVoters()
{
    Membership membership;
    for (std::uint64_t keeper = 1; keeper <= 3; ++keeper)
        membership.voters.insert(replicaId(keeper));
    return membership;
}

/** Replica 1 of three voters; the test sends the messages of the other two. */
struct ThreeVoterFixture {
    explicit ThreeVoterFixture(RecoveredState recovered = { {}, {}, {}, threeVoters() })
        : replica(replicaId(1), Replica::Options().withElectionTimeout(electionTimeout), std::move(recovered), now)
    {
    }

    Effects flush()
    {
        Effects effects = replica.takeEffects();
        replica.persisted(now);
        Effects after = replica.takeEffects();
        replica.persisted(now);
        effects.committed.insert(effects.committed.end(), after.committed.begin(), after.committed.end());
        effects.readsReady.insert(effects.readsReady.end(), after.readsReady.begin(), after.readsReady.end());
        effects.messages.insert(effects.messages.end(), after.messages.begin(), after.messages.end());
        return effects;
    }

    void deliver(std::uint64_t from, std::uint64_t term, AgreementBody body)
    {
        replica.receive({ replicaId(from), replicaId(1), AgreementTerm(term), std::move(body) }, now);
    }

    /** Requests the vote of replica 1; true when it is granted. */
    bool grantsVote(std::uint64_t candidate, std::uint64_t term, bool isPreVote = false)
    {
        deliver(candidate, term, VoteRequest { isPreVote, LogIndex(9), AgreementTerm(term - 1) });
        Effects effects = flush();
        for (const AgreementMessage& message : effects.messages) {
            if (const auto* reply = std::get_if<VoteReply>(&message.body))
                return reply->granted;
        }
        return false;
    }

    std::uint64_t sentAt() const { return static_cast<std::uint64_t>(now.time_since_epoch().count()); }

    /** Makes replica 1 the leader of the next term, with 2's vote. */
    void becomeLeader()
    {
        replica.tick(now += 3 * electionTimeout);
        std::uint64_t term = replica.term().value() + 1;
        deliver(2, term, VoteReply { true, true });
        deliver(2, term, VoteReply { false, true });
        BOOST_REQUIRE(replica.isLeader());
        flush();
    }

    void acknowledge(std::uint64_t from, LogIndex matched) { deliver(from, replica.term().value(), AppendReply { true, matched, sentAt() }); }

    bool answersRead()
    {
        replica.read(1, now);
        return !flush().readsReady.empty();
    }

    Instant now { 1h };
    Replica replica;
};

} // namespace

BOOST_AUTO_TEST_CASE(voteIsPersistedAcrossARestart)
{
    ThreeVoterFixture voter;
    voter.now += electionTimeout;
    voter.deliver(2, 5, VoteRequest { false, {}, {} });
    Effects effects = voter.replica.takeEffects();
    BOOST_REQUIRE(effects.hardState);
    BOOST_TEST((effects.hardState->votedFor == replicaId(2)));
    ThreeVoterFixture restarted({ *effects.hardState, {}, {}, threeVoters() });
    restarted.now += electionTimeout;
    BOOST_TEST(!restarted.grantsVote(3, 5));
    BOOST_TEST(restarted.grantsVote(2, 5));
}

BOOST_AUTO_TEST_CASE(noVoteWithinAnElectionTimeoutOfLeaderContactOrStart)
{
    for (bool isPreVote : { true, false }) {
        ThreeVoterFixture voter;
        BOOST_TEST(!voter.grantsVote(2, 5, isPreVote));
        voter.now += electionTimeout;
        voter.deliver(3, 4, AppendRequest {});
        voter.now += electionTimeout - 1ms;
        BOOST_TEST(!voter.grantsVote(2, 5, isPreVote));
        voter.now += 1ms;
        BOOST_TEST(voter.grantsVote(2, 5, isPreVote));
    }
}

BOOST_AUTO_TEST_CASE(readsNeedALeaseShorterThanTheElectionTimeout)
{
    ThreeVoterFixture leader;
    leader.becomeLeader();
    BOOST_TEST(!leader.answersRead());
    leader.acknowledge(2, leader.replica.lastIndex());
    leader.flush();
    BOOST_TEST(leader.answersRead());
    leader.now += electionTimeout * 89 / 100;
    BOOST_TEST(leader.answersRead());
    leader.now += electionTimeout * 2 / 100;
    BOOST_TEST(!leader.answersRead());
}

BOOST_AUTO_TEST_CASE(entriesOfOlderTermsCommitOnlyWithOneOfTheCurrentTerm)
{
    LogEntry old { LogIndex(1), AgreementTerm(2), LogEntry::Kind::Command, "old" };
    ThreeVoterFixture leader({ { AgreementTerm(2), {} }, {}, { old }, threeVoters() });
    leader.becomeLeader();
    leader.acknowledge(2, LogIndex(1));
    BOOST_TEST(leader.flush().committed.empty());
    leader.acknowledge(2, LogIndex(2));
    BOOST_TEST(leader.flush().committed.size() == 2U);
}

BOOST_AUTO_TEST_CASE(votesOfNonMembersAndFormerIncarnationsDoNotCount)
{
    ThreeVoterFixture candidate;
    candidate.replica.tick(candidate.now += 3 * electionTimeout);
    candidate.deliver(4, 1, VoteReply { true, true });
    candidate.replica.receive({ replicaId(2, 2), replicaId(1), AgreementTerm(1), VoteReply { true, true } }, candidate.now);
    BOOST_TEST(!candidate.flush().hardState);
    candidate.deliver(2, 1, VoteReply { true, true });
    candidate.deliver(4, 1, VoteReply { false, true });
    BOOST_TEST(!candidate.replica.isLeader());
    candidate.deliver(3, 1, VoteReply { false, true });
    BOOST_TEST(candidate.replica.isLeader());
}

BOOST_AUTO_TEST_CASE(leaderWithoutQuorumContactStepsDown)
{
    ThreeVoterFixture leader;
    leader.becomeLeader();
    leader.replica.tick(leader.now += electionTimeout);
    BOOST_TEST(!leader.replica.isLeader());
}

BOOST_AUTO_TEST_CASE(membershipChangesWaitForACommitInTheCurrentTerm)
{
    LogEntry old { LogIndex(1), AgreementTerm(2), LogEntry::Kind::Command, "old" };
    ThreeVoterFixture leader({ { AgreementTerm(2), {} }, {}, { old }, threeVoters() });
    leader.becomeLeader();
    Membership wanted = threeVoters();
    wanted.learners.insert(replicaId(4));
    BOOST_TEST(!leader.replica.changeMembership(wanted, leader.now));
    leader.acknowledge(2, leader.replica.lastIndex());
    leader.flush();
    BOOST_TEST(leader.replica.changeMembership(wanted, leader.now).has_value());
}

BOOST_AUTO_TEST_CASE(learnerIsPromotedOnlyOnceItsLogHasCaughtUp)
{
    ThreeVoterFixture leader;
    leader.becomeLeader();
    leader.acknowledge(2, leader.replica.lastIndex());
    leader.flush();
    Membership wanted = threeVoters();
    wanted.learners.insert(replicaId(4));
    BOOST_REQUIRE(leader.replica.changeMembership(wanted, leader.now));
    leader.flush();
    leader.acknowledge(2, leader.replica.lastIndex());
    leader.flush();
    wanted.learners.clear();
    wanted.voters.insert(replicaId(4));
    BOOST_TEST(!leader.replica.changeMembership(wanted, leader.now));
    leader.acknowledge(4, leader.replica.lastIndex());
    BOOST_TEST(leader.replica.changeMembership(wanted, leader.now).has_value());
}

BOOST_AUTO_TEST_CASE(replicaWithRolledBackDiskStopsParticipating)
{
    ThreeVoterFixture outdated;
    outdated.now += electionTimeout;
    outdated.deliver(2, 4, AppendRequest { {}, {}, {}, {}, 1, LogIndex(3) });
    BOOST_TEST(outdated.replica.takeEffects().isOutdated);
    outdated.now += electionTimeout;
    BOOST_TEST(!outdated.grantsVote(3, 9));
}

BOOST_AUTO_TEST_CASE(codecsRoundTripAndRejectMalformedBytes)
{
    LogEntry entry { LogIndex(7), AgreementTerm(3), LogEntry::Kind::Command, "payload" };
    AgreementMessage message { replicaId(1, 9), replicaId(2, 8), AgreementTerm(4), AppendRequest { LogIndex(6), AgreementTerm(2), { entry }, LogIndex(5), 11, LogIndex(4) } };
    auto decoded = decodeMessage(encodeMessage(message));
    BOOST_REQUIRE(decoded);
    const auto& body = std::get<AppendRequest>(decoded->body);
    BOOST_TEST((decoded->from == message.from && decoded->to == message.to && decoded->term == message.term));
    BOOST_TEST((body.entries.front() == entry && body.committed == LogIndex(5) && body.sentAt == 11 && body.acknowledged == LogIndex(4)));
    BOOST_TEST((decodeEntry(encodeEntry(entry)).value() == entry));
    BOOST_TEST((decodeMembership(encodeMembership(oneVoter())).value() == oneVoter()));
    KeeperIdentity identity { IncarnationId(5), oneVoter() };
    BOOST_TEST((decodeIdentity(encodeIdentity(identity)).value() == identity));
    BOOST_TEST(!decodeMessage("not a message"));
    BOOST_TEST(!decodeMessage(""));
}

BOOST_AUTO_TEST_SUITE_END()
