#include "hemlockchute/policy/ServerNotices.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

const ServerIncarnation incarnation { BackendServerName("s-1"), 7 };
const ServerIncarnation nextIncarnation { BackendServerName("s-1"), 8 };
const ServerIncarnation other { BackendServerName("s-2"), 7 };

struct Fixture {
    Instant now { 1h };
    ServerNotices notices { ServerNotices::Options().withLongestPause(60s).withLeavingRetention(100s).withReturnJitter(200) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerNoticesTests, Fixture)

BOOST_AUTO_TEST_CASE(noticesApplyToOneIncarnationOnly)
{
    BOOST_TEST(notices.noteLeaving(incarnation, now));
    BOOST_TEST(!notices.noteLeaving(incarnation, now));
    notices.notePause(incarnation, 2s, 0, now);
    BOOST_TEST(notices.isLeaving(incarnation, now));
    BOOST_TEST(notices.pausedUntil(incarnation, now).has_value());
    for (const ServerIncarnation& each : { nextIncarnation, other }) {
        BOOST_TEST(!notices.isLeaving(each, now));
        BOOST_TEST(!notices.pausedUntil(each, now).has_value());
    }
}

BOOST_AUTO_TEST_CASE(pauseEndsWithinTheReturnJitter)
{
    Instant first = notices.notePause(incarnation, 1s, 0, now);
    Instant last = notices.notePause(other, 1s, 1, now);
    BOOST_TEST((first == now + 1s));
    BOOST_TEST((last == now + 1200ms));
    BOOST_TEST(notices.pausedUntil(incarnation, now + 999ms).has_value());
    BOOST_TEST(!notices.pausedUntil(incarnation, now + 1s).has_value());
    BOOST_TEST((notices.isRecovering(incarnation, now + 2999ms) && !notices.isRecovering(incarnation, now + 3s)));
    Instant bounded = notices.notePause(nextIncarnation, 50s, 1, now);
    BOOST_TEST((bounded == now + 50s + ServerNotices::Options().maximumReturnJitter));
}

/** Responses may arrive out of order. */
BOOST_AUTO_TEST_CASE(shorterPauseDoesNotReplaceALongerOne)
{
    notices.notePause(incarnation, 5s, 0, now);
    notices.notePause(incarnation, 1s, 0, now);
    notices.notePause(incarnation, 0s, 0, now);
    BOOST_TEST((notices.pausedUntil(incarnation, now) == now + 5s));
    notices.notePause(incarnation, -3s, 0, now + 4s);
    BOOST_TEST((notices.pausedUntil(incarnation, now + 4s) == now + 5s));
}

BOOST_AUTO_TEST_CASE(noticesExpireWithinTheirBounds)
{
    notices.notePause(incarnation, std::chrono::hours(24 * 3650), 0, now);
    notices.noteLeaving(other, now);
    BOOST_TEST(notices.pausedUntil(incarnation, now + 59s).has_value());
    BOOST_TEST(!notices.pausedUntil(incarnation, now + 61s).has_value());
    BOOST_TEST(notices.isLeaving(other, now + 99s));
    BOOST_TEST(!notices.isLeaving(other, now + 100s));
}

BOOST_AUTO_TEST_CASE(expiredNoticesAreRemoved)
{
    constexpr int serverCount = 1000;
    for (int i = 0; i < serverCount; ++i) {
        notices.notePause({ BackendServerName("s-" + std::to_string(i)), i }, 1s, 0, now);
        now += 100ms;
    }
    // One server pauses every 100 ms; each notice lasts for a pause of one second and a recovery of two.
    BOOST_TEST(notices.size() <= 35U);
}

BOOST_AUTO_TEST_SUITE_END()
