#include "coordinator/LoadCrashes.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

const ModelName model("m");

struct LoadCrashesFixture {
    bool crash(Duration ordered, Duration ended) { return crashes.noteCrash(model, start + ordered, start + ended); }
    bool isPostponed(Duration at) const { return crashes.postponedUntil(model, start + at).has_value(); }

    Instant start { 1h };
    LoadCrashes crashes { LoadCrashes::Options() };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LoadCrashesTests, LoadCrashesFixture)

BOOST_AUTO_TEST_CASE(threeCrashesInARowPostponeTheNextLoadEachTimeLonger)
{
    BOOST_TEST(!crash(0ms, 500ms));
    BOOST_TEST(!crash(500ms, 1s));
    BOOST_TEST(!isPostponed(1s));
    BOOST_TEST(crash(1s, 2s));
    BOOST_TEST(isPostponed(9s));
    BOOST_TEST(!isPostponed(11s));
    BOOST_TEST(crash(11s, 12s));
    BOOST_TEST(isPostponed(27s));
    BOOST_TEST(!isPostponed(29s));
    BOOST_TEST(!crashes.postponedUntil(ModelName("other"), start + 12s));
}

BOOST_AUTO_TEST_CASE(serversThatEndAtTheSameMomentCountOnce)
{
    for (int server = 0; server < 5; ++server)
        BOOST_TEST(!crash(0s, 3s + server * 1ms));
    BOOST_TEST(!isPostponed(3s));
}

BOOST_AUTO_TEST_CASE(aCompletedLoadClearsTheModel)
{
    crash(0s, 1s);
    crash(1s, 2s);
    crashes.noteLoaded(model);
    BOOST_TEST(!crash(2s, 3s));
    BOOST_TEST(!crash(3s, 4s));
    BOOST_TEST(crash(4s, 5s));
    crashes.noteLoaded(model);
    BOOST_TEST(!isPostponed(5s));
}

BOOST_AUTO_TEST_CASE(crashesAreForgotten)
{
    crash(0s, 1s);
    crash(1s, 2s);
    crashes.expire(start + 1h);
    BOOST_TEST(!crash(2s, 3s));
}

BOOST_AUTO_TEST_SUITE_END()
