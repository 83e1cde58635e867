#include "gateway/PromptPartMonitor.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

const PromptPartKey deadly(1);
const PromptPartKey other(2);
const std::vector<PromptPartKey> parts { deadly, other };

ServerIncarnation server(unsigned number)
{
    return { BackendServerName("s-" + std::to_string(number)), 1 };
}

struct MonitorFixture {
    void breakConnection(unsigned number, Duration sent, Duration ended) { monitor.noteBroken({ server(number), parts, now + sent, now + ended }); }

    /** Three servers end in a row under requests with these parts. */
    void crashThree()
    {
        for (unsigned i = 0; i < 3; ++i) {
            breakConnection(i, i * 100ms, i * 100ms + 50ms);
            monitor.noteEnded(server(i), now + i * 100ms + 60ms);
        }
    }

    Instant now { 1h };
    PromptPartMonitor monitor { PromptPartMonitor::Options() };
};

bool isListed(const ServerIncarnation&)
{
    return true;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(PromptPartMonitorTests, MonitorFixture)

BOOST_AUTO_TEST_CASE(aBrokenConnectionToAServerThatWentOnIsNoCrash)
{
    breakConnection(1, 0ms, 10ms);
    monitor.noteAccepting(server(1), now + 20ms);
    monitor.update(isListed, now + 5s);
    monitor.noteEnded(server(1), now + 6s);
    BOOST_TEST(monitor.takeReport(now).crashes.empty());
}

BOOST_AUTO_TEST_CASE(aServerThatLeavesTheListAfterItsConnectionBrokeHasCrashed)
{
    breakConnection(1, 0ms, 10ms);
    breakConnection(2, 0ms, 10ms);
    monitor.update([](const ServerIncarnation& life) { return life == server(2); }, now + 1s);
    std::vector<ServerCrash> crashes = monitor.takeReport(now).crashes;
    BOOST_REQUIRE(crashes.size() == 1U);
    BOOST_TEST((crashes.front().server == server(1)));
    BOOST_TEST((crashes.front().parts == parts));
}

BOOST_AUTO_TEST_CASE(aVerdictIsExpectedForAWhileAfterACrash)
{
    BOOST_TEST(!monitor.expectsVerdict(now));
    breakConnection(1, 0ms, 10ms);
    BOOST_TEST(!monitor.expectsVerdict(now));
    monitor.noteEnded(server(1), now);
    BOOST_TEST(monitor.expectsVerdict(now + 500ms));
    BOOST_TEST(!monitor.expectsVerdict(now + 5s));
    monitor.applyVerdicts({ { deadly, false, {} } }, {}, now + 5s);
    BOOST_TEST(monitor.expectsVerdict(now + 5s));
    monitor.applyVerdicts({ { deadly, true, {} } }, {}, now + 5s);
    BOOST_TEST(!monitor.expectsVerdict(now + 5s));
}

BOOST_AUTO_TEST_CASE(theLeadersVerdictIsApplied)
{
    BOOST_TEST(!monitor.decide(parts, now).isRefused);
    monitor.applyVerdicts({ { deadly, true, 4s } }, {}, now);
    PromptPartMonitor::Decision decision = monitor.decide(parts, now + 1s);
    BOOST_TEST(decision.isRefused);
    BOOST_TEST((decision.retryAfter == 3s));
    BOOST_TEST(!decision.isTrialDue);
    monitor.applyVerdicts({ { deadly, true, {} } }, {}, now);
    BOOST_TEST(monitor.decide(parts, now).isTrialDue);
    BOOST_TEST(!monitor.decide({ other }, now).isRefused);
    PromptPartReport report = monitor.takeReport(now);
    BOOST_TEST((report.refused == std::vector<std::vector<PromptPartKey>> { { deadly } }));
    BOOST_TEST((report.quarantined == std::vector<SuspectPart> { { deadly, true, {} } }));
    monitor.applyVerdicts({}, {}, now);
    BOOST_TEST(!monitor.decide(parts, now).isRefused);
}

BOOST_AUTO_TEST_CASE(aSuspectPartIsServedButNotResent)
{
    monitor.applyVerdicts({ { deadly, false, {} } }, {}, now);
    BOOST_TEST(!monitor.decide(parts, now).isRefused);
    BOOST_TEST(monitor.isSuspect(parts));
    BOOST_TEST(!monitor.isSuspect({ other }));
}

BOOST_AUTO_TEST_CASE(aTrialLetsOneRequestThrough)
{
    monitor.applyVerdicts({ { deadly, true, {} } }, { deadly }, now);
    BOOST_TEST(monitor.decide(parts, now).isTrial);
    BOOST_TEST(monitor.decide(parts, now).isRefused);
    // A permission that nobody used in time is void.
    monitor.applyVerdicts({ { deadly, true, {} } }, { deadly }, now);
    BOOST_TEST(monitor.decide(parts, now + 1min).isRefused);
}

BOOST_AUTO_TEST_CASE(aRequestWithTwoQuarantinedPartsIsATrialOnlyIfBothAreLeftToIt)
{
    monitor.applyVerdicts({ { deadly, true, {} }, { other, true, {} } }, { other }, now);
    PromptPartMonitor::Decision decision = monitor.decide(parts, now);
    BOOST_TEST((decision.isRefused && !decision.isTrialDue && decision.retryAfter > Duration::zero()));
    BOOST_TEST((monitor.takeReport(now).refused == std::vector<std::vector<PromptPartKey>> { parts }));
    BOOST_TEST(monitor.decide({ other }, now).isTrial);
    monitor.applyVerdicts({ { deadly, true, {} }, { other, true, {} } }, { deadly, other }, now);
    BOOST_TEST(monitor.decide(parts, now).isTrial);
    BOOST_TEST(monitor.decide(parts, now).isRefused);
    BOOST_TEST(monitor.decide({ other }, now).isRefused);
}

BOOST_AUTO_TEST_CASE(aNewLeaderIsToldWhenTheNextTrialIsAndHowManyFailed)
{
    monitor.applyVerdicts({ { deadly, true, 10s, 3 } }, {}, now);
    std::vector<SuspectPart> told = monitor.takeReport(now + 4s).quarantined;
    BOOST_TEST((told == std::vector<SuspectPart> { { deadly, true, 6s, 3 } }));
}

BOOST_AUTO_TEST_CASE(withoutALeaderTheGatewayDecidesByItsOwnEvidence)
{
    monitor.applyVerdicts({}, {}, now - 1min);
    crashThree();
    BOOST_TEST(monitor.decide(parts, now + 300ms).isRefused);
    monitor.update(isListed, now + 400ms);
    // The verdict is told to the next leader.
    BOOST_TEST(monitor.takeReport(now).quarantined.size() == 2U);
    monitor.noteProgress({ other }, now + 500ms);
    BOOST_TEST(!monitor.decide({ other }, now + 600ms).isRefused);
    BOOST_TEST(monitor.decide(parts, now + 600ms).isRefused);
}

/** A part that was quarantined just before the contact was lost may have stood beside the one at fault. */
BOOST_AUTO_TEST_CASE(withoutALeaderAPartOfWhichNoTrialFailedStaysQuarantined)
{
    monitor.applyVerdicts({ { other, true, 400ms, 0 }, { deadly, true, 400ms, 1 } }, {}, now);
    monitor.update(isListed, now + 3s);
    BOOST_TEST(monitor.decide({ other }, now + 3s).isRefused);
    BOOST_TEST((monitor.decide({ other }, now + 3s).retryAfter > Duration::zero()));
    BOOST_TEST(monitor.decide({ other }, now + 6s).isTrial);
    BOOST_TEST(monitor.decide({ other }, now + 6s).isRefused);
    monitor.noteProgress({ other }, now + 6s);
    BOOST_TEST(!monitor.decide({ other }, now + 6s).isRefused);
    // One of which a trial has failed is left to the next leader.
    BOOST_TEST(monitor.decide({ deadly }, now + 1min).isRefused);
}

BOOST_AUTO_TEST_CASE(withALeaderItsVerdictCountsAndNotTheOwn)
{
    monitor.applyVerdicts({}, {}, now);
    crashThree();
    BOOST_TEST(!monitor.decide(parts, now + 300ms).isRefused);
    BOOST_TEST(monitor.isSuspect(parts));
    BOOST_TEST(monitor.takeReport(now).crashes.size() == 3U);
}

BOOST_AUTO_TEST_CASE(aReportThatWasLostIsSentAgain)
{
    crashThree();
    monitor.noteProgress({ other }, now);
    PromptPartReport lost = monitor.takeReport(now);
    BOOST_TEST(monitor.takeReport(now).crashes.empty());
    monitor.restoreReport(std::move(lost));
    PromptPartReport again = monitor.takeReport(now);
    BOOST_TEST(again.crashes.size() == 3U);
    BOOST_TEST(again.progress.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
