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

/** A group whose steps are agreed on at once. */
class Group {
public:
    Group()
    {
        status.self = replica(1);
        status.isLeader = true;
        status.isMembershipSettled = true;
        status.committed = LogIndex(10);
        status.membership.voters = { replica(1), replica(2), replica(3) };
    }

    /** Lets time pass while these speak and these ask to be taken in. */
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
                leastVoters = std::min(leastVoters, next->voters.size());
            }
            for (const ReplicaId& id : status.membership.learners)
                status.matched[id] = caughtUp.contains(id) ? LogIndex(10) : LogIndex(3);
        }
    }

    VoterPolicy policy { VoterPolicy::Options() };
    GroupStatus status;
    std::set<ReplicaId> caughtUp;
    std::size_t leastVoters = 3;
    Instant now { 1h };
};

} // namespace

BOOST_AUTO_TEST_SUITE(VoterPolicyTests)

BOOST_AUTO_TEST_CASE(aCalmGroupStaysAsItIs)
{
    Group group;
    group.run(20s, { replica(2), replica(3) });
    BOOST_TEST((group.status.membership.voters == std::set<ReplicaId> { replica(1), replica(2), replica(3) }));
}

BOOST_AUTO_TEST_CASE(anEmptiedCoordinatorVotesAsItsNextLifeOnceItHasCaughtUp)
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

BOOST_AUTO_TEST_CASE(aNewcomerReplacesASilentVoterAndNoOther)
{
    Group group;
    ReplicaId newcomer = replica(4, 5);
    group.caughtUp.insert(newcomer);
    group.run(10s, { replica(2), replica(3), newcomer }, { newcomer });
    BOOST_TEST(group.status.membership.voters.size() == 3U);
    BOOST_TEST(group.status.membership.learners.contains(newcomer));
    group.run(3s, { replica(2), newcomer });
    BOOST_TEST(group.status.membership.voters.contains(replica(3)));
    group.run(3s, { replica(2), newcomer });
    BOOST_TEST((group.status.membership.voters == std::set<ReplicaId> { replica(1), replica(2), newcomer }));
    BOOST_TEST(group.leastVoters >= 2U);
}

BOOST_AUTO_TEST_CASE(nobodyLeavesWhileTheRestWouldHaveNoMajority)
{
    Group group;
    ReplicaId newcomer = replica(4, 5);
    group.caughtUp.insert(newcomer);
    group.run(20s, { newcomer }, { newcomer });
    BOOST_TEST(group.status.membership.voters.size() == 3U);
}

BOOST_AUTO_TEST_CASE(aLearnerThatFellSilentIsForgotten)
{
    Group group;
    ReplicaId newcomer = replica(4, 5);
    group.run(1s, { replica(2), replica(3) }, { newcomer });
    BOOST_TEST(group.status.membership.learners.contains(newcomer));
    group.run(12s, { replica(2), replica(3) });
    BOOST_TEST(group.status.membership.learners.empty());
}

BOOST_AUTO_TEST_CASE(aGroupGrowsToTheVotersItNeeds)
{
    Group group;
    group.policy = VoterPolicy([] {
        VoterPolicy::Options options;
        options.voters = 5;
        return options;
    }());
    std::vector<ReplicaId> newcomers { replica(4), replica(5), replica(6) };
    group.caughtUp = { newcomers.begin(), newcomers.end() };
    group.run(5s, { replica(2), replica(3), replica(4), replica(5), replica(6) }, newcomers);
    BOOST_TEST(group.status.membership.voters.size() == 5U);
    BOOST_TEST(group.status.membership.learners.size() == 1U);
}

/** Whoever speaks, asks and catches up: the leader stays a voter, and each step changes one member. */
BOOST_AUTO_TEST_CASE(stepsAreSingleInAnyHistory)
{
    bool holds = rc::check("any history", [] {
        Group group;
        auto phases = *rc::gen::inRange(1, 8);
        for (int phase = 0; phase < phases; ++phase) {
            std::vector<ReplicaId> speaking;
            std::vector<ReplicaId> asking;
            for (std::uint64_t keeper = 2; keeper <= 5; ++keeper) {
                for (std::uint64_t life = 1; life <= 2; ++life) {
                    if (*rc::gen::arbitrary<bool>())
                        speaking.push_back(replica(keeper, life));
                    if (*rc::gen::inRange(0, 3) == 0)
                        asking.push_back(replica(keeper, life));
                    if (*rc::gen::arbitrary<bool>())
                        group.caughtUp.insert(replica(keeper, life));
                }
            }
            group.run(std::chrono::milliseconds(*rc::gen::inRange(100, 6000)), speaking, asking);
            RC_ASSERT(group.status.membership.voters.contains(replica(1)));
            RC_ASSERT(group.status.membership.voters.size() >= 2);
            RC_ASSERT(group.status.membership.voters.size() <= 3);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
