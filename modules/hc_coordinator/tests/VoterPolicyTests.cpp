#include "coordinator/VoterPolicy.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace hemlockchute;

namespace {

ReplicaId replica(std::uint64_t keeper, std::uint64_t incarnation = 1)
{
    return { KeeperId(keeper), IncarnationId(incarnation) };
}

/** A group in which each membership change commits at once. */
class Group {
public:
    Group()
    {
        status.self = replica(1);
        status.isLeader = true;
        status.isMembershipCommitted = true;
        status.committed = LogIndex(10);
        status.membership.voters = { replica(1), replica(2), replica(3) };
    }

    /** Advances time while the replicas in `speaking` send messages and those in `asking` request to join. */
    void run(Duration time, const std::vector<ReplicaId>& speaking, const std::vector<ReplicaId>& asking = {})
    {
        for (Instant end = now + time; now < end; now += 100ms) {
            for (const ReplicaId& id : speaking)
                policy.noteContact(id, now);
            for (const ReplicaId& id : asking)
                policy.noteJoinRequest(id, now);
            if (auto next = policy.nextMembership(status, now)) {
                std::size_t change = next->voters.size() > status.membership.voters.size() ? next->voters.size() - status.membership.voters.size() : status.membership.voters.size() - next->voters.size();
                BOOST_REQUIRE(change <= 1);
                status.membership = *next;
                fewestVoters = std::min(fewestVoters, next->voters.size());
                mostVoters = std::max(mostVoters, next->voters.size());
            }
            for (const ReplicaId& id : status.membership.learners)
                status.matched[id] = caughtUp.contains(id) ? LogIndex(10) : LogIndex(3);
        }
    }

    VoterPolicy policy { VoterPolicy::Options() };
    GroupStatus status;
    std::set<ReplicaId> caughtUp;
    std::size_t fewestVoters = 3;
    std::size_t mostVoters = 3;
    Instant now { 1h };
};

} // namespace

BOOST_AUTO_TEST_SUITE(VoterPolicyTests)

BOOST_AUTO_TEST_CASE(aHealthyGroupKeepsItsMembers)
{
    Group group;
    group.run(20s, { replica(2), replica(3) });
    BOOST_TEST((group.status.membership.voters == std::set<ReplicaId> { replica(1), replica(2), replica(3) }));
}

BOOST_AUTO_TEST_CASE(anEmptiedCoordinatorVotesUnderItsNextIncarnationOnceCaughtUp)
{
    Group group;
    ReplicaId next = replica(3, 77);
    group.run(3s, { replica(2) }, { next });
    BOOST_TEST(group.status.membership.learners.contains(next));
    BOOST_TEST(group.status.membership.voters.contains(replica(3)));
    group.caughtUp.insert(next);
    group.run(2s, { replica(2), next });
    BOOST_TEST((group.status.membership.voters == std::set<ReplicaId> { replica(1), replica(2), next }));
    BOOST_TEST(group.status.membership.learners.empty());
}

/** Guards against a majority that is lost with the next disk, 2 s after a voter was removed without notice; a host that is silent for a second stays. */
BOOST_AUTO_TEST_CASE(aNewReplicaReplacesOnlyAVoterThatTimedOut)
{
    Group group;
    ReplicaId joiner = replica(4, 5);
    group.caughtUp.insert(joiner);
    group.run(10s, { replica(2), replica(3), joiner }, { joiner });
    BOOST_TEST(group.status.membership.voters.size() == 3U);
    BOOST_TEST(group.status.membership.learners.contains(joiner));
    group.run(1s, { replica(2), joiner });
    BOOST_TEST(group.status.membership.voters.contains(replica(3)));
    group.run(1s, { replica(2), joiner });
    BOOST_TEST((group.status.membership.voters == std::set<ReplicaId> { replica(1), replica(2), joiner }));
    BOOST_TEST(group.fewestVoters >= 2U);
}

/** Guards against a group that waits for a time-out though a voter has said that it stops, and against a majority of fewer hosts meanwhile. */
BOOST_AUTO_TEST_CASE(aVoterThatLeavesIsReplacedAtOnceAndVotesUntilItsSuccessorDoes)
{
    Group group;
    ReplicaId joiner = replica(4, 5);
    group.caughtUp.insert(joiner);
    group.run(2s, { replica(2), replica(3), joiner }, { joiner });
    BOOST_TEST(!group.policy.mayLeave(replica(3), group.status.membership));
    group.policy.noteLeaving(replica(3), group.now);
    group.run(500ms, { replica(2), replica(3), joiner });
    BOOST_TEST((group.status.membership.voters == std::set<ReplicaId> { replica(1), replica(2), joiner }));
    BOOST_TEST(group.fewestVoters == 3U);
    BOOST_TEST(group.mostVoters == 4U);
    BOOST_TEST(group.policy.mayLeave(replica(3), group.status.membership));
}

BOOST_AUTO_TEST_CASE(aVoterWithoutASuccessorLeavesWithoutAChange)
{
    Group group;
    BOOST_TEST(group.policy.mayLeave(replica(3), group.status.membership));
    group.policy.noteLeaving(replica(3), group.now);
    group.run(10s, { replica(2), replica(3) });
    BOOST_TEST((group.status.membership.voters == std::set<ReplicaId> { replica(1), replica(2), replica(3) }));
}

/** Guards against a voter that stays for good, if it ended after its successor's vote and before its own removal. */
BOOST_AUTO_TEST_CASE(aVoterThatHasEndedBesideItsPromotedSuccessorIsRemoved)
{
    Group group;
    ReplicaId joiner = replica(4, 5);
    group.status.membership.voters.insert(joiner);
    BOOST_TEST(!group.policy.mayLeave(replica(3), group.status.membership));
    group.run(1s, { replica(2), joiner });
    BOOST_TEST(group.status.membership.voters.size() == 4U);
    group.run(1s, { replica(2), joiner });
    BOOST_TEST((group.status.membership.voters == std::set<ReplicaId> { replica(1), replica(2), joiner }));
}

BOOST_AUTO_TEST_CASE(noVoterIsRemovedIfTheRestWouldLackAMajority)
{
    Group group;
    ReplicaId joiner = replica(4, 5);
    group.caughtUp.insert(joiner);
    group.run(20s, { joiner }, { joiner });
    BOOST_TEST(group.status.membership.voters.size() == 3U);
}

BOOST_AUTO_TEST_CASE(aLearnerThatTimedOutIsRemoved)
{
    Group group;
    ReplicaId joiner = replica(4, 5);
    group.run(1s, { replica(2), replica(3) }, { joiner });
    BOOST_TEST(group.status.membership.learners.contains(joiner));
    group.run(12s, { replica(2), replica(3) });
    BOOST_TEST(group.status.membership.learners.empty());
}

BOOST_AUTO_TEST_CASE(aGroupGrowsToItsTargetVoterCount)
{
    Group group;
    group.policy = VoterPolicy([] {
        VoterPolicy::Options options;
        options.voters = 5;
        return options;
    }());
    std::vector<ReplicaId> joiners { replica(4), replica(5), replica(6) };
    group.caughtUp = { joiners.begin(), joiners.end() };
    group.run(5s, { replica(2), replica(3), replica(4), replica(5), replica(6) }, joiners);
    BOOST_TEST(group.status.membership.voters.size() == 5U);
    BOOST_TEST(group.status.membership.learners.size() == 1U);
}

/** For any history of contact, join requests, departures and catch-up: the leader stays a voter, each change adds or removes at most one voter, and only a departure adds one to the target. */
BOOST_AUTO_TEST_CASE(anyHistoryChangesOneVoterAtATime)
{
    bool holds = rc::check("any history", [] {
        Group group;
        bool hasDepartures = *rc::gen::arbitrary<bool>();
        auto phases = *rc::gen::inRange(1, 8);
        for (int phase = 0; phase < phases; ++phase) {
            std::vector<ReplicaId> speaking;
            std::vector<ReplicaId> asking;
            for (std::uint64_t keeper = 2; keeper <= 5; ++keeper) {
                for (std::uint64_t incarnation = 1; incarnation <= 2; ++incarnation) {
                    if (*rc::gen::arbitrary<bool>())
                        speaking.push_back(replica(keeper, incarnation));
                    if (*rc::gen::inRange(0, 3) == 0)
                        asking.push_back(replica(keeper, incarnation));
                    if (*rc::gen::arbitrary<bool>())
                        group.caughtUp.insert(replica(keeper, incarnation));
                    if (hasDepartures && *rc::gen::inRange(0, 3) == 0)
                        group.policy.noteLeaving(replica(keeper, incarnation), group.now);
                }
            }
            group.run(std::chrono::milliseconds(*rc::gen::inRange(100, 6000)), speaking, asking);
            RC_ASSERT(group.status.membership.voters.contains(replica(1)));
            RC_ASSERT(group.status.membership.voters.size() >= 2);
            RC_ASSERT(group.mostVoters <= (hasDepartures ? 4U : 3U));
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
