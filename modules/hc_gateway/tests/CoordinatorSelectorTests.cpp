#include "gateway/CoordinatorSelector.h"
#include "hemlockchute/fleet/CoordinatorAddress.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

Endpoint coordinator(unsigned host)
{
    return { boost::asio::ip::make_address("10.0.0." + std::to_string(host)), 7380 };
}

CoordinatorLocation place(unsigned host, const std::string& dataCentre)
{
    return { keeperIdOf(coordinator(host)), DataCentreName(dataCentre) };
}

CoordinatorSelector selectorFor(const std::string& gateway)
{
    CoordinatorSelector selector(HostName(gateway), DataCentreName("z1"), CoordinatorSelector::Options());
    selector.add({ coordinator(1), coordinator(2), coordinator(3) });
    return selector;
}

const std::vector<CoordinatorLocation> relays { place(1, "z1"), place(2, "z1"), place(3, "z2"), place(4, "z3") };

} // namespace

BOOST_AUTO_TEST_SUITE(CoordinatorSelectorTests)

BOOST_AUTO_TEST_CASE(newlyNamedLeaderIsPolledNext)
{
    CoordinatorSelector selector = selectorFor("edge-1");
    Instant now(1h);
    Endpoint first = selector.next(now);
    Endpoint leader = coordinator(9);
    selector.noteNoLeader(first, leader, now);
    BOOST_TEST((selector.next(now) == leader));
    selector.setTopology({}, leader);
    BOOST_TEST((selector.next(now) == leader));
}

/** A newly elected leader can confirm its leadership only a moment later, and must not be backed off for long. */
BOOST_AUTO_TEST_CASE(unconfirmedLeaderIsPolledAgainSoon)
{
    CoordinatorSelector selector = selectorFor("edge-1");
    Instant now(1h);
    selector.noteNoLeader(coordinator(2), coordinator(2), now);
    BOOST_TEST((selector.next(now) != coordinator(2)));
    BOOST_TEST((selector.next(now + 60ms) == coordinator(2)));
}

BOOST_AUTO_TEST_CASE(allCoordinatorsAreTriedInTurnWithoutALeader)
{
    CoordinatorSelector selector = selectorFor("edge-1");
    Instant now(1h);
    std::set<Endpoint> asked;
    for (int i = 0; i < 3; ++i) {
        Endpoint next = selector.next(now);
        asked.insert(next);
        selector.noteFailure(next, now);
    }
    BOOST_TEST(asked.size() == 3U);
}

/** 300 gateways that start at once must not all poll the same coordinator. */
BOOST_AUTO_TEST_CASE(gatewaysStartAtDifferentCoordinatorsAndSpreadOverTheRelaysOfTheirDataCentre)
{
    std::map<Endpoint, unsigned> first;
    std::map<Endpoint, unsigned> relayed;
    for (int i = 0; i < 300; ++i) {
        CoordinatorSelector selector = selectorFor("edge-" + std::to_string(i));
        ++first[selector.next(Instant(1h))];
        selector.setTopology(relays, coordinator(3));
        ++relayed[selector.next(Instant(1h))];
    }
    BOOST_REQUIRE(first.size() == 3U);
    for (const auto& [endpoint, count] : first)
        BOOST_TEST(count > 60U);
    BOOST_REQUIRE((relayed.size() == 2U && relayed.contains(coordinator(1)) && relayed.contains(coordinator(2))));
    BOOST_TEST((relayed[coordinator(1)] > 100U && relayed[coordinator(2)] > 100U));
}

/** Gateways that switched to other data centres during an election would each transfer the full list and every configuration from there. */
BOOST_AUTO_TEST_CASE(gatewaysStayWithTheirRelayDuringAnElection)
{
    CoordinatorSelector selector = selectorFor("edge-1");
    selector.setTopology(relays, coordinator(3));
    Instant now(1h);
    Endpoint own = selector.next(now);
    for (int i = 0; i < 14; ++i, now += 100ms) {
        BOOST_TEST(selector.noteNoLeader(own, coordinator(4), now));
        BOOST_TEST((selector.next(now) == own));
    }
    now += 200ms;
    BOOST_TEST(!selector.noteNoLeader(own, coordinator(4), now));
    BOOST_TEST((selector.next(now) != own));
    selector.setTopology(relays, coordinator(4));
    now += 1s;
    BOOST_TEST((selector.next(now) == own));
    BOOST_TEST(selector.noteNoLeader(own, std::nullopt, now));
}

/** Waiting for an election applies to relays of the own data centre only. */
BOOST_AUTO_TEST_CASE(relayOfAnotherDataCentreWithoutALeaderIsBackedOff)
{
    CoordinatorSelector selector = selectorFor("edge-1");
    selector.setTopology({ place(3, "z2"), place(4, "z3") }, coordinator(3));
    Instant now(1h);
    Endpoint first = selector.next(now);
    BOOST_TEST(!selector.noteNoLeader(first, std::nullopt, now));
    BOOST_TEST((selector.next(now) != first));
}

/** When a relay fails, its gateways move to the other relays, and return after the back-off. */
BOOST_AUTO_TEST_CASE(gatewaysOfAFailedRelayMoveToOthersAndReturn)
{
    std::map<Endpoint, unsigned> elsewhere;
    for (int i = 0; i < 300; ++i) {
        CoordinatorSelector selector = selectorFor("edge-" + std::to_string(i));
        selector.setTopology(relays, coordinator(3));
        Instant now(1h);
        Endpoint own = selector.next(now);
        selector.noteFailure(own, now);
        Endpoint other = selector.next(now);
        BOOST_TEST((other == coordinator(own == coordinator(1) ? 2 : 1)));
        selector.noteFailure(other, now);
        ++elsewhere[selector.next(now)];
        BOOST_TEST((selector.next(now + 1s) == own));
    }
    BOOST_REQUIRE(elsewhere.size() == 2U);
    BOOST_TEST((elsewhere[coordinator(3)] > 100U && elsewhere[coordinator(4)] > 100U));
}

BOOST_AUTO_TEST_SUITE_END()
