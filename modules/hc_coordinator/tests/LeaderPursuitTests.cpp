#include "coordinator/LeaderPursuit.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

constexpr Duration patience = 900ms;
constexpr Duration betweenQuestions = 50ms;
const KeeperId first { 1 };
const KeeperId second { 2 };
const AgreementTerm term { 4 };

struct Fixture {
    Instant now { 1h };
    LeaderPursuit pursuit { LeaderPursuit::Options().withPatience(patience).withPause(betweenQuestions), now };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeaderPursuitTests, Fixture)

BOOST_AUTO_TEST_CASE(nobodyIsAskedWhileNoLeaderIsKnown)
{
    BOOST_TEST(!pursuit.next(std::nullopt, term, now));
    BOOST_TEST(pursuit.asked() == 0U);
}

/** The load of a leader that stands still: its calls are never answered. */
BOOST_AUTO_TEST_CASE(theNextLeaderIsAskedWhileTheSilentOneStillOwesItsAnswer)
{
    BOOST_TEST(pursuit.next(first, term, now).has_value());
    BOOST_TEST(!pursuit.next(first, term, now += 500ms));
    BOOST_TEST(!pursuit.next(std::nullopt, term.next(), now += 10ms));
    auto target = pursuit.next(second, term.next(), now += 10ms);
    BOOST_REQUIRE(target);
    BOOST_TEST(target->leader == second);
    BOOST_TEST(pursuit.unanswered() == 2U);
}

BOOST_AUTO_TEST_CASE(aLeaderThatWasElectedAgainIsAskedAgain)
{
    BOOST_TEST(pursuit.next(first, term, now).has_value());
    BOOST_TEST(pursuit.next(first, term.next(), now).has_value());
}

BOOST_AUTO_TEST_CASE(whoCannotHelpIsAskedAgainAfterAPause)
{
    auto target = pursuit.next(first, term, now);
    BOOST_REQUIRE(target);
    pursuit.noteFailed(*target, now += 5ms);
    BOOST_TEST(!pursuit.next(first, term, now += betweenQuestions - 1ms));
    BOOST_TEST(pursuit.next(first, term, now += 1ms).has_value());
    BOOST_TEST(pursuit.asked() == 2U);
}

BOOST_AUTO_TEST_CASE(anotherLeaderIsAskedWithoutAPause)
{
    auto target = pursuit.next(first, term, now);
    BOOST_REQUIRE(target);
    pursuit.noteFailed(*target, now);
    BOOST_TEST(pursuit.next(second, term, now).has_value());
}

BOOST_AUTO_TEST_CASE(nobodyIsAskedOnceThePatienceIsOver)
{
    BOOST_TEST(!pursuit.isOver(now + patience - 1ms));
    BOOST_TEST(pursuit.isOver(now + patience));
    BOOST_TEST(!pursuit.next(first, term, now + patience));
    BOOST_TEST((pursuit.deadline() == now + patience));
}

BOOST_AUTO_TEST_SUITE_END()
