#include "coordinator/DemandAggregator.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

const ServiceName service("llm");

FollowRequest report(const std::string& host, const std::string& model, unsigned waiting, unsigned arrivals, unsigned rank = 1)
{
    FollowRequest request;
    request.host = HostName(host);
    request.demands = { { { service, ModelName(model), AdapterName() }, waiting, 1, arrivals, 0, rank } };
    request.outstanding = { { ServerHandle(1), { 2, 100 } } };
    return request;
}

CombinedDemand of(DemandAggregator& book, const std::string& model, Instant now)
{
    return book.demands(service, now)[{ ModelName(model), AdapterName() }];
}

} // namespace

BOOST_AUTO_TEST_SUITE(DemandAggregatorTests)

BOOST_AUTO_TEST_CASE(gatewaysAddUpAndTheSilentOnesAreLeftOut)
{
    DemandAggregator book { DemandAggregator::Options() };
    Instant now(1h);
    book.recordReport(report("a", "m", 3, 4, 2), now);
    book.recordReport(report("b", "m", 1, 4, 0), now);
    BOOST_TEST((of(book, "m", now).waiting == 4 && of(book, "m", now).active == 2 && of(book, "m", now).rank == 0));
    BOOST_TEST(book.gateways(now).gateways() == 2U);
    BOOST_TEST(book.gateways(now).outstanding().at(ServerHandle(1)).requests == 4U);
    now += 1500ms;
    book.recordReport(report("a", "m", 2, 0, 2), now);
    now += 1s;
    BOOST_TEST(of(book, "m", now).waiting == 2U);
    BOOST_TEST(book.gateways(now).gateways() == 1U);
    BOOST_TEST(book.gateways(now).outstanding().at(ServerHandle(1)).requests == 2U);
}

BOOST_AUTO_TEST_CASE(arrivalsBecomeARateThatFades)
{
    DemandAggregator book { DemandAggregator::Options() };
    Instant now(1h);
    for (int i = 0; i < 200; ++i, now += 100ms)
        book.recordReport(report("a", "m", 0, 1), now);
    double rate = of(book, "m", now).arrivalsPerSecond;
    BOOST_TEST((rate > 8 && rate < 12));
    now += 20s;
    BOOST_TEST(of(book, "m", now).arrivalsPerSecond < 0.2);
}

/** A relay's report stands for many gateways, and replaces the one before it. */
BOOST_AUTO_TEST_CASE(aRelayCountsForItsGateways)
{
    DemandAggregator book { DemandAggregator::Options() };
    Instant now(1h);
    FollowRequest relayed = report("core", "m", 7, 20);
    relayed.relay = KeeperId(5);
    relayed.dataCentre = DataCentreName("z1");
    relayed.gateways = 30;
    for (int i = 0; i < 3; ++i)
        book.recordReport(relayed, now);
    book.recordReport(report("a", "m", 1, 0), now);
    const GatewayTracker& gateways = book.gateways(now);
    BOOST_TEST((gateways.gateways() == 31 && gateways.followers() == 1 && gateways.maximumGatewaysPerRelay() == 30));
    BOOST_TEST((gateways.relays() == std::vector<CoordinatorLocation> { { KeeperId(5), DataCentreName("z1") } }));
    BOOST_TEST((of(book, "m", now).waiting == 8 && of(book, "m", now).active == 2));
}

/** A gateway that turns to another coordinator counts there from then on. */
BOOST_AUTO_TEST_CASE(aGatewayThatTurnsToAnotherCoordinatorCountsNoMore)
{
    DemandAggregator book { DemandAggregator::Options() };
    Instant now(1h);
    book.recordReport(report("a", "m", 3, 1), now);
    book.recordReport(report("b", "m", 1, 1), now);
    FollowRequest last;
    last.host = HostName("a");
    last.isLast = true;
    book.recordReport(last, now);
    const GatewayTracker& gateways = book.gateways(now);
    BOOST_TEST((gateways.gateways() == 1 && gateways.followers() == 1 && of(book, "m", now).waiting == 1));
    BOOST_TEST(gateways.outstanding().at(ServerHandle(1)).requests == 2U);
}

/** What no gateway sends: servers without requests, the same server twice. */
BOOST_AUTO_TEST_CASE(oddReportsLeaveTheSumsWhole)
{
    DemandAggregator book { DemandAggregator::Options() };
    Instant now(1h);
    book.recordReport(report("b", "m", 1, 1), now);
    FollowRequest odd = report("a", "m", 1, 1);
    odd.demands.push_back(odd.demands.front());
    odd.outstanding = { { ServerHandle(1), { 0, 0 } }, { ServerHandle(1), { 0, 7 } }, { ServerHandle(2), { 1, 0 } }, { ServerHandle(2), { 1, 0 } } };
    for (int i = 0; i < 3; ++i)
        book.recordReport(odd, now);
    BOOST_TEST(book.gateways(now).outstanding().at(ServerHandle(2)).requests == 2U);
    odd.isLast = true;
    book.recordReport(odd, now);
    BOOST_TEST(book.gateways(now).outstanding().size() == 1U);
    BOOST_TEST((of(book, "m", now).waiting == 1 && book.gateways(now).outstanding().at(ServerHandle(1)).requests == 2));
}

/** Handles begin anew with each leader. */
BOOST_AUTO_TEST_CASE(requestsAtServersOfAnotherEpochAreNotCounted)
{
    DemandAggregator book { DemandAggregator::Options() };
    Instant now(1h);
    FollowRequest old = report("a", "m", 1, 1);
    old.epoch = 4;
    book.beginEpoch(4);
    book.recordReport(old, now);
    BOOST_TEST(book.gateways(now).outstanding().size() == 1U);
    book.beginEpoch(5);
    BOOST_TEST(book.gateways(now).outstanding().empty());
    book.recordReport(old, now);
    BOOST_TEST(book.gateways(now).outstanding().empty());
    old.epoch = 5;
    book.recordReport(old, now);
    BOOST_TEST(book.gateways(now).outstanding().at(ServerHandle(1)).requests == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
