#include "hemlockchute/fleet/EngineHoldings.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

const ModelName model("m");
const Instant start { 1h };

/** A report of a server that holds a model with these adapters. */
EngineReport report(std::uint64_t ordersAccepted, const std::set<std::string>& adapters, const std::set<std::string>& pending = {})
{
    EngineReport report;
    report.ordersAccepted = ordersAccepted;
    report.models[model];
    for (const std::string& adapter : adapters)
        report.models[model].insert(AdapterName(adapter));
    for (const std::string& adapter : pending)
        report.pendingAdapters[model].insert(AdapterName(adapter));
    return report;
}

struct HoldingsFixture {
    HoldingsFixture() { holdings.applyReport(report(3, { "a", "b" }), start); }

    void unload(const std::string& adapter)
    {
        holdings.noteOrderAccepted(start);
        holdings.beginUnload(model, AdapterName(adapter));
    }

    void load(const std::string& adapter)
    {
        holdings.noteOrderAccepted(start);
        holdings.addAdapter(model, AdapterName(adapter));
    }

    bool isUsable(const std::string& adapter) const { return containsAdapter(holdings.models(), model, AdapterName(adapter)); }
    std::size_t places() const { return countAdapters(holdings.models()) + countAdapters(holdings.pendingAdapters()) + countAdapters(holdings.leavingAdapters()); }

    EngineHoldings holdings;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineHoldingsTests, HoldingsFixture)

BOOST_AUTO_TEST_CASE(anAdapterThatIsBeingUnloadedKeepsItsPlaceUntilAReportOmitsIt)
{
    unload("a");
    BOOST_TEST((!isUsable("a") && places() == 2));
    holdings.applyReport(report(4, { "a", "b" }), start + 300ms);
    BOOST_TEST((!isUsable("a") && isUsable("b") && places() == 2));
    holdings.applyReport(report(4, { "b" }), start + 600ms);
    BOOST_TEST((isUsable("b") && places() == 1));
}

/** A report is of some hundred milliseconds ago, and may be older than an order. */
BOOST_AUTO_TEST_CASE(aReportFromBeforeAnOrderDoesNotUndoIt)
{
    load("c");
    unload("a");
    holdings.applyReport(report(3, { "a", "b" }), start + 100ms);
    BOOST_TEST((isUsable("c") && !isUsable("a") && places() == 3 && holdings.ordersAccepted() == 5));
    holdings.applyReport(report(4, { "a", "b", "c" }), start + 200ms);
    BOOST_TEST((countAdapters(holdings.unconfirmedAdapters()) == 0 && countAdapters(holdings.leavingAdapters()) == 1));
    holdings.applyReport(report(4, { "b", "c" }), start + 300ms);
    BOOST_TEST(countAdapters(holdings.leavingAdapters()) == 1U);
    holdings.applyReport(report(5, { "b", "c" }), start + 400ms);
    BOOST_TEST((countAdapters(holdings.leavingAdapters()) == 0 && places() == 2));
}

/** This host may have counted an order that the server had accepted before. */
BOOST_AUTO_TEST_CASE(aReportWithFewerOrdersIsRightAfterAWhile)
{
    load("c");
    holdings.applyReport(report(3, { "b" }), start + 10s);
    BOOST_TEST((!isUsable("c") && places() == 1 && holdings.ordersAccepted() == 3));
}

BOOST_AUTO_TEST_CASE(aReportAppliesWhateverItsAgeOnceAnOrderIsUncertain)
{
    load("c");
    holdings.noteUncertain();
    holdings.applyReport(report(3, { "b" }), start + 10ms);
    BOOST_TEST((places() == 1 && holdings.ordersAccepted() == 3));
}

BOOST_AUTO_TEST_CASE(anAdapterOnItsWayIsUnconfirmedUntilAReportShowsItAsHeld)
{
    load("c");
    BOOST_TEST((isUsable("c") && countAdapters(holdings.unconfirmedAdapters()) == 1));
    holdings.applyReport(report(4, { "a", "b" }, { "c" }), start + 100ms);
    BOOST_TEST((!isUsable("c") && places() == 3 && countAdapters(holdings.unconfirmedAdapters()) == 1));
    holdings.applyReport(report(4, { "a", "b", "c" }), start + 200ms);
    BOOST_TEST((isUsable("c") && places() == 3 && countAdapters(holdings.unconfirmedAdapters()) == 0));
}

BOOST_AUTO_TEST_CASE(aModelTakesItsAdaptersWithIt)
{
    load("c");
    unload("a");
    holdings.removeModel(model);
    BOOST_TEST((places() == 0 && holdings.models().empty()));
}

BOOST_AUTO_TEST_SUITE_END()
