#include "coordinator/LeaderRetryPolicy.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

constexpr Duration timeout = 900ms;
constexpr Duration betweenQuestions = 50ms;
const KeeperId first { 1 };
const KeeperId second { 2 };
const AgreementTerm term { 4 };

struct Fixture {
    Instant now { 1h };
    LeaderRetryPolicy pursuit { LeaderRetryPolicy::Options().withTimeout(timeout).withRetryDelay(betweenQuestions), now };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeaderRetryPolicyTests, Fixture)

BOOST_AUTO_TEST_CASE(nobodyIsAskedWhileNoLeaderIsKnown)
{
    BOOST_TEST(!pursuit.nextTarget(std::nullopt, term, now));
    BOOST_TEST(pursuit.attemptCount() == 0U);
}

/** The load of a leader that stands still: its calls are never answered. */
BOOST_AUTO_TEST_CASE(theNextLeaderIsAskedWhileTheSilentOneStillOwesItsAnswer)
{
    BOOST_TEST(pursuit.nextTarget(first, term, now).has_value());
    BOOST_TEST(!pursuit.nextTarget(first, term, now += 500ms));
    BOOST_TEST(!pursuit.nextTarget(std::nullopt, term.next(), now += 10ms));
    auto target = pursuit.nextTarget(second, term.next(), now += 10ms);
    BOOST_REQUIRE(target);
    BOOST_TEST(target->leader == second);
    BOOST_TEST(pursuit.pendingAttempts() == 2U);
}

BOOST_AUTO_TEST_CASE(aLeaderThatWasElectedAgainIsAskedAgain)
{
    BOOST_TEST(pursuit.nextTarget(first, term, now).has_value());
    BOOST_TEST(pursuit.nextTarget(first, term.next(), now).has_value());
}

BOOST_AUTO_TEST_CASE(whoCannotHelpIsAskedAgainAfterAPause)
{
    auto target = pursuit.nextTarget(first, term, now);
    BOOST_REQUIRE(target);
    pursuit.noteFailed(*target, now += 5ms);
    BOOST_TEST(!pursuit.nextTarget(first, term, now += betweenQuestions - 1ms));
    BOOST_TEST(pursuit.nextTarget(first, term, now += 1ms).has_value());
    BOOST_TEST(pursuit.attemptCount() == 2U);
}

BOOST_AUTO_TEST_CASE(anotherLeaderIsAskedWithoutAPause)
{
    auto target = pursuit.nextTarget(first, term, now);
    BOOST_REQUIRE(target);
    pursuit.noteFailed(*target, now);
    BOOST_TEST(pursuit.nextTarget(second, term, now).has_value());
}

BOOST_AUTO_TEST_CASE(nobodyIsAskedOnceThePatienceIsOver)
{
    BOOST_TEST(!pursuit.hasExpired(now + timeout - 1ms));
    BOOST_TEST(pursuit.hasExpired(now + timeout));
    BOOST_TEST(!pursuit.nextTarget(first, term, now + timeout));
    BOOST_TEST((pursuit.deadline() == now + timeout));
}

BOOST_AUTO_TEST_SUITE_END()
