#include "hemlockchute/policy/policy.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

BOOST_AUTO_TEST_SUITE(PolicyTests)

BOOST_AUTO_TEST_CASE(strategiesAreFoundByName)
{
    for (const char* name : { "rank-fair", "fifo", "strict-priority" })
        BOOST_TEST((makeRequestQueue(name, {}) != nullptr));
    for (const char* name : { "two-choices", "least-outstanding" })
        BOOST_TEST((makeServerPicker(name) != nullptr));
    for (const char* name : { "worth-per-load-time", "lru" })
        BOOST_TEST((makePlacementPlanner(name) != nullptr));
    BOOST_TEST((makeRequestQueue("unheard-of", {}) == nullptr));
    BOOST_TEST((makeServerPicker("") == nullptr));
    BOOST_TEST((makePlacementPlanner("rank-fair") == nullptr));
}

BOOST_AUTO_TEST_CASE(tenSuccessesEarnOneRetry)
{
    RetryBudget budget(RetryBudget::Options().withMaximumTokens(2));
    BOOST_TEST(budget.tryTake());
    BOOST_TEST(budget.tryTake());
    BOOST_TEST(!budget.tryTake());
    for (int success = 0; success < 9; ++success)
        budget.noteSuccess();
    BOOST_TEST(!budget.tryTake());
    budget.noteSuccess();
    BOOST_TEST(budget.tryTake());
    BOOST_TEST(!budget.tryTake());
}

BOOST_AUTO_TEST_CASE(backoffDoublesUpToItsMaximum)
{
    RetryBudget budget { RetryBudget::Options() };
    BOOST_TEST((budget.backoff(1, 10'000'000) == 10ms));
    BOOST_TEST((budget.backoff(1, 10'000'001) == 0ms));
    BOOST_TEST((budget.backoff(3, 40'000'000) == 40ms));
    BOOST_TEST((budget.backoff(60, 1'000'000'000) == 1s));
}

BOOST_AUTO_TEST_CASE(twoChoicesAvoidsFullAndLoadedServers)
{
    auto picker = makeServerPicker("two-choices");
    ServerCandidate full { BackendServerName("full"), 8, 0, 0, 0s, 8, 0, 0s };
    ServerCandidate busyForOthers { BackendServerName("busy"), 1, 8, 0, 0s, 8, 0, 0s };
    ServerCandidate free { BackendServerName("free"), 3, 3, 0, 0s, 8, 0, 0s };
    BOOST_TEST((picker->pick({ full, busyForOthers, free }, 0x123456789abcdef0U) == 2U));
    BOOST_TEST((picker->pick({ full, busyForOthers }, 1) == std::nullopt));
    // A server whose report is old no longer counts as full.
    busyForOthers.reportAge = 5s;
    BOOST_TEST((picker->pick({ full, busyForOthers }, 1) == 1U));
}

BOOST_AUTO_TEST_CASE(cachedPrefixBonusDecaysWithAge)
{
    auto picker = makeServerPicker("two-choices");
    ServerCandidate cached { BackendServerName("cached"), 2, 2, 0, 0s, 8, 1000, 0s };
    ServerCandidate empty { BackendServerName("empty"), 1, 1, 0, 0s, 8, 0, 0s };
    BOOST_TEST((picker->pick({ cached, empty }, 0) == 0U));
    cached.cacheEventAge = 60s;
    BOOST_TEST((picker->pick({ cached, empty }, 0) == 1U));
}

BOOST_AUTO_TEST_CASE(lessUrgentRanksLeaveReservedSlotsFree)
{
    SlotReserve reserve { SlotReserve::Options() };
    BOOST_TEST(reserve.usable(8, 0) == 8U);
    BOOST_TEST(reserve.usable(8, 1) == 7U);
    BOOST_TEST(reserve.usable(8, 2) == 6U);
    BOOST_TEST(reserve.usable(100, 2) == 76U);
    BOOST_TEST(reserve.usable(2, 5) == 1U);
    BOOST_TEST(reserve.usable(1, 1) == 1U);
    BOOST_TEST(reserve.usable(0, 1) == 0U);
    BOOST_TEST(SlotReserve(SlotReserve::Options().withReservedPercent(0)).usable(8, 2) == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
