#include "hemlockchute/fleet/RouteConfiguration.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

Route route(const std::string& name, const std::string& host, const std::string& prefix, std::vector<WeightedService> services = { { ServiceName("llm"), 1 } })
{
    Route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.timeout = 1s;
    route.services = std::move(services);
    return route;
}

RouteConfiguration::Parts parts(std::vector<Route> routes)
{
    RouteConfiguration::Parts parts;
    parts.version = ConfigurationVersion(7);
    parts.routes = std::move(routes);
    parts.services.emplace(ServiceName("llm"), RoutedService { ServiceName("llm"), 10, std::nullopt });
    return parts;
}

bool isInvalid(std::vector<Route> routes)
{
    auto made = RouteConfiguration::make(parts(std::move(routes)));
    return !made && made.error().code == ConfigurationErrorCode::Invalid && !made.error().detail.empty();
}

} // namespace

BOOST_AUTO_TEST_SUITE(RouteConfigurationTests)

BOOST_AUTO_TEST_CASE(theLongestMatchingPrefixOfTheHostWins)
{
    auto made = RouteConfiguration::make(parts({ route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/"), route("root", "a.example", "/") }));
    BOOST_REQUIRE(made);
    const RouteConfiguration& configuration = **made;
    auto name = [&](std::string_view host, std::string_view path) { return configuration.findRoute(host, path) ? configuration.findRoute(host, path)->name : "none"; };
    BOOST_TEST(name("a.example", "/x/y/z") == "long");
    BOOST_TEST(name("a.example", "/x/y") == "short");
    BOOST_TEST(name("A.Example", "/x/") == "short");
    BOOST_TEST(name("a.example", "/x") == "root");
    BOOST_TEST(name("b.example", "/x/y/z") == "other");
    BOOST_TEST(name("c.example", "/") == "none");
    BOOST_TEST(name("a.example", "") == "none");
}

BOOST_AUTO_TEST_CASE(anInvalidConfigurationIsRejectedWithTheRoutesName)
{
    BOOST_TEST(isInvalid({ route("r", "a", "/x/", { { ServiceName("nobody"), 1 } }) }));
    BOOST_TEST(isInvalid({ route("r", "a", "/x/"), route("s", "a", "/x/") }));
    BOOST_TEST(isInvalid({ route("r", "a", "/x/", { { ServiceName("llm"), 0 } }) }));
    BOOST_TEST(isInvalid({ route("r", "a", "/x/", {}) }));
    BOOST_TEST(isInvalid({ route("r", "a", "x/") }));
    Route untimed = route("r", "a", "/x/");
    untimed.timeout = Duration::zero();
    BOOST_TEST(isInvalid({ untimed }));
    auto made = RouteConfiguration::make(parts({ untimed }));
    BOOST_TEST(made.error().detail.find("route r") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(onlySafeRequestsAndResumableStreamsMayBeRepeated)
{
    Route each = route("r", "a", "/");
    each.kind = RequestKind::Safe;
    BOOST_TEST(each.isRepeatable());
    each.kind = RequestKind::Unsafe;
    each.isResumable = true;
    BOOST_TEST(!each.isRepeatable());
    each.kind = RequestKind::Stream;
    BOOST_TEST(each.isRepeatable());
    each.isResumable = false;
    BOOST_TEST(!each.isRepeatable());
}

BOOST_AUTO_TEST_SUITE_END()
