#include "hemlockchute/fleet/ServerChooser.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace hemlockchute;

namespace {

ServerCandidate server(const std::string& id, bool isLocal, unsigned requests, std::uint64_t unread = 0)
{
    return { BackendServerName(id), isLocal, 16, { requests, unread } };
}

RequestMetadata prompt(const std::string& shared, std::uint64_t tokens)
{
    RequestMetadata request;
    request.promptParts = { { shared, tokens }, { "own", 400 } };
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerChooserTests)

BOOST_AUTO_TEST_CASE(theLeastLoadedServerWinsAndTheLocalOneOnATie)
{
    ServerChooser chooser { ServerChooser::Options() };
    BOOST_TEST(!chooser.choose({}, {}));
    BOOST_TEST((chooser.choose({ server("far", false, 0), server("near", true, 0) }, {}) == 1U));
    BOOST_TEST((chooser.choose({ server("far", false, 0), server("near", true, 12) }, {}) == 0U));
    BOOST_TEST((chooser.choose({ server("reading", true, 1, 9000), server("far", false, 8) }, {}) == 1U));
    BOOST_TEST((chooser.choose({ server("queued", true, 20), server("full", false, 16) }, {}) == 1U));
}

BOOST_AUTO_TEST_CASE(aLongSharedPromptGoesToItsCachingServerUntilThatIsFull)
{
    ServerChooser chooser { ServerChooser::Options() };
    std::vector<ServerCandidate> servers { server("a", true, 2), server("b", true, 0), server("c", true, 0) };
    auto cachingServer = chooser.choose(servers, prompt("p1", 6000));
    BOOST_REQUIRE(cachingServer);
    std::vector<ServerCandidate> rotated { servers[2], servers[0], servers[1] };
    BOOST_TEST((rotated[*chooser.choose(rotated, prompt("p1", 6000))].id == servers[*cachingServer].id));
    servers[*cachingServer].load.requests = 40;
    BOOST_TEST((chooser.choose(servers, prompt("p1", 6000)) != cachingServer));
}

BOOST_AUTO_TEST_CASE(differentPromptsSpreadOverTheServers)
{
    ServerChooser chooser { ServerChooser::Options() };
    std::vector<ServerCandidate> servers { server("a", true, 0), server("b", true, 0), server("c", true, 0) };
    std::set<std::size_t> used;
    for (int i = 0; i < 30; ++i)
        used.insert(*chooser.choose(servers, prompt("p" + std::to_string(i), 6000)));
    BOOST_TEST(used.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
