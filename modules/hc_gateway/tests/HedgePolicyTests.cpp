#include "gateway/HedgePolicy.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <rapidcheck.h>

using namespace hemlockchute;

namespace {

using Obstacle = HedgePolicy::Obstacle;
using Situation = HedgePolicy::Situation;

const ServiceName service("api");
constexpr Instant start(1h);
constexpr Duration fast = 5ms;
constexpr Duration slow = 900ms;

HedgePolicy policyWith(double ratio)
{
    return HedgePolicy(HedgePolicy::Options().withRatio(ratio));
}

RetryBudget ampleBudget()
{
    RetryBudget budget(RetryBudget::Options().withRatio(1).withAllowance(1000));
    budget.setHostCount(1);
    return budget;
}

/** Replays requests at one host; the time that a server needs for each is given. */
struct Replay {
    explicit Replay(double ratio)
        : share(ratio)
        , policy(policyWith(ratio))
    {
    }

    /** Handles one request and moves on by the interval between two requests. Returns the time to the head of the answer that the caller gets. */
    Duration request(Duration serverTime, Duration otherServerTime, Situation situation = {})
    {
        ++requests;
        policy.noteRequest(service, now);
        retries.noteRequest(service, now);
        auto delay = policy.delay(service, now);
        Duration time = serverTime;
        Instant due = now + delay.value_or(Duration::zero());
        if (delay && serverTime > *delay) {
            ++dueHedges;
            if (!policy.tryHedge(service, situation, retries, due)) {
                ++hedges;
                time = std::min(serverTime, *delay + otherServerTime);
            }
        }
        policy.noteHeadTime(service, time, now + time);
        now += interval;
        return time;
    }

    static constexpr Duration interval = 10ms;

    double share;
    HedgePolicy policy;
    RetryBudget retries = ampleBudget();
    Instant now = start;
    unsigned requests = 0;
    unsigned dueHedges = 0;
    unsigned hedges = 0;
};

/** A time near the given one. */
Duration near(Duration time, std::minstd_rand& random)
{
    return time + Duration(std::uniform_int_distribution<Duration::rep>(0, time.count() / 4)(random));
}

} // namespace

BOOST_AUTO_TEST_SUITE(HedgePolicyTests)

BOOST_AUTO_TEST_CASE(aSlidingQuantileFollowsTheLastMinute)
{
    SlidingQuantile quantile { SlidingQuantile::Options() };
    Instant now = start;
    for (int i = 1; i <= 1000; ++i, now += 10ms)
        quantile.add(std::chrono::milliseconds(i % 100), now);
    auto value = quantile.value(now);
    BOOST_REQUIRE(value);
    BOOST_TEST((*value >= 94ms && *value <= 96ms));
    for (int i = 0; i < 7000; ++i, now += 10ms)
        quantile.add(1ms, now);
    value = quantile.value(now);
    BOOST_TEST((value && *value == 1ms));
    BOOST_TEST(!quantile.value(now + 61s));
}

/** Guards against an estimate that fails, or stays at old times, at a rate above what an accumulator can hold. */
BOOST_AUTO_TEST_CASE(aSlidingQuantileOfManyObservationsStillFollows)
{
    SlidingQuantile quantile { SlidingQuantile::Options() };
    Instant now = start;
    for (int i = 0; i < 200'000; ++i, now += 500us)
        quantile.add(100ms, now);
    BOOST_TEST((quantile.value(now) == std::optional<Duration>(100ms)));
    for (int i = 0; i < 130'000; ++i, now += 500us)
        quantile.add(1ms, now);
    BOOST_TEST((quantile.value(now) == std::optional<Duration>(1ms)));
}

BOOST_AUTO_TEST_CASE(withARatioOfZeroNothingIsHedged)
{
    Replay replay(0);
    for (int i = 0; i < 500; ++i)
        replay.request(i % 2 == 0 ? slow : fast, fast);
    BOOST_TEST(replay.dueHedges == 0U);
    BOOST_TEST((replay.policy.tryHedge(service, Situation(), replay.retries, replay.now) == Obstacle::FewSamples));
}

/** One of 40 servers is slow: its requests are answered by others, and the delay stays that of the fast ones. */
BOOST_AUTO_TEST_CASE(requestsAtOneSlowServerAmongManyAreHedged)
{
    Replay replay(0.05);
    std::minstd_rand random(1);
    unsigned slowRequests = 0;
    unsigned slowAnswers = 0;
    for (int i = 0; i < 12'000; ++i) {
        bool isSlow = random() % 40 == 0;
        bool isWarm = i >= 500;
        Duration time = replay.request(near(isSlow ? slow : fast, random), near(fast, random));
        slowRequests += isWarm && isSlow ? 1 : 0;
        slowAnswers += isWarm && time > 100ms ? 1 : 0;
    }
    BOOST_TEST(slowRequests > 200U);
    BOOST_TEST(slowAnswers == 0U);
    BOOST_TEST((replay.policy.delay(service, replay.now) == std::optional<Duration>(20ms)));
    BOOST_TEST(replay.hedges <= replay.share * replay.requests);
}

/** Guards against hedges that add load while every server is slow: the ratio bounds them, and after a minute the delay has followed. */
BOOST_AUTO_TEST_CASE(whileAllServersAreSlowHedgesStayWithinTheRatioAndEnd)
{
    Replay replay(0.05);
    std::minstd_rand random(2);
    for (int i = 0; i < 6000; ++i)
        replay.request(near(fast, random), near(fast, random));
    unsigned before = replay.hedges;
    unsigned requestsBefore = replay.requests;
    for (int i = 0; i < 6000; ++i)
        replay.request(near(slow, random), near(slow, random));
    BOOST_TEST(replay.hedges > before);
    // What the minute before left of the ratio may be used as well.
    BOOST_TEST(replay.hedges - before <= replay.share * requestsBefore + replay.share * 6000);
    auto delay = replay.policy.delay(service, replay.now);
    BOOST_REQUIRE(delay);
    BOOST_TEST((*delay >= slow));
    unsigned due = replay.dueHedges;
    for (int i = 0; i < 1000; ++i)
        replay.request(near(slow, random), near(slow, random));
    // The slowest twentieth.
    BOOST_TEST(replay.dueHedges - due < 100U);
}

/** Guards against hedges that take the servers' time from requests that have not been sent at all. */
BOOST_AUTO_TEST_CASE(inABurstHedgingSwitchesItselfOffAndOnAgain)
{
    Replay replay(0.1);
    for (int i = 0; i < 1000; ++i)
        replay.request(fast, fast);
    replay.policy.addWaiting(service, 3);
    for (int i = 0; i < 20; ++i)
        replay.request(slow, fast);
    BOOST_TEST(replay.hedges == 0U);
    replay.policy.addWaiting(service, -3);
    Situation full;
    full.hasFreeServer = false;
    for (int i = 0; i < 20; ++i)
        replay.request(slow, fast, full);
    BOOST_TEST(replay.dueHedges == 40U);
    BOOST_TEST(replay.hedges == 0U);
    replay.policy.addWaiting(ServiceName("other"), 1);
    replay.request(slow, fast);
    BOOST_TEST(replay.hedges == 1U);
}

BOOST_AUTO_TEST_CASE(withTooFewRecentTimesNothingIsHedged)
{
    Replay replay(0.1);
    for (int i = 0; i < 99; ++i)
        replay.request(fast, fast);
    BOOST_TEST(!replay.policy.delay(service, replay.now));
    BOOST_TEST((replay.policy.tryHedge(service, Situation(), replay.retries, replay.now) == Obstacle::FewSamples));
    replay.request(fast, fast);
    BOOST_TEST((replay.policy.delay(service, replay.now) == std::optional<Duration>(20ms)));
    BOOST_TEST(!replay.policy.delay(ServiceName("other"), replay.now));
    BOOST_TEST(!replay.policy.delay(service, replay.now + 61s));
}

/** Guards against a hedge that is refused for one bound and still charged to the other. */
BOOST_AUTO_TEST_CASE(aUsedUpRetryBudgetOrRatioHoldsHedgesBack)
{
    Replay replay(0.1);
    for (int i = 0; i < 200; ++i)
        replay.request(fast, fast);
    RetryBudget small(RetryBudget::Options().withRatio(0).withAllowance(4));
    small.setHostCount(1);
    unsigned sent = 0;
    for (int i = 0; i < 10; ++i)
        sent += replay.policy.tryHedge(service, Situation(), small, replay.now) ? 0 : 1;
    BOOST_TEST(sent == 3U); // 0.8 of 4
    BOOST_TEST((replay.policy.tryHedge(service, Situation(), small, replay.now) == Obstacle::RetryBudget));
    while (!replay.policy.tryHedge(service, Situation(), replay.retries, replay.now))
        ++sent;
    BOOST_TEST(sent == 20U); // 0.1 of 200
    BOOST_TEST((replay.policy.tryHedge(service, Situation(), replay.retries, replay.now) == Obstacle::Ratio));
    unsigned resends = 0;
    while (replay.retries.tryResend(service, replay.now))
        ++resends;
    BOOST_TEST(resends == 960U - 17U); // 0.8 of 1000 and of 200 requests, without 17 hedges
}

BOOST_AUTO_TEST_CASE(aRequestIsNotHedgedWhileAnyConditionFails)
{
    Replay replay(0.1);
    for (int i = 0; i < 1000; ++i)
        replay.request(fast, fast);
    const std::pair<bool Situation::*, Obstacle> conditions[] = {
        { &Situation::isStopping, Obstacle::GatewayStops },
        { &Situation::isSuspect, Obstacle::Suspect },
        { &Situation::hasAttempt, Obstacle::NoAttempt },
        { &Situation::hasTime, Obstacle::NoTime },
        { &Situation::isAccessRevoked, Obstacle::AccessRevoked },
        { &Situation::hasPausedServer, Obstacle::ServersPaused },
        { &Situation::hasLimitedServer, Obstacle::ServersLimited },
        { &Situation::hasFreeServer, Obstacle::NoFreeServer },
    };
    for (auto [condition, obstacle] : conditions) {
        Situation situation;
        situation.*condition = !(situation.*condition);
        auto found = replay.policy.tryHedge(service, situation, replay.retries, replay.now);
        BOOST_TEST((found == obstacle), HedgePolicy::nameOf(obstacle));
    }
    BOOST_TEST(!replay.policy.tryHedge(service, Situation(), replay.retries, replay.now));
}

/** Over any run of events, the hedges of all hosts together stay within the ratio; and whenever a host sends one, its hedges are within the ratio and its sends after the first within its part of the retry budget, both in the last window. */
BOOST_AUTO_TEST_CASE(hedgesStayWithinTheRatioAndTheRetryBudget)
{
    bool holds = rc::check("sum over hosts", [] {
        constexpr std::size_t hosts = 3;
        constexpr double retryRatio = 0.2;
        constexpr double allowance = 12;
        double ratio = *rc::gen::inRange(1, 11) / 100.0;
        HedgePolicy::Options options = HedgePolicy::Options().withRatio(ratio);
        options.times.minimumSamples = 5;
        std::vector<HedgePolicy> policies;
        std::vector<RetryBudget> budgets;
        for (std::size_t i = 0; i < hosts; ++i) {
            policies.emplace_back(options);
            budgets.emplace_back(RetryBudget::Options().withRatio(retryRatio).withAllowance(static_cast<unsigned>(allowance)));
            budgets.back().setHostCount(hosts);
        }
        struct Sent {
            std::vector<Instant> requests;
            std::vector<Instant> hedges;
            std::vector<Instant> resends;
        };
        std::vector<Sent> sent(hosts);
        std::size_t requests = 0;
        std::size_t hedges = 0;
        Instant now = start;
        auto since = [&](const std::vector<Instant>& all, Duration window) {
            return static_cast<double>(std::count_if(all.begin(), all.end(), [&](Instant each) { return now - each <= window; }));
        };
        auto steps = *rc::gen::inRange(50, 600);
        for (int i = 0; i < steps; ++i) {
            now += std::chrono::milliseconds(*rc::gen::weightedElement<int>({ { 8, 0 }, { 8, 50 }, { 2, 700 }, { 1, 9000 } }));
            auto host = *rc::gen::inRange<std::size_t>(0, hosts);
            int event = *rc::gen::inRange(0, 8);
            if (event < 4) {
                auto count = *rc::gen::inRange(1, 15);
                for (int j = 0; j < count; ++j) {
                    policies[host].noteRequest(service, now);
                    budgets[host].noteRequest(service, now);
                    policies[host].noteHeadTime(service, std::chrono::milliseconds(j), now);
                    sent[host].requests.push_back(now);
                    ++requests;
                }
            } else if (event < 7) {
                if (!policies[host].tryHedge(service, Situation(), budgets[host], now)) {
                    ++hedges;
                    sent[host].hedges.push_back(now);
                    sent[host].resends.push_back(now);
                    // A window is a whole number of slices, of which the current one is incomplete.
                    RC_ASSERT(since(sent[host].hedges, 54s) <= ratio * since(sent[host].requests, 60s));
                    RC_ASSERT(since(sent[host].resends, 9s) <= retryRatio * since(sent[host].requests, 10s) + allowance / hosts);
                }
            } else if (budgets[host].tryResend(service, now))
                sent[host].resends.push_back(now);
            RC_ASSERT(static_cast<double>(hedges) <= ratio * static_cast<double>(requests));
        }
        RC_CLASSIFY(hedges > 0, "hedged");
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
