#include "hemlockchute/policy/ServerNotices.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

const ServerLife life { BackendServerName("s-1"), 7 };
const ServerLife nextLife { BackendServerName("s-1"), 8 };
const ServerLife other { BackendServerName("s-2"), 7 };

struct Fixture {
    Instant now { 1h };
    ServerNotices notices { ServerNotices::Options().withLongestPause(60s).withLeavingRetention(100s).withReturnJitter(200) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerNoticesTests, Fixture)

BOOST_AUTO_TEST_CASE(whatALifeSaidHoldsForThatLifeOnly)
{
    BOOST_TEST(notices.noteLeaving(life, now));
    BOOST_TEST(!notices.noteLeaving(life, now));
    notices.notePause(life, 2s, 0, now);
    BOOST_TEST(notices.isLeaving(life, now));
    BOOST_TEST(notices.pausedUntil(life, now).has_value());
    for (const ServerLife& each : { nextLife, other }) {
        BOOST_TEST(!notices.isLeaving(each, now));
        BOOST_TEST(!notices.pausedUntil(each, now).has_value());
    }
}

BOOST_AUTO_TEST_CASE(aPauseEndsNotBeforeItsTimeAndNotLongAfter)
{
    Instant first = notices.notePause(life, 1s, 0, now);
    Instant last = notices.notePause(other, 1s, 1, now);
    BOOST_TEST((first == now + 1s));
    BOOST_TEST((last == now + 1200ms));
    BOOST_TEST(notices.pausedUntil(life, now + 999ms).has_value());
    BOOST_TEST(!notices.pausedUntil(life, now + 1s).has_value());
    BOOST_TEST((notices.isRecovering(life, now + 2999ms) && !notices.isRecovering(life, now + 3s)));
    Instant bounded = notices.notePause(nextLife, 50s, 1, now);
    BOOST_TEST((bounded == now + 50s + ServerNotices::Options().maximumReturnJitter));
}

/** Answers overtake each other. */
BOOST_AUTO_TEST_CASE(anEarlierEndDoesNotReplaceALaterOne)
{
    notices.notePause(life, 5s, 0, now);
    notices.notePause(life, 1s, 0, now);
    notices.notePause(life, 0s, 0, now);
    BOOST_TEST((notices.pausedUntil(life, now) == now + 5s));
    notices.notePause(life, -3s, 0, now + 4s);
    BOOST_TEST((notices.pausedUntil(life, now + 4s) == now + 5s));
}

BOOST_AUTO_TEST_CASE(noWordLosesAServerForGood)
{
    notices.notePause(life, std::chrono::hours(24 * 3650), 0, now);
    notices.noteLeaving(other, now);
    BOOST_TEST(notices.pausedUntil(life, now + 59s).has_value());
    BOOST_TEST(!notices.pausedUntil(life, now + 61s).has_value());
    BOOST_TEST(notices.isLeaving(other, now + 99s));
    BOOST_TEST(!notices.isLeaving(other, now + 100s));
}

BOOST_AUTO_TEST_CASE(memoryFollowsTheServersInTrouble)
{
    constexpr int lives = 1000;
    for (int i = 0; i < lives; ++i) {
        notices.notePause({ BackendServerName("s-" + std::to_string(i)), i }, 1s, 0, now);
        now += 100ms;
    }
    // A pause of a second, two of recovery, and one more server each tenth of a second.
    BOOST_TEST(notices.size() <= 35U);
}

BOOST_AUTO_TEST_SUITE_END()
