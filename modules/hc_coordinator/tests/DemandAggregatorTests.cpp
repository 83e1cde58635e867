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
    request.outstanding = { { ServerHandle(1), { 2, 100, 150 } } };
    return request;
}

CombinedDemand demandFor(DemandAggregator& aggregator, const std::string& model, Instant now)
{
    return aggregator.demands(service, now)[{ ModelName(model), AdapterName() }];
}

} // namespace

BOOST_AUTO_TEST_SUITE(DemandAggregatorTests)

BOOST_AUTO_TEST_CASE(reportsOfAllGatewaysAddUpUntilTheyExpire)
{
    DemandAggregator aggregator { DemandAggregator::Options() };
    Instant now(1h);
    aggregator.recordReport(report("a", "m", 3, 4, 2), now);
    aggregator.recordReport(report("b", "m", 1, 4, 0), now);
    BOOST_TEST((demandFor(aggregator, "m", now).waiting == 4 && demandFor(aggregator, "m", now).active == 2 && demandFor(aggregator, "m", now).rank == 0));
    BOOST_TEST(aggregator.gateways(now).gateways() == 2U);
    BOOST_TEST(aggregator.gateways(now).outstanding().at(ServerHandle(1)).requests == 4U);
    BOOST_TEST(aggregator.gateways(now).outstanding().at(ServerHandle(1)).heldTokens == 300U);
    now += 1500ms;
    aggregator.recordReport(report("a", "m", 2, 0, 2), now);
    now += 1s;
    BOOST_TEST(demandFor(aggregator, "m", now).waiting == 2U);
    BOOST_TEST(aggregator.gateways(now).gateways() == 1U);
    BOOST_TEST(aggregator.gateways(now).outstanding().at(ServerHandle(1)).requests == 2U);
    BOOST_TEST(aggregator.gateways(now).outstanding().at(ServerHandle(1)).heldTokens == 150U);
}

BOOST_AUTO_TEST_CASE(arrivalsBecomeARateThatDecays)
{
    DemandAggregator aggregator { DemandAggregator::Options() };
    Instant now(1h);
    for (int i = 0; i < 200; ++i, now += 100ms)
        aggregator.recordReport(report("a", "m", 0, 1), now);
    double rate = demandFor(aggregator, "m", now).arrivalsPerSecond;
    BOOST_TEST((rate > 8 && rate < 12));
    now += 20s;
    BOOST_TEST(demandFor(aggregator, "m", now).arrivalsPerSecond < 0.2);
}

/** A relay's report stands for many gateways, and replaces its previous report. */
BOOST_AUTO_TEST_CASE(aRelayCountsForAllItsGateways)
{
    DemandAggregator aggregator { DemandAggregator::Options() };
    Instant now(1h);
    FollowRequest relayed = report("core", "m", 7, 20);
    relayed.relay = KeeperId(5);
    relayed.dataCentre = DataCentreName("z1");
    relayed.gateways = 30;
    for (int i = 0; i < 3; ++i)
        aggregator.recordReport(relayed, now);
    aggregator.recordReport(report("a", "m", 1, 0), now);
    const GatewayTracker& gateways = aggregator.gateways(now);
    BOOST_TEST((gateways.gateways() == 31 && gateways.followers() == 1 && gateways.maximumGatewaysPerRelay() == 30));
    BOOST_TEST((gateways.relays() == std::vector<CoordinatorLocation> { { KeeperId(5), DataCentreName("z1") } }));
    BOOST_TEST((demandFor(aggregator, "m", now).waiting == 8 && demandFor(aggregator, "m", now).active == 2));
}

/** After its last report, a gateway counts at the coordinator that it switched to. */
BOOST_AUTO_TEST_CASE(aGatewayThatSwitchesCoordinatorIsRemoved)
{
    DemandAggregator aggregator { DemandAggregator::Options() };
    Instant now(1h);
    aggregator.recordReport(report("a", "m", 3, 1), now);
    aggregator.recordReport(report("b", "m", 1, 1), now);
    FollowRequest last;
    last.host = HostName("a");
    last.isLast = true;
    aggregator.recordReport(last, now);
    const GatewayTracker& gateways = aggregator.gateways(now);
    BOOST_TEST((gateways.gateways() == 1 && gateways.followers() == 1 && demandFor(aggregator, "m", now).waiting == 1));
    BOOST_TEST(gateways.outstanding().at(ServerHandle(1)).requests == 2U);
}

/** Reports that no gateway sends: servers without requests, the same server or demand twice. */
BOOST_AUTO_TEST_CASE(oddReportsDoNotCorruptTheTotals)
{
    DemandAggregator aggregator { DemandAggregator::Options() };
    Instant now(1h);
    aggregator.recordReport(report("b", "m", 1, 1), now);
    FollowRequest odd = report("a", "m", 1, 1);
    odd.demands.push_back(odd.demands.front());
    odd.outstanding = { { ServerHandle(1), { 0, 0 } }, { ServerHandle(1), { 0, 7 } }, { ServerHandle(2), { 1, 0 } }, { ServerHandle(2), { 1, 0 } } };
    for (int i = 0; i < 3; ++i)
        aggregator.recordReport(odd, now);
    BOOST_TEST(aggregator.gateways(now).outstanding().at(ServerHandle(2)).requests == 2U);
    odd.isLast = true;
    aggregator.recordReport(odd, now);
    BOOST_TEST(aggregator.gateways(now).outstanding().size() == 1U);
    BOOST_TEST((demandFor(aggregator, "m", now).waiting == 1 && aggregator.gateways(now).outstanding().at(ServerHandle(1)).requests == 2));
}

/** Each leader assigns handles anew. */
BOOST_AUTO_TEST_CASE(requestsUnderHandlesOfAnotherEpochAreNotCounted)
{
    DemandAggregator aggregator { DemandAggregator::Options() };
    Instant now(1h);
    FollowRequest old = report("a", "m", 1, 1);
    old.epoch = 4;
    aggregator.beginEpoch(4);
    aggregator.recordReport(old, now);
    BOOST_TEST(aggregator.gateways(now).outstanding().size() == 1U);
    aggregator.beginEpoch(5);
    BOOST_TEST(aggregator.gateways(now).outstanding().empty());
    aggregator.recordReport(old, now);
    BOOST_TEST(aggregator.gateways(now).outstanding().empty());
    old.epoch = 5;
    aggregator.recordReport(old, now);
    BOOST_TEST(aggregator.gateways(now).outstanding().at(ServerHandle(1)).requests == 2U);
    BOOST_TEST(aggregator.gateways(now).outstanding().at(ServerHandle(1)).heldTokens == 150U);
}

BOOST_AUTO_TEST_SUITE_END()
