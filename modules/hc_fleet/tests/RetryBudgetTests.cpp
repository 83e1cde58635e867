#include "hemlockchute/fleet/RetryBudget.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <rapidcheck.h>

using namespace hemlockchute;

namespace {

const ServiceName service("llm");

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgetTests)

BOOST_AUTO_TEST_CASE(theBudgetIsAShareOfTheAllowancePlusARatioOfRequests)
{
    RetryBudget budget(RetryBudget::Options().withRatio(0.2).withAllowance(50).withWindow(10s));
    budget.setHostCount(5);
    Instant now(1h);
    unsigned resends = 0;
    while (budget.tryResend(service, now))
        ++resends;
    BOOST_TEST(resends == 8U); // 0.8 of a fifth of 50
    for (int i = 0; i < 100; ++i)
        budget.noteRequest(service, now);
    while (budget.tryResend(service, now))
        ++resends;
    BOOST_TEST(resends == 24U); // and 0.8 of a fifth of 100
    BOOST_TEST(!budget.tryResend(service, now + 8s));
    BOOST_TEST(budget.tryResend(service, now + 11s));
    BOOST_TEST(budget.tryResend(ServiceName("other"), now));
}

/** For any order of events, the resends of all hosts together stay within the common limit in every window. */
BOOST_AUTO_TEST_CASE(allHostsTogetherStayWithinTheLimitInEveryWindow)
{
    bool holds = rc::check("sum over hosts", [] {
        constexpr std::size_t hosts = 4;
        constexpr double ratio = 0.2;
        constexpr double allowance = 20;
        std::vector<RetryBudget> budgets(hosts, RetryBudget(RetryBudget::Options().withRatio(ratio).withAllowance(20)));
        for (RetryBudget& budget : budgets)
            budget.setHostCount(hosts);
        std::deque<Instant> requests;
        std::deque<Instant> resends;
        Instant now(1h);
        auto steps = *rc::gen::inRange(50, 400);
        for (int i = 0; i < steps; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
            RetryBudget& budget = budgets[*rc::gen::inRange<std::size_t>(0, hosts)];
            if (*rc::gen::inRange(0, 2) == 0) {
                budget.noteRequest(service, now);
                requests.push_back(now);
            } else if (budget.tryResend(service, now))
                resends.push_back(now);
            while (!requests.empty() && now - requests.front() > 10s)
                requests.pop_front();
            while (!resends.empty() && now - resends.front() > 9s)
                resends.pop_front();
            RC_ASSERT(static_cast<double>(resends.size()) <= ratio * static_cast<double>(requests.size()) + allowance);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
