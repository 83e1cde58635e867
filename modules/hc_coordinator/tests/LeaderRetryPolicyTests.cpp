#include "coordinator/LeaderRetryPolicy.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

constexpr Duration timeout = 900ms;
constexpr Duration retryDelay = 50ms;
const KeeperId first { 1 };
const KeeperId second { 2 };
const AgreementTerm term { 4 };

struct Fixture {
    Instant now { 1h };
    LeaderRetryPolicy policy { LeaderRetryPolicy::Options().withTimeout(timeout).withRetryDelay(retryDelay), now };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeaderRetryPolicyTests, Fixture)

BOOST_AUTO_TEST_CASE(noAttemptWithoutAKnownLeader)
{
    BOOST_TEST(!policy.nextTarget(std::nullopt, term, now));
    BOOST_TEST(policy.attemptCount() == 0U);
}

/** A frozen leader never answers its calls. */
BOOST_AUTO_TEST_CASE(theNextLeaderIsTriedWhileTheFrozenOneIsPending)
{
    BOOST_TEST(policy.nextTarget(first, term, now).has_value());
    BOOST_TEST(!policy.nextTarget(first, term, now += 500ms));
    BOOST_TEST(!policy.nextTarget(std::nullopt, term.next(), now += 10ms));
    auto target = policy.nextTarget(second, term.next(), now += 10ms);
    BOOST_REQUIRE(target);
    BOOST_TEST(target->leader == second);
    BOOST_TEST(policy.pendingAttempts() == 2U);
}

BOOST_AUTO_TEST_CASE(aLeaderElectedAgainIsTriedAgain)
{
    BOOST_TEST(policy.nextTarget(first, term, now).has_value());
    BOOST_TEST(policy.nextTarget(first, term.next(), now).has_value());
}

BOOST_AUTO_TEST_CASE(aFailedTargetIsRetriedAfterTheDelay)
{
    auto target = policy.nextTarget(first, term, now);
    BOOST_REQUIRE(target);
    policy.noteFailed(*target, now += 5ms);
    BOOST_TEST(!policy.nextTarget(first, term, now += retryDelay - 1ms));
    BOOST_TEST(policy.nextTarget(first, term, now += 1ms).has_value());
    BOOST_TEST(policy.attemptCount() == 2U);
}

BOOST_AUTO_TEST_CASE(anotherLeaderIsTriedWithoutADelay)
{
    auto target = policy.nextTarget(first, term, now);
    BOOST_REQUIRE(target);
    policy.noteFailed(*target, now);
    BOOST_TEST(policy.nextTarget(second, term, now).has_value());
}

BOOST_AUTO_TEST_CASE(noAttemptAfterTheTimeout)
{
    BOOST_TEST(!policy.hasExpired(now + timeout - 1ms));
    BOOST_TEST(policy.hasExpired(now + timeout));
    BOOST_TEST(!policy.nextTarget(first, term, now + timeout));
    BOOST_TEST((policy.deadline() == now + timeout));
}

BOOST_AUTO_TEST_SUITE_END()
