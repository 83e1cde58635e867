#include "gateway/AccessControl.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

using Verdict = AccessControl::Verdict;

constexpr Instant start(1h);

Route route(bool isPublic)
{
    Route route;
    route.name = "r";
    route.host = "a.example";
    route.pathPrefix = isPublic ? "/public/" : "/x/";
    route.timeout = 1s;
    route.isPublic = isPublic;
    route.services = { { ServiceName("api"), 1 } };
    return route;
}

RouteConfigurationPointer configuration(std::vector<std::string> keys)
{
    RouteConfiguration::Parts parts;
    parts.version = ConfigurationVersion(1);
    parts.routes = { route(false), route(true) };
    parts.services.emplace(ServiceName("api"), RoutedService { ServiceName("api"), 10, std::nullopt });
    parts.workspaces = { { WorkspaceName("lab"), std::move(keys), 1, std::nullopt } };
    return *RouteConfiguration::make(std::move(parts));
}

AccessControl control(Duration revocation = 5s)
{
    return AccessControl(AccessControl::Options().withRevocation(revocation));
}

} // namespace

BOOST_AUTO_TEST_SUITE(AccessControlTests)

BOOST_AUTO_TEST_CASE(aKnownKeyNamesItsWorkspaceAndAnUnknownOneIsUnauthorized)
{
    auto keys = configuration({ "k1", "k2" });
    AccessControl access { AccessControl::Options() };
    auto decision = access.check(*keys, route(false), "k2", start);
    BOOST_REQUIRE(decision.workspace);
    BOOST_TEST((decision.verdict == Verdict::Granted && decision.workspace->name == WorkspaceName("lab")));
    BOOST_TEST((access.check(*keys, route(false), "k3", start).verdict == Verdict::Unauthorized));
    BOOST_TEST((access.check(*keys, route(false), "", start).verdict == Verdict::Unauthorized));
    BOOST_TEST((access.check(*keys, route(true), "", start).verdict == Verdict::Granted));
}

/** Guards against a host that accepts a removed key because it has not heard of the removal. */
BOOST_AUTO_TEST_CASE(keysCountOnlyForAWhileAfterTheLastConfirmation)
{
    auto keys = configuration({ "k1" });
    AccessControl access = control();
    BOOST_TEST((access.check(*keys, route(false), "k1", start).verdict == Verdict::Unconfirmed));
    access.noteConfirmed(start);
    BOOST_TEST((access.check(*keys, route(false), "k1", start + 4400ms).verdict == Verdict::Granted));
    for (Duration late : { Duration(4500ms), Duration(5s), Duration(1h) }) {
        BOOST_TEST((access.check(*keys, route(false), "k1", start + late).verdict == Verdict::Unconfirmed));
        BOOST_TEST((access.check(*keys, route(true), "k1", start + late).verdict == Verdict::Granted));
        BOOST_TEST(!access.check(*keys, route(true), "k1", start + late).workspace);
    }
}

/** Guards against a reply that was on its way for long, or was passed on late, and replaces a later confirmation. */
BOOST_AUTO_TEST_CASE(anEarlierConfirmationDoesNotReplaceALaterOne)
{
    AccessControl access = control();
    access.noteConfirmed(start + 2s);
    access.noteConfirmed(start);
    BOOST_TEST(access.isConfirmed(start + 6s));
    BOOST_TEST(!access.isConfirmed(start + 7s));
}

/** A host without a confirmation must not deny a key that a newer configuration may have added. */
BOOST_AUTO_TEST_CASE(anUnknownKeyIsNotDeniedWithoutAConfirmation)
{
    auto keys = configuration({ "k1" });
    BOOST_TEST((control().check(*keys, route(false), "new", start).verdict == Verdict::Unconfirmed));
    BOOST_TEST((control().check(*keys, route(false), "", start).verdict == Verdict::Unauthorized));
}

BOOST_AUTO_TEST_SUITE_END()
