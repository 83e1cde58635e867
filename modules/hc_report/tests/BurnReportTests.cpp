#include "hemlockchute/report/BurnReport.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

const WallTime now { std::chrono::hours(500'000) + 30min };

Document twoRanks()
{
    Document document;
    document.version = DocumentVersion(7);
    RankSpec urgent;
    urgent.name = RankName("urgent");
    urgent.team = TeamName("counter");
    urgent.objectivePerMille = 990;
    RankSpec patient;
    patient.name = RankName("patient");
    patient.team = TeamName("office");
    patient.order = 1;
    patient.objectivePerMille = 900;
    document.ranks = { { urgent.name, urgent }, { patient.name, patient } };
    for (const char* name : { "fit", "quotes" }) {
        ModelSpec model;
        model.name = ModelName(name);
        model.team = TeamName("sales");
        document.models[model.name] = model;
    }
    return document;
}

BurnKey key(const char* rank, const char* model, const char* dataCentre)
{
    return { RankName(rank), ModelName(model), DataCentreName(dataCentre) };
}

void note(BurnCounts& counts, const BurnKey& which, int good, int bad, Duration ago)
{
    WallTime when = now - std::chrono::duration_cast<std::chrono::milliseconds>(ago);
    for (int number = 0; number < good + bad; ++number)
        counts.note(which, number < good, when);
}

/** 100 urgent requests now, 4 of them bad; 900 an hour and a half ago, 5 bad; 1000 two days ago, 1 bad. */
BurnCounts sample()
{
    BurnCounts counts;
    note(counts, key("urgent", "fit", "tallinn"), 57, 3, 0s);
    note(counts, key("urgent", "quotes", "tartu"), 39, 1, 0s);
    note(counts, key("urgent", "quotes", "tartu"), 895, 5, 90min);
    note(counts, key("urgent", "fit", "tallinn"), 999, 1, 48h);
    note(counts, key("patient", "fit", "tallinn"), 90, 10, 20min);
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BurnReportTests)

BOOST_AUTO_TEST_CASE(burnRatesAreExact)
{
    BurnReport report = makeBurnReport(twoRanks(), sample(), now);
    BOOST_REQUIRE(report.ranks.size() == 2U);
    const BurnSubject& urgent = report.ranks[0];
    auto tolerance = boost::test_tools::tolerance(1e-9);
    BOOST_TEST(urgent.windows[0][0].burnRate() == 4.0, tolerance);
    BOOST_TEST(urgent.windows[0][1].burnRate() == 4.0, tolerance);
    BOOST_TEST(urgent.windows[1][0].burnRate() == 4.0, tolerance);
    BOOST_TEST(urgent.windows[1][1].burnRate() == 0.9, tolerance);
    BOOST_TEST(urgent.windows[2][1].burnRate() == 0.5, tolerance);
    BOOST_TEST(urgent.budgetLeft == 0.5, tolerance);
    BOOST_TEST(urgent.history.size() == 72U);
    BOOST_TEST(urgent.history.back() == 4.0, tolerance);
    for (std::size_t pair = 0; pair < burnPairs.size(); ++pair)
        BOOST_TEST(!urgent.isAlarmed(pair));
    BOOST_REQUIRE(urgent.worstModels.size() == 2U);
    BOOST_TEST(urgent.worstModels[0].name == "quotes");
    BOOST_TEST(urgent.worstModels[0].tally.bad == 6U);
    BOOST_TEST(urgent.worstDataCentres[0].name == "tartu");
    const BurnSubject& patient = report.ranks[1];
    BOOST_TEST(patient.windows[0][0].burnRate() == 0.0, tolerance);
    BOOST_TEST(patient.windows[1][0].burnRate() == 1.0, tolerance);
    BOOST_TEST(patient.budgetLeft == 0.0, tolerance);
    // 4 + 5 + 1 + 10 bad, where 1 + 9 + 10 + 10 were allowed.
    BOOST_REQUIRE(report.teams.size() == 1U);
    BOOST_TEST(report.teams[0].budgetLeft == 1.0 / 3, tolerance);
}

BOOST_AUTO_TEST_CASE(aFastBurnRaisesTheAlarm)
{
    BurnCounts counts;
    note(counts, key("urgent", "fit", "tallinn"), 84, 16, 0s);
    BurnReport report = makeBurnReport(twoRanks(), counts, now);
    BOOST_TEST(report.ranks[0].isAlarmed(0));
    BOOST_TEST(report.text().find("ALARM 5m/1h") != std::string::npos);
    BOOST_TEST(report.html().find("<td class=\"alarm\">16.00 / 16.00</td>") != std::string::npos);
    BOOST_TEST(report.json().find("\"burn_rate\":1.6E1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(hostsMergeAndCountsTravel)
{
    BurnCounts halves;
    note(halves, key("urgent", "fit", "tallinn"), 5, 1, 0s);
    BurnCounts other;
    note(other, key("urgent", "fit", "tallinn"), 3, 2, 0s);
    note(other, key("urgent", "quotes", "tartu"), 1, 0, 2h);
    auto decoded = BurnCounts::decode(other.encode());
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == other));
    halves.merge(*decoded);
    BurnTally tally = halves.tally(key("urgent", "fit", "tallinn"), 5min, now);
    BOOST_TEST(tally.total == 11U);
    BOOST_TEST(tally.bad == 3U);
}

BOOST_AUTO_TEST_CASE(malformedCountsAreRefused)
{
    for (const char* text : { "", "{}", "[1]", "[{\"rank\":1}]", "[{\"rank\":\"r\",\"model\":\"m\",\"data_centre\":\"d\",\"minutes\":[[1]],\"hours\":[]}]" }) {
        auto decoded = BurnCounts::decode(text);
        BOOST_REQUIRE(!decoded.has_value());
        BOOST_TEST((decoded.error().code == ReportErrorCode::Malformed));
    }
}

BOOST_AUTO_TEST_CASE(oldCountsAreDropped)
{
    BurnCounts counts;
    note(counts, key("urgent", "fit", "tallinn"), 1, 1, 80h);
    note(counts, key("urgent", "quotes", "tartu"), 1, 1, 10h);
    counts.prune(now);
    BOOST_TEST(counts.keys().size() == 1U);
    BOOST_TEST(counts.tally(key("urgent", "quotes", "tartu"), 360min, now).total == 0U);
    BOOST_TEST(counts.tally(key("urgent", "quotes", "tartu"), 4320min, now).total == 2U);
}

BOOST_AUTO_TEST_CASE(namesAreEscapedInThePage)
{
    BurnCounts counts;
    note(counts, key("urgent", "<script>", "tallinn"), 0, 1, 0s);
    std::string page = makeBurnReport(twoRanks(), counts, now).html();
    BOOST_TEST(page.find("<script>") == std::string::npos);
    BOOST_TEST(page.find("&lt;script&gt;") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(theRecorderMergesItsShards)
{
    BurnRecorder recorder;
    for (int number = 0; number < 20; ++number)
        recorder.note(key("urgent", std::to_string(number).c_str(), "tallinn"), number % 2 == 0, now);
    BurnCounts counts = recorder.counts(now);
    BOOST_TEST(counts.keys().size() == 20U);
}

BOOST_AUTO_TEST_SUITE_END()
