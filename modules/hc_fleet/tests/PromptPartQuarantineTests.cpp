#include "hemlockchute/fleet/PromptPartQuarantine.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

const PromptPartKey common(1);
const PromptPartKey deadly(2);
const PromptPartKey rare(3);

struct QuarantineFixture {
    /** A request was sent to the server, which ended some time later. */
    std::vector<PromptPartKey> crash(unsigned server, std::vector<PromptPartKey> parts, Duration sent, Duration ended)
    {
        return quarantine.noteCrash({ { BackendServerName("s-" + std::to_string(server)), 1 }, std::move(parts), start + sent, start + ended }, start + ended + 1ms);
    }

    bool progress(PromptPartKey part, Duration at) { return quarantine.noteProgress({ part, start + at }, start + at + 1ms); }

    /** Crashes three servers in a row from the given time on. */
    void quarantineDeadly(Duration from = 0ms)
    {
        for (unsigned i = 0; i < 3; ++i)
            crash(m_server++, { deadly }, from + i * 100ms, from + i * 100ms + 50ms);
    }

    /** Lets every permitted trial crash its server; returns the times of the trials. */
    std::vector<Duration> playTrials(const std::vector<PromptPartKey>& parts, Duration end, Duration from = 300ms)
    {
        std::vector<Duration> trials;
        for (Duration at = from; at < end; at += 50ms) {
            for (PromptPartKey part : parts) {
                if (!quarantine.takeTrial({ part }, start + at))
                    continue;
                trials.push_back(at);
                crash(m_server++, { part }, at, at + 50ms);
            }
        }
        return trials;
    }

    Instant start { 1h };
    PromptPartQuarantine quarantine { PromptPartQuarantine::Options() };

private:
    unsigned m_server = 100;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PromptPartQuarantineTests, QuarantineFixture)

BOOST_AUTO_TEST_CASE(threeCrashesInARowQuarantineAPart)
{
    BOOST_TEST(crash(1, { common, deadly }, 0ms, 50ms).empty());
    BOOST_TEST(!quarantine.isSuspect(deadly));
    BOOST_TEST(crash(2, { common, deadly }, 51ms, 100ms).empty());
    BOOST_TEST(quarantine.isSuspect(deadly));
    progress(common, 120ms);
    std::vector<PromptPartKey> quarantined = crash(3, { common, deadly }, 101ms, 150ms);
    BOOST_TEST((quarantined == std::vector<PromptPartKey> { deadly }));
    BOOST_TEST(quarantine.isQuarantined(deadly));
    BOOST_TEST(!quarantine.isSuspect(common));
}

BOOST_AUTO_TEST_CASE(serversThatEndAtTheSameMomentCountOnce)
{
    for (unsigned server = 1; server <= 10; ++server)
        BOOST_TEST(crash(server, { rare }, 10ms * server, 500ms + 1ms * server).empty());
    BOOST_TEST(!quarantine.isSuspect(rare));
}

BOOST_AUTO_TEST_CASE(requestsAtOneServerCountOnce)
{
    for (unsigned request = 0; request < 5; ++request)
        BOOST_TEST(crash(1, { rare }, 100ms * request, 100ms * request + 50ms).empty());
    BOOST_TEST(!quarantine.isSuspect(rare));
}

BOOST_AUTO_TEST_CASE(anAnswerThatBeginsAfterACrashClearsItsParts)
{
    crash(1, { rare }, 0ms, 50ms);
    crash(2, { rare }, 60ms, 100ms);
    progress(rare, 130ms);
    BOOST_TEST(crash(3, { rare }, 140ms, 200ms).empty());
    BOOST_TEST(!quarantine.isSuspect(rare));
}

BOOST_AUTO_TEST_CASE(reportsThatArriveInAnyOrderGiveTheSameVerdict)
{
    // Two hosts report crashes of which the later arrives first, and an answer that was begun after an earlier crash.
    crash(3, { deadly, rare }, 101ms, 150ms);
    progress(rare, 160ms);
    crash(1, { deadly, rare }, 0ms, 50ms);
    BOOST_TEST((crash(2, { deadly, rare }, 51ms, 100ms) == std::vector<PromptPartKey> { deadly }));
    BOOST_TEST(!quarantine.isSuspect(rare));
}

/** Crashes are reported at once, begun answers with the next report of their host. */
BOOST_AUTO_TEST_CASE(anAnswerThatBeganBetweenTwoCrashesAndIsReportedAfterThemClearsTheEarlierOnes)
{
    crash(1, { deadly, rare }, 0ms, 50ms);
    crash(2, { deadly, rare }, 60ms, 100ms);
    crash(3, { deadly, rare }, 110ms, 150ms);
    BOOST_TEST((quarantine.isQuarantined(deadly) && quarantine.isQuarantined(rare)));
    BOOST_TEST(progress(rare, 105ms));
    BOOST_TEST(!quarantine.isSuspect(rare));
    BOOST_TEST(quarantine.isQuarantined(deadly));
    crash(4, { rare }, 160ms, 200ms);
    BOOST_TEST(!quarantine.isQuarantined(rare));
    BOOST_TEST((crash(5, { rare }, 210ms, 250ms) == std::vector<PromptPartKey> { rare }));
}

BOOST_AUTO_TEST_CASE(anOutdatedCrashReportHasNoEffect)
{
    quarantineDeadly();
    BOOST_TEST(quarantine.isQuarantined(deadly));
    PromptPartQuarantine other { PromptPartQuarantine::Options() };
    for (unsigned server = 1; server <= 3; ++server)
        BOOST_TEST(other.noteCrash({ { BackendServerName(std::to_string(server)), 1 }, { rare }, start + 100ms * server, start + 100ms * server + 1ms }, start + 1min).empty());
}

BOOST_AUTO_TEST_CASE(trialsOfAPartThatKeepsCrashingServersBecomeRare)
{
    quarantineDeadly();
    std::vector<Duration> trials = playTrials({ deadly }, 60s);
    // After the fifth crash and the time to hear of it at most three are allowed, in a day of a minute.
    BOOST_TEST(trials.size() >= 3U);
    BOOST_TEST((trials.front() < 3s));
    BOOST_TEST(std::count_if(trials.begin(), trials.end(), [&](Duration at) { return at > trials[1] + 3s; }) <= 3);
}

BOOST_AUTO_TEST_CASE(twoPartsHaveFewMoreTrialsThanOne)
{
    quarantineDeadly();
    for (unsigned i = 0; i < 3; ++i)
        crash(50 + i, { rare }, i * 100ms, i * 100ms + 50ms);
    std::vector<Duration> trials = playTrials({ deadly, rare }, 60s);
    BOOST_TEST(std::count_if(trials.begin(), trials.end(), [&](Duration at) { return at > 4s; }) <= 3);
}

BOOST_AUTO_TEST_CASE(aTrialThatNoServerRanIsRepeatedSoon)
{
    quarantineDeadly();
    BOOST_TEST(quarantine.takeTrial({ deadly }, start + 1s));
    BOOST_TEST(!quarantine.takeTrial({ deadly }, start + 2s));
    BOOST_TEST(quarantine.takeTrial({ deadly }, start + 4s));
    BOOST_TEST(!quarantine.takeTrial({ deadly }, start + 7s));
    BOOST_TEST(quarantine.takeTrial({ deadly }, start + 9s));
}

BOOST_AUTO_TEST_CASE(anAnswerThatBeginsInATrialEndsTheQuarantine)
{
    quarantineDeadly();
    BOOST_TEST(quarantine.takeTrial({ deadly }, start + 3s));
    BOOST_TEST(!quarantine.takeTrial({ deadly }, start + 3s));
    BOOST_TEST(progress(deadly, 3100ms));
    BOOST_TEST(!quarantine.isQuarantined(deadly));
    BOOST_TEST(quarantine.suspects(start + 4s).empty());
}

BOOST_AUTO_TEST_CASE(aPartThatWasSoundAndCrashesServersLaterIsQuarantined)
{
    progress(deadly, 0ms);
    progress(deadly, 200ms);
    quarantineDeadly(300ms);
    BOOST_TEST(quarantine.isQuarantined(deadly));
    progress(deadly, 2s);
    BOOST_TEST(!quarantine.isQuarantined(deadly));
    quarantineDeadly(5s);
    BOOST_TEST(quarantine.isQuarantined(deadly));
}

BOOST_AUTO_TEST_CASE(aNewLeaderAdoptsQuarantinesButNoneThatEnded)
{
    BOOST_TEST(quarantine.adopt({ deadly, true, {}, 1 }, start));
    BOOST_TEST(!quarantine.adopt({ deadly, true, {}, 1 }, start));
    BOOST_TEST(quarantine.isQuarantined(deadly));
    BOOST_TEST(!quarantine.takeTrial({ deadly }, start + 3s));
    progress(deadly, 5s);
    BOOST_TEST(!quarantine.adopt({ deadly, true, {}, 1 }, start + 6s));
}

BOOST_AUTO_TEST_CASE(trialsOfAPartBecomeRareAlsoIfTheLeaderChangesOften)
{
    quarantineDeadly();
    std::vector<Duration> trials;
    for (Duration at = 300ms; at < 90s; at += 9s) {
        std::vector<Duration> more = playTrials({ deadly }, at + 9s, at);
        trials.insert(trials.end(), more.begin(), more.end());
        std::vector<SuspectPart> known = quarantine.suspects(start + at + 9s);
        quarantine = PromptPartQuarantine(PromptPartQuarantine::Options());
        for (const SuspectPart& part : known)
            quarantine.adopt(part, start + at + 9s);
    }
    BOOST_REQUIRE(trials.size() >= 2U);
    BOOST_TEST(std::count_if(trials.begin(), trials.end(), [&](Duration at) { return at > trials[1] + 3s; }) <= 3);
}

BOOST_AUTO_TEST_CASE(aNewLeaderTriesAPartSoonOfWhichNoTrialFailed)
{
    BOOST_TEST(quarantine.adopt({ deadly, true, 400ms, 0 }, start));
    BOOST_TEST(quarantine.takeTrial({ deadly }, start + 3s));
}

BOOST_AUTO_TEST_CASE(partsThatAlwaysComeTogetherAreTriedTogether)
{
    for (unsigned i = 0; i < 3; ++i)
        crash(i, { common, rare }, i * 100ms, i * 100ms + 50ms);
    BOOST_TEST((quarantine.isQuarantined(common) && quarantine.isQuarantined(rare)));
    BOOST_TEST(!quarantine.takeTrial({ common, rare }, start + 1s));
    BOOST_TEST(quarantine.takeTrial({ common, rare }, start + 4s));
    BOOST_TEST(!quarantine.takeTrial({ common, rare }, start + 4s));
    BOOST_TEST(progress(common, 4100ms));
    BOOST_TEST(progress(rare, 4100ms));
    BOOST_TEST(quarantine.suspects(start + 5s).empty());
}

BOOST_AUTO_TEST_CASE(aPartThatAlsoComesAloneIsTriedAlone)
{
    for (unsigned i = 0; i < 3; ++i)
        crash(i, { common, deadly }, i * 100ms, i * 100ms + 50ms);
    BOOST_TEST(!quarantine.takeTrial({ common, deadly }, start + 1s));
    BOOST_TEST(quarantine.takeTrial({ common }, start + 1s));
    BOOST_TEST(progress(common, 1100ms));
    BOOST_TEST(!quarantine.takeTrial({ common, deadly }, start + 10s));
    BOOST_TEST(quarantine.takeTrial({ deadly }, start + 10s));
}

BOOST_AUTO_TEST_CASE(trialsOfPartsThatCrashServersTogetherBecomeRare)
{
    for (unsigned i = 0; i < 3; ++i)
        crash(i, { rare, deadly }, i * 100ms, i * 100ms + 50ms);
    std::vector<Duration> trials;
    for (Duration at = 300ms; at < 60s; at += 50ms) {
        if (!quarantine.takeTrial({ rare, deadly }, start + at))
            continue;
        crash(10 + static_cast<unsigned>(trials.size()), { rare, deadly }, at, at + 50ms);
        trials.push_back(at);
    }
    BOOST_TEST(trials.size() >= 3U);
    BOOST_TEST(std::count_if(trials.begin(), trials.end(), [&](Duration at) { return at > trials[1] + 3s; }) <= 3);
}

BOOST_AUTO_TEST_CASE(partsThatCallersMakeUpTakeBoundedMemory)
{
    PromptPartQuarantine::Options options;
    options.maximumParts = 100;
    quarantine = PromptPartQuarantine(options);
    quarantineDeadly();
    for (unsigned i = 0; i < 1000; ++i) {
        crash(1000 + i, { PromptPartKey(1000 + i) }, 1s, 1s + 1ms * i);
        progress(PromptPartKey(5000 + i), 1s + 1ms * i);
    }
    BOOST_TEST(quarantine.isQuarantined(deadly));
    quarantine.expire(start + 1h);
    BOOST_TEST(quarantine.suspects(start + 1h).empty());
}

BOOST_AUTO_TEST_CASE(theLastPartOfAPromptIsNotShared)
{
    RequestMetadata request;
    BOOST_TEST(sharedPartKeys(request).empty());
    request.promptParts = { { "a", 1 }, { "b", 1 }, { "a", 1 }, { "own", 1 } };
    BOOST_TEST(sharedPartKeys(request).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
