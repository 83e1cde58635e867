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
    request.outstanding = { { BackendServerName("s"), { 2, 100 } } };
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
    BOOST_TEST(book.gateways(now) == 2U);
    BOOST_TEST(book.outstanding(now).at(BackendServerName("s")).requests == 4U);
    now += 1500ms;
    book.take(report("a", "m", 2, 0, 2), now);
    now += 1s;
    BOOST_TEST(of(book, "m", now).waiting == 2U);
    BOOST_TEST(book.gateways(now) == 1U);
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

BOOST_AUTO_TEST_SUITE_END()
