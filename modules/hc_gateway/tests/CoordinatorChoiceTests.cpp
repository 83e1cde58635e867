#include "gateway/CoordinatorChoice.h"
#include "hemlockchute/fleet/CoordinatorAddress.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

Endpoint coordinator(unsigned host)
{
    return { boost::asio::ip::make_address("10.0.0." + std::to_string(host)), 7380 };
}

CoordinatorPlace place(unsigned host, const std::string& dataCentre)
{
    return { keeperIdOf(coordinator(host)), DataCentreName(dataCentre) };
}

CoordinatorChoice choiceOf(const std::string& gateway)
{
    CoordinatorChoice choice(HostName(gateway), DataCentreName("z1"), CoordinatorChoice::Options());
    choice.add({ coordinator(1), coordinator(2), coordinator(3) });
    return choice;
}

const std::vector<CoordinatorPlace> relays { place(1, "z1"), place(2, "z1"), place(3, "z2"), place(4, "z3") };

} // namespace

BOOST_AUTO_TEST_SUITE(CoordinatorChoiceTests)

BOOST_AUTO_TEST_CASE(aLeaderThatIsNamedIsAskedNext)
{
    CoordinatorChoice choice = choiceOf("edge-1");
    Instant now(1h);
    Endpoint first = choice.next(now);
    Endpoint leader = coordinator(9);
    choice.noteUncertain(first, leader, now);
    BOOST_TEST((choice.next(now) == leader));
    choice.takePlaces({}, leader);
    BOOST_TEST((choice.next(now) == leader));
}

/** The load of an election: whoever is elected can say so for certain a moment later. */
BOOST_AUTO_TEST_CASE(aLeaderThatIsNotCertainYetIsAskedAgainSoon)
{
    CoordinatorChoice choice = choiceOf("edge-1");
    Instant now(1h);
    choice.noteUncertain(coordinator(2), coordinator(2), now);
    BOOST_TEST((choice.next(now) != coordinator(2)));
    BOOST_TEST((choice.next(now + 60ms) == coordinator(2)));
}

BOOST_AUTO_TEST_CASE(everyCoordinatorIsAskedInTurnWhileNobodyLeads)
{
    CoordinatorChoice choice = choiceOf("edge-1");
    Instant now(1h);
    std::set<Endpoint> asked;
    for (int i = 0; i < 3; ++i) {
        Endpoint next = choice.next(now);
        asked.insert(next);
        choice.noteFault(next, now);
    }
    BOOST_TEST(asked.size() == 3U);
}

/** The load of 300 gateways that start at once: they must not all ask the same coordinator. */
BOOST_AUTO_TEST_CASE(gatewaysBeginAtDifferentCoordinatorsAndSpreadOverTheRelaysOfTheirDataCentre)
{
    std::map<Endpoint, unsigned> first;
    std::map<Endpoint, unsigned> relayed;
    for (int i = 0; i < 300; ++i) {
        CoordinatorChoice choice = choiceOf("edge-" + std::to_string(i));
        ++first[choice.next(Instant(1h))];
        choice.takePlaces(relays, coordinator(3));
        ++relayed[choice.next(Instant(1h))];
    }
    BOOST_REQUIRE(first.size() == 3U);
    for (const auto& [endpoint, count] : first)
        BOOST_TEST(count > 60U);
    BOOST_REQUIRE((relayed.size() == 2U && relayed.contains(coordinator(1)) && relayed.contains(coordinator(2))));
    BOOST_TEST((relayed[coordinator(1)] > 100U && relayed[coordinator(2)] > 100U));
}

/** The load of an election: gateways that turned to other data centres would each take the whole list and every configuration from there. */
BOOST_AUTO_TEST_CASE(gatewaysStayWithTheirRelayWhileItLooksForALeader)
{
    CoordinatorChoice choice = choiceOf("edge-1");
    choice.takePlaces(relays, coordinator(3));
    Instant now(1h);
    Endpoint own = choice.next(now);
    for (int i = 0; i < 14; ++i, now += 100ms) {
        BOOST_TEST(choice.noteUncertain(own, coordinator(4), now));
        BOOST_TEST((choice.next(now) == own));
    }
    now += 200ms;
    BOOST_TEST(!choice.noteUncertain(own, coordinator(4), now));
    BOOST_TEST((choice.next(now) != own));
    choice.takePlaces(relays, coordinator(4));
    now += 1s;
    BOOST_TEST((choice.next(now) == own));
    BOOST_TEST(choice.noteUncertain(own, std::nullopt, now));
}

/** A relay of another data centre is not worth waiting for. */
BOOST_AUTO_TEST_CASE(anotherDataCentresRelayThatKnowsNoLeaderIsLeft)
{
    CoordinatorChoice choice = choiceOf("edge-1");
    choice.takePlaces({ place(3, "z2"), place(4, "z3") }, coordinator(3));
    Instant now(1h);
    Endpoint first = choice.next(now);
    BOOST_TEST(!choice.noteUncertain(first, std::nullopt, now));
    BOOST_TEST((choice.next(now) != first));
}

/** The load of a relay that dies: its gateways go to the others, and come back. */
BOOST_AUTO_TEST_CASE(gatewaysOfARelayThatFailsGoToOthersAndComeBack)
{
    std::map<Endpoint, unsigned> elsewhere;
    for (int i = 0; i < 300; ++i) {
        CoordinatorChoice choice = choiceOf("edge-" + std::to_string(i));
        choice.takePlaces(relays, coordinator(3));
        Instant now(1h);
        Endpoint own = choice.next(now);
        choice.noteFault(own, now);
        Endpoint other = choice.next(now);
        BOOST_TEST((other == coordinator(own == coordinator(1) ? 2 : 1)));
        choice.noteFault(other, now);
        ++elsewhere[choice.next(now)];
        BOOST_TEST((choice.next(now + 1s) == own));
    }
    BOOST_REQUIRE(elsewhere.size() == 2U);
    BOOST_TEST((elsewhere[coordinator(3)] > 100U && elsewhere[coordinator(4)] > 100U));
}

BOOST_AUTO_TEST_SUITE_END()
