#include "hemlockchute/fleet/PromptPartQuarantine.h"

#include "CostRatio.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

const PromptPartKey common(1);
const PromptPartKey deadly(2);
const PromptPartKey rare(3);

/** The key of a request with this body. */
RequestKey requestOf(const std::string& body)
{
    return requestKeyOf({ "POST", "/a/1", { { "Host", "h" } }, body });
}

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

BOOST_AUTO_TEST_CASE(aRequestsKeyIsThatOfItsPathAndBodyWhateverItsAttempt)
{
    BOOST_TEST((requestKeyOf({ "POST", "/a/1", { { "Host", "h" }, { "X-Attempt", "1" } }, "b" }) == requestKeyOf({ "POST", "/a/1", { { "Host", "h" }, { "X-Attempt", "2" } }, "b" })));
    BOOST_TEST((requestOf("b") != requestOf("c")));
    BOOST_TEST((requestKeyOf({ "GET", "/a/1", {}, "" }) != requestKeyOf({ "GET", "/a/2", {}, "" })));
    BOOST_TEST(isRequestKey(requestOf("b")));
    RequestMetadata request;
    for (unsigned i = 0; i < 100; ++i)
        request.promptParts.push_back({ "part-" + std::to_string(i), 1 });
    for (PromptPartKey part : sharedPartKeys(request))
        BOOST_TEST(!isRequestKey(part));
}

BOOST_AUTO_TEST_CASE(crashesUnderOneRequestAreHeldAgainstItAndNotAgainstItsParts)
{
    RequestKey request = requestOf("b");
    for (unsigned i = 0; i < 2; ++i)
        BOOST_TEST(crash(i, { request, common, rare }, 100ms * i, 100ms * i + 50ms).empty());
    BOOST_TEST(quarantine.isSuspect(request));
    BOOST_TEST((crash(2, { request, common, rare }, 200ms, 250ms) == std::vector<PromptPartKey> { request }));
    BOOST_TEST((!quarantine.isSuspect(common) && !quarantine.isSuspect(rare)));
    // More of them, which were on their way, change nothing.
    BOOST_TEST(crash(3, { request, common, rare }, 300ms, 350ms).empty());
    BOOST_TEST((!quarantine.isSuspect(common) && !quarantine.isSuspect(rare)));
}

BOOST_AUTO_TEST_CASE(crashesUnderDifferentRequestsAreHeldAgainstTheirCommonPart)
{
    for (unsigned i = 0; i < 3; ++i)
        crash(i, { requestOf(std::to_string(i)), deadly }, 100ms * i, 100ms * i + 50ms);
    BOOST_TEST(quarantine.isQuarantined(deadly));
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(!quarantine.isSuspect(requestOf(std::to_string(i))));
}

/** A caller's repeats go to servers at which others wait, which are resent to the next server as well. */
BOOST_AUTO_TEST_CASE(requestsThatStoodBesideOneThatCrashesServersAreReleasedOnceItIsKnown)
{
    RequestKey guilty = requestOf("guilty");
    RequestKey beside = requestOf("beside");
    for (unsigned i = 0; i < 3; ++i) {
        crash(i, { beside, rare }, 100ms * i + 1ms, 100ms * i + 50ms);
        crash(i, { guilty, common }, 100ms * i, 100ms * i + 50ms);
    }
    BOOST_TEST(quarantine.isQuarantined(guilty));
    crash(3, { guilty, common }, 300ms, 350ms);
    BOOST_TEST(quarantine.isQuarantined(guilty));
    BOOST_TEST((!quarantine.isQuarantined(beside) && !quarantine.isSuspect(rare)));
    // Neither is a report that comes late held against them.
    crash(3, { requestOf("late"), rare }, 301ms, 350ms);
    BOOST_TEST((!quarantine.isSuspect(requestOf("late")) && !quarantine.isSuspect(rare)));
}

BOOST_AUTO_TEST_CASE(anAnswerToARequestThatIsBegunClearsIt)
{
    RequestKey request = requestOf("b");
    for (unsigned i = 0; i < 3; ++i)
        crash(i, { request }, 100ms * i, 100ms * i + 50ms);
    BOOST_TEST(progress(request, 400ms));
    BOOST_TEST((!quarantine.isSuspect(request) && !quarantine.isAccused(request)));
}

/** The users allow three in a day. */
BOOST_AUTO_TEST_CASE(trialsOfARequestAreFewInAnHourAlsoIfTheLeaderChangesOften)
{
    for (bool doLeadersChange : { false, true }) {
        RequestKey request = requestOf("b");
        quarantine = PromptPartQuarantine(PromptPartQuarantine::Options());
        for (unsigned i = 0; i < 3; ++i)
            crash(i, { request, common }, 100ms * i, 100ms * i + 50ms);
        unsigned trials = 0;
        for (Duration at = 400ms; at < 1h; at += 1s) {
            if (quarantine.takeTrial({ request }, start + at))
                crash(10 + trials++, { request, common }, at, at + 50ms);
            if (doLeadersChange && at % 10s == 400ms) {
                std::vector<SuspectPart> known = quarantine.suspects(start + at);
                quarantine = PromptPartQuarantine(PromptPartQuarantine::Options());
                for (const SuspectPart& each : known)
                    quarantine.adopt(each, start + at);
            }
            quarantine.expire(start + at);
        }
        BOOST_TEST(trials <= 3U);
        BOOST_TEST(trials >= 2U);
        BOOST_TEST(quarantine.isQuarantined(request));
    }
}

/** Guards against a comparison of every part of a prompt with every other one. */
BOOST_AUTO_TEST_CASE(theCostOfKeysGrowsInProportionToTheParts)
{
    CostRatio cost(2000, 16000);
    double ratio = cost.measure([](std::size_t parts) {
        RequestMetadata request;
        for (std::size_t i = 0; i <= parts; ++i)
            request.promptParts.push_back({ std::to_string(i), 1 });
        BOOST_TEST(sharedPartKeys(request).size() == parts);
    });
    BOOST_TEST(ratio < cost.limit());
}

BOOST_AUTO_TEST_CASE(aPartThatAPromptRepeatsHasOneKey)
{
    RequestMetadata request;
    for (const char* id : { "b", "a", "b", "c", "a", "last" })
        request.promptParts.push_back({ id, 1 });
    std::vector<PromptPartKey> keys = sharedPartKeys(request);
    BOOST_REQUIRE(keys.size() == 3U);
    request.promptParts.erase(request.promptParts.begin() + 2);
    BOOST_TEST((sharedPartKeys(request) == keys), "the order is that of the first occurrences");
}

/** Guards against a search through all remembered parts for each part beyond the bound: prompts of many parts kept gateways and the leader from everything else. */
BOOST_AUTO_TEST_CASE(theCostOfAPartDoesNotGrowWithThePartsThatAreRemembered)
{
    CostRatio cost(500, 4000);
    double ratioOfProgress = cost.measure([](std::size_t parts) {
        PromptPartQuarantine::Options options;
        options.maximumParts = parts;
        PromptPartQuarantine quarantine { options };
        for (std::size_t i = 0; i < 4 * parts; ++i)
            quarantine.noteProgress({ PromptPartKey(i + 1), Instant(1h) + std::chrono::microseconds(i) }, Instant(1h));
    });
    BOOST_TEST(ratioOfProgress < cost.limit());
    double ratioOfRecords = cost.measure([](std::size_t parts) {
        PromptPartQuarantine::Options options;
        options.maximumParts = parts;
        PromptPartQuarantine quarantine { options };
        for (std::size_t i = 0; i < 4 * parts; ++i)
            quarantine.adopt({ PromptPartKey(i + 1), true, 1s, 0 }, Instant(1h) + std::chrono::microseconds(i));
    });
    BOOST_TEST(ratioOfRecords < cost.limit());
}

/** Beyond the bound the oldest parts are forgotten, and at most an eighth of them at once. */
BOOST_AUTO_TEST_CASE(theNewestPartsAreRemembered)
{
    constexpr std::size_t most = 800;
    PromptPartQuarantine::Options options;
    options.maximumParts = most;
    PromptPartQuarantine quarantine { options };
    for (std::size_t i = 1; i <= 10 * most; ++i) {
        Instant now = Instant(1h) + std::chrono::microseconds(i);
        quarantine.adopt({ PromptPartKey(i), true, 1s, 0 }, now);
        std::size_t oldest = i > most * 7 / 8 ? i - most * 7 / 8 + 1 : 1;
        BOOST_REQUIRE(quarantine.isQuarantined(PromptPartKey(i)));
        BOOST_REQUIRE(quarantine.isQuarantined(PromptPartKey(oldest)));
    }
    BOOST_TEST(quarantine.suspects(Instant(2h)).size() <= most);
}

BOOST_AUTO_TEST_SUITE_END()
