#include "gateway/QuotaLimiter.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <numeric>
#include <rapidcheck.h>

using namespace hemlockchute;

namespace {

using Admission = QuotaLimiter::Admission;

constexpr Instant start(1h);
constexpr double perSecond = 10'000;
constexpr double burst = 10'000;
constexpr double overshoot = 0.1;
constexpr double slack = 5'000;
constexpr Duration window = 8s;

Workspace workspace(double rate = perSecond)
{
    return { WorkspaceName("lab"), { "k" }, std::nullopt, Quota { Quota::Unit::Token, 200, rate, burst } };
}

QuotaPool pool()
{
    QuotaPool made(QuotaPool::Options().withWindow(window).withOvershoot(overshoot).withSlack(slack));
    made.setQuotas({ workspace() }, start);
    return made;
}

/** A leader's pool and hosts that poll it, with messages that may be lost. */
struct Fleet {
    explicit Fleet(std::size_t hosts)
        : limiters(hosts, QuotaLimiter(QuotaLimiter::Options()))
    {
        for (QuotaLimiter& each : limiters)
            each.setQuotas({ workspace() });
        leader.beginTerm(now);
    }

    void poll(std::size_t host, bool isReplyLost = false, QuotaPool* elsewhere = nullptr)
    {
        QuotaPool& at = elsewhere ? *elsewhere : leader;
        auto grants = at.take(HostName("edge-" + std::to_string(host)), limiters[host].takeReports(now), now);
        if (!isReplyLost)
            limiters[host].applyGrants(grants, now, now);
    }

    /** True if the request was admitted and sent. */
    bool request(std::size_t host, std::uint64_t cost)
    {
        limiters[host].noteArrival(workspace(), cost, now);
        if (limiters[host].take(workspace(), cost, now) != Admission::Granted) {
            limiters[host].noteRefused(WorkspaceName("lab"), cost);
            return false;
        }
        limiters[host].noteSent(WorkspaceName("lab"), cost);
        used.emplace_back(now, static_cast<double>(cost));
        return true;
    }

    /** Units used in the window that ends now. */
    double usedInWindow()
    {
        while (!used.empty() && now - used.front().first >= window)
            used.pop_front();
        return std::accumulate(used.begin(), used.end(), 0.0, [](double sum, const auto& each) { return sum + each.second; });
    }

    Instant now = start;
    QuotaPool leader = pool();
    std::vector<QuotaLimiter> limiters;
    std::deque<std::pair<Instant, double>> used;
};

constexpr double allowedInWindow = (perSecond * 8 + burst) * (1 + overshoot) + slack;

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaLimiterTests)

/** For any order of requests, lost replies, restarts, silent hosts and changes of the leader, the use in every window stays within its bound. */
BOOST_AUTO_TEST_CASE(theUseInEveryWindowStaysWithinTheBound)
{
    bool holds = rc::check("use of a quota", [] {
        constexpr std::size_t hosts = 5;
        Fleet fleet(hosts);
        auto steps = *rc::gen::inRange(100, 900);
        for (int i = 0; i < steps; ++i) {
            fleet.now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
            auto host = *rc::gen::inRange<std::size_t>(0, hosts);
            switch (*rc::gen::inRange(0, 40)) {
            case 0:
                fleet.limiters[host] = QuotaLimiter(QuotaLimiter::Options());
                fleet.limiters[host].setQuotas({ workspace() });
                break;
            case 1:
                // The next leader knows nothing of what hosts hold.
                fleet.leader = pool();
                fleet.leader.beginTerm(fleet.now);
                break;
            case 2:
                fleet.now += std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
                break;
            case 3:
                fleet.poll(host, true);
                break;
            default:
                if (*rc::gen::inRange(0, 3) == 0)
                    fleet.poll(host);
                else
                    fleet.request(host, *rc::gen::inRange<std::uint64_t>(1, 3000));
            }
            RC_ASSERT(fleet.usedInWindow() <= allowedInWindow);
        }
    });
    BOOST_TEST(holds);
}

/** Load: a workspace within its quota, all of whose requests reach one host at a time and then another one. */
BOOST_AUTO_TEST_CASE(aWorkspaceWithinItsQuotaIsServedWhereverItsRequestsCome)
{
    constexpr std::size_t hosts = 70;
    constexpr std::uint64_t cost = 700;
    constexpr Duration step = 100ms;
    constexpr Duration shift = 5s;
    Fleet fleet(hosts);
    unsigned sent = 0;
    unsigned admitted = 0;
    double due = 0;
    for (; fleet.now < start + 60s; fleet.now += step) {
        for (std::size_t host = 0; host < hosts; ++host)
            fleet.poll(host);
        auto busy = static_cast<std::size_t>((fleet.now - start) / shift) % hosts;
        // 97 in 100 of the rate.
        for (due += 0.97 * perSecond * 0.1; due >= cost; due -= cost) {
            ++sent;
            bool isAdmitted = fleet.request(busy, cost);
            fleet.poll(busy);
            admitted += isAdmitted || fleet.request(busy, cost) ? 1 : 0;
        }
    }
    BOOST_TEST(admitted >= 0.97 * sent);
}

/** Load: a workspace that sends seven times its quota through all hosts gets its quota, and other workspaces lose nothing by it. */
BOOST_AUTO_TEST_CASE(whatIsBeyondTheQuotaIsRefusedAndNotTheRest)
{
    constexpr std::size_t hosts = 20;
    constexpr std::uint64_t cost = 700;
    Fleet fleet(hosts);
    double admitted = 0;
    double due = 0;
    std::size_t host = 0;
    for (Instant next = start; fleet.now < start + 24s; fleet.now += 10ms) {
        if (fleet.now >= next) {
            for (std::size_t each = 0; each < hosts; ++each)
                fleet.poll(each);
            next += 200ms;
        }
        for (due += 7 * perSecond * 0.01; due >= cost; due -= cost) {
            if (fleet.request(host++ % hosts, cost) && fleet.now >= start + 8s)
                admitted += cost;
        }
        BOOST_REQUIRE(fleet.usedInWindow() <= allowedInWindow);
    }
    BOOST_TEST(admitted >= 0.97 * perSecond * 16);
}

/** Guards against a host that uses units of which the leader has disposed. */
BOOST_AUTO_TEST_CASE(unitsAreLostWithTheConfirmation)
{
    Fleet fleet(1);
    fleet.now += 4s;
    BOOST_TEST(!fleet.request(0, 700));
    fleet.poll(0);
    BOOST_TEST(fleet.request(0, 700));
    BOOST_TEST((fleet.limiters[0].held(WorkspaceName("lab"), fleet.now) > 0));
    fleet.now += 3s;
    BOOST_TEST((fleet.limiters[0].take(workspace(), 1, fleet.now) == Admission::Unconfirmed));
    BOOST_TEST(fleet.limiters[0].held(WorkspaceName("lab"), fleet.now) == 0U);
}

/** A request that no server has run costs nothing. */
BOOST_AUTO_TEST_CASE(unusedUnitsAreGivenBackAndCountAsHeldUntilTheyAreSent)
{
    Fleet fleet(1);
    fleet.now += 4s;
    fleet.request(0, 700);
    fleet.poll(0);
    QuotaLimiter& limiter = fleet.limiters[0];
    std::uint64_t held = limiter.held(WorkspaceName("lab"), fleet.now);
    BOOST_REQUIRE((limiter.take(workspace(), 700, fleet.now) == Admission::Granted));
    BOOST_TEST(limiter.takeReports(fleet.now).front().held == held);
    limiter.giveBack(WorkspaceName("lab"), 700, false, fleet.now);
    BOOST_TEST(limiter.held(WorkspaceName("lab"), fleet.now) == held);
}

/** Load: hosts behind a relay; what the relay divides is a part of what the leader granted to it. */
BOOST_AUTO_TEST_CASE(aRelayGrantsNoMoreThanItGot)
{
    Fleet fleet(3);
    QuotaPool relay { QuotaPool::Options() };
    double fromLeader = 0;
    fleet.now += 4s;
    for (int i = 0; i < 200; ++i, fleet.now += 50ms) {
        auto grants = fleet.leader.take(HostName("relay"), relay.reports(fleet.now), fleet.now);
        for (const QuotaGrant& grant : grants)
            fromLeader += static_cast<double>(grant.granted);
        relay.deposit(grants, fleet.now);
        for (std::size_t host = 0; host < 3; ++host) {
            fleet.poll(host, false, &relay);
            fleet.request(host, 700);
        }
    }
    double total = std::accumulate(fleet.used.begin(), fleet.used.end(), 0.0, [](double sum, const auto& each) { return sum + each.second; });
    BOOST_TEST(total <= fromLeader);
    BOOST_TEST(total >= 0.9 * perSecond * 10);
    BOOST_TEST(fleet.usedInWindow() <= allowedInWindow);
}

/** Guards against 16 workspaces and 1,000 of them costing the same in messages. */
BOOST_AUTO_TEST_CASE(onlyWorkspacesWithDemandAreReportedAmongMany)
{
    QuotaLimiter limiter { QuotaLimiter::Options() };
    std::vector<Workspace> many(1000, workspace());
    for (std::size_t i = 0; i < many.size(); ++i)
        many[i].name = WorkspaceName("w" + std::to_string(i));
    limiter.setQuotas(many);
    BOOST_TEST(limiter.takeReports(start).empty());
    limiter.noteArrival(many[7], 700, start);
    BOOST_TEST(limiter.takeReports(start).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
