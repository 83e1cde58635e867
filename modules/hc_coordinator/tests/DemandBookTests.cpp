#include "coordinator/DemandBook.h"

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

CombinedDemand of(DemandBook& book, const std::string& model, Instant now)
{
    return book.demands(service, now)[{ ModelName(model), AdapterName() }];
}

} // namespace

BOOST_AUTO_TEST_SUITE(DemandBookTests)

BOOST_AUTO_TEST_CASE(gatewaysAddUpAndTheSilentOnesAreLeftOut)
{
    DemandBook book { DemandBook::Options() };
    Instant now(1h);
    book.take(report("a", "m", 3, 4, 2), now);
    book.take(report("b", "m", 1, 4, 0), now);
    BOOST_TEST((of(book, "m", now).waiting == 4 && of(book, "m", now).active == 2 && of(book, "m", now).rank == 0));
    BOOST_TEST(book.gateways(now).gateways() == 2U);
    BOOST_TEST(book.gateways(now).outstanding().at(ServerHandle(1)).requests == 4U);
    now += 1500ms;
    book.take(report("a", "m", 2, 0, 2), now);
    now += 1s;
    BOOST_TEST(of(book, "m", now).waiting == 2U);
    BOOST_TEST(book.gateways(now).gateways() == 1U);
    BOOST_TEST(book.gateways(now).outstanding().at(ServerHandle(1)).requests == 2U);
}

BOOST_AUTO_TEST_CASE(arrivalsBecomeARateThatFades)
{
    DemandBook book { DemandBook::Options() };
    Instant now(1h);
    for (int i = 0; i < 200; ++i, now += 100ms)
        book.take(report("a", "m", 0, 1), now);
    double rate = of(book, "m", now).arrivalsPerSecond;
    BOOST_TEST((rate > 8 && rate < 12));
    now += 20s;
    BOOST_TEST(of(book, "m", now).arrivalsPerSecond < 0.2);
}

/** A relay's report stands for many gateways, and replaces the one before it. */
BOOST_AUTO_TEST_CASE(aRelayCountsForItsGateways)
{
    DemandBook book { DemandBook::Options() };
    Instant now(1h);
    FollowRequest relayed = report("core", "m", 7, 20);
    relayed.relay = KeeperId(5);
    relayed.dataCentre = DataCentreName("z1");
    relayed.gateways = 30;
    for (int i = 0; i < 3; ++i)
        book.take(relayed, now);
    book.take(report("a", "m", 1, 0), now);
    const GatewayBook& gateways = book.gateways(now);
    BOOST_TEST((gateways.gateways() == 31 && gateways.followers() == 1 && gateways.mostBehindRelay() == 30));
    BOOST_TEST((gateways.relays() == std::vector<CoordinatorPlace> { { KeeperId(5), DataCentreName("z1") } }));
    BOOST_TEST((of(book, "m", now).waiting == 8 && of(book, "m", now).active == 2));
}

/** A gateway that turns to another coordinator counts there from then on. */
BOOST_AUTO_TEST_CASE(aGatewayThatTurnsToAnotherCoordinatorCountsNoMore)
{
    DemandBook book { DemandBook::Options() };
    Instant now(1h);
    book.take(report("a", "m", 3, 1), now);
    book.take(report("b", "m", 1, 1), now);
    FollowRequest last;
    last.host = HostName("a");
    last.isLast = true;
    book.take(last, now);
    const GatewayBook& gateways = book.gateways(now);
    BOOST_TEST((gateways.gateways() == 1 && gateways.followers() == 1 && of(book, "m", now).waiting == 1));
    BOOST_TEST(gateways.outstanding().at(ServerHandle(1)).requests == 2U);
}

/** What no gateway sends: servers without requests, the same server twice. */
BOOST_AUTO_TEST_CASE(oddReportsLeaveTheSumsWhole)
{
    DemandBook book { DemandBook::Options() };
    Instant now(1h);
    book.take(report("b", "m", 1, 1), now);
    FollowRequest odd = report("a", "m", 1, 1);
    odd.demands.push_back(odd.demands.front());
    odd.outstanding = { { ServerHandle(1), { 0, 0 } }, { ServerHandle(1), { 0, 7 } }, { ServerHandle(2), { 1, 0 } }, { ServerHandle(2), { 1, 0 } } };
    for (int i = 0; i < 3; ++i)
        book.take(odd, now);
    BOOST_TEST(book.gateways(now).outstanding().at(ServerHandle(2)).requests == 2U);
    odd.isLast = true;
    book.take(odd, now);
    BOOST_TEST(book.gateways(now).outstanding().size() == 1U);
    BOOST_TEST((of(book, "m", now).waiting == 1 && book.gateways(now).outstanding().at(ServerHandle(1)).requests == 2));
}

/** Handles begin anew with each leader. */
BOOST_AUTO_TEST_CASE(requestsAtServersOfAnotherEpochAreNotCounted)
{
    DemandBook book { DemandBook::Options() };
    Instant now(1h);
    FollowRequest old = report("a", "m", 1, 1);
    old.epoch = 4;
    book.begin(4);
    book.take(old, now);
    BOOST_TEST(book.gateways(now).outstanding().size() == 1U);
    book.begin(5);
    BOOST_TEST(book.gateways(now).outstanding().empty());
    book.take(old, now);
    BOOST_TEST(book.gateways(now).outstanding().empty());
    old.epoch = 5;
    book.take(old, now);
    BOOST_TEST(book.gateways(now).outstanding().at(ServerHandle(1)).requests == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
