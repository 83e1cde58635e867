#include "fleet/Fleet.capnp.h"
#include "hemlockchute/fleet/CoordinatorAddress.h"
#include "hemlockchute/fleet/FleetMessages.h"

#include <boost/test/unit_test.hpp>
#include <capnp/message.h>
#include <capnp/serialize.h>

using namespace hemlockchute;

BOOST_AUTO_TEST_SUITE(FleetMessagesTests)

BOOST_AUTO_TEST_CASE(aFollowRequestRoundTrips)
{
    FollowRequest sent;
    sent.host = HostName("edge-1");
    sent.configuration = ConfigurationVersion(4);
    sent.configurationPartOf = ConfigurationVersion(5);
    sent.configurationOffset = 32768;
    sent.epoch = 5;
    sent.revision = 6;
    sent.demands = { { { ServiceName("llm"), ModelName("m"), AdapterName("a") }, 1, 2, 3, 4, 5 } };
    sent.outstanding = { { ServerHandle(3), { 7, 800, 900 } }, { ServerHandle(4), { 1, 0, 0 } } };
    sent.gateways = 9;
    sent.isLast = true;
    sent.leaving = { { BackendServerName("s"), 77 } };
    sent.ended = { { BackendServerName("t"), 78 } };
    Instant now = currentTime();
    sent.promptParts.crashes = { { { BackendServerName("t"), 78 }, { PromptPartKey(1), PromptPartKey(2) }, now - 3s, now - 2s } };
    sent.promptParts.progress = { { PromptPartKey(3), now - 1s } };
    sent.promptParts.refused = { { PromptPartKey(4) }, { PromptPartKey(5), PromptPartKey(6) } };
    sent.promptParts.quarantined = { { PromptPartKey(5), true, 3s, 4 } };
    sent.rateLimits = { { { BackendServerName("u"), 79 }, RequestRate { 2.5 }, now - 4s, now - 3s }, { { BackendServerName("v"), 80 }, std::nullopt, now, now } };
    sent.rateDemands = { { { BackendServerName("u"), 79 }, 2, 7 } };
    sent.relay = KeeperId(10);
    sent.dataCentre = DataCentreName("z1");
    auto read = decodeFollowRequest(encodeFollowRequest(sent));
    BOOST_REQUIRE(read);
    BOOST_TEST((read->host == sent.host && read->configuration == sent.configuration && read->epoch == 5 && read->revision == 6));
    BOOST_TEST((read->configurationPartOf == sent.configurationPartOf && read->configurationOffset == 32768));
    BOOST_REQUIRE(read->demands.size() == 1U);
    const ModelDemandReport& demand = read->demands.front();
    BOOST_TEST((demand.key == sent.demands.front().key));
    BOOST_TEST((demand.waiting == 1 && demand.active == 2 && demand.arrivals == 3 && demand.refused == 4 && demand.rank == 5));
    BOOST_TEST((read->outstanding.size() == 2 && read->outstanding.front().server == ServerHandle(3) && read->outstanding.front().load.requests == 7 && read->outstanding.front().load.unreadTokens == 800));
    BOOST_TEST((read->outstanding.front().load.heldTokens == 900 && read->outstanding.back().server == ServerHandle(4) && read->outstanding.back().load.heldTokens == 0));
    BOOST_TEST((read->leaving == sent.leaving && read->ended == sent.ended));
    BOOST_REQUIRE(read->promptParts.crashes.size() == 1U);
    const ServerCrash& crash = read->promptParts.crashes.front();
    BOOST_TEST((crash.server == sent.ended.front() && crash.parts == sent.promptParts.crashes.front().parts));
    auto isNear = [](Instant a, Instant b) { return std::max(a, b) - std::min(a, b) < 500ms; };
    BOOST_TEST((isNear(crash.sent, now - 3s) && isNear(crash.ended, now - 2s)));
    BOOST_TEST((crash.ended - crash.sent == 1s));
    BOOST_REQUIRE(read->promptParts.progress.size() == 1U);
    BOOST_TEST((read->promptParts.progress.front().part == PromptPartKey(3) && isNear(read->promptParts.progress.front().at, now - 1s)));
    BOOST_TEST((read->promptParts.refused == sent.promptParts.refused && read->promptParts.quarantined == sent.promptParts.quarantined));
    BOOST_REQUIRE((read->rateLimits.size() == 2U && read->rateDemands.size() == 1U));
    BOOST_TEST((read->rateLimits[0].server == sent.rateLimits[0].server && read->rateLimits[0].limit == RequestRate { 2.5 } && !read->rateLimits[1].limit));
    BOOST_TEST((isNear(read->rateLimits[0].sent, now - 4s) && isNear(read->rateLimits[0].received, now - 3s)));
    BOOST_TEST((read->rateDemands[0].server == sent.rateDemands[0].server && read->rateDemands[0].rank == 2 && read->rateDemands[0].requests == 7));
    BOOST_TEST((read->gateways == 9 && read->isLast && read->relay == sent.relay && read->dataCentre == sent.dataCentre));
}

/** Hosts of earlier versions send no list of held tokens; their reports must stay readable. */
BOOST_AUTO_TEST_CASE(loadsAreReadWithAndWithoutHeldTokens)
{
    auto encoded = [](std::vector<std::uint32_t> heldTokens) {
        capnp::MallocMessageBuilder message;
        auto loads = message.initRoot<fleetwire::FollowRequest>().initLoads();
        for (auto list : { loads.initServers(2), loads.initRequests(2), loads.initUnreadTokens(2) }) {
            list.set(0, 5);
            list.set(1, 6);
        }
        auto list = loads.initHeldTokens(static_cast<unsigned>(heldTokens.size()));
        for (unsigned i = 0; i < heldTokens.size(); ++i)
            list.set(i, heldTokens[i]);
        auto words = capnp::messageToFlatArray(message);
        auto bytes = words.asBytes();
        return ByteString(bytes.begin(), bytes.end());
    };
    auto without = decodeFollowRequest(encoded({}));
    BOOST_REQUIRE((without && without->outstanding.size() == 2));
    BOOST_TEST((without->outstanding[1].load.requests == 6 && without->outstanding[1].load.unreadTokens == 6 && without->outstanding[1].load.heldTokens == 0));
    auto with = decodeFollowRequest(encoded({ 70, 80 }));
    BOOST_REQUIRE((with && with->outstanding.size() == 2));
    BOOST_TEST((with->outstanding[0].load.heldTokens == 70 && with->outstanding[1].load.heldTokens == 80));
    BOOST_TEST(!decodeFollowRequest(encoded({ 70 })));
}

BOOST_AUTO_TEST_CASE(aFollowReplyRoundTrips)
{
    FollowReply sent;
    sent.suspectParts = { { PromptPartKey(1), true, 5s, 6 }, { PromptPartKey(2), false, {} } };
    sent.trialParts = { PromptPartKey(1) };
    sent.rateLimits = { { { BackendServerName("u"), 79 }, RequestRate { 2.5 }, currentTime(), currentTime() } };
    sent.rateGrants = { { { BackendServerName("u"), 79 }, 2, 3, 900ms, 12 } };
    sent.isCurrent = true;
    sent.leader = KeeperId(9);
    sent.coordinators = { KeeperId(9), KeeperId(10) };
    sent.version = ConfigurationVersion(3);
    sent.configuration = std::string("\0bytes\xff", 7);
    sent.configurationSize = 100;
    sent.configurationOffset = 64;
    sent.epoch = 11;
    sent.revision = 12;
    ListedServer server;
    server.id = BackendServerName("s");
    server.service = ServiceName("llm");
    server.address = *parseEndpoint("10.1.2.3:8080");
    server.dataCentre = DataCentreName("z1");
    server.startedAt = 99;
    server.slots = 16;
    server.isLeaving = true;
    server.models = { { ModelName("m"), { AdapterName("a1"), AdapterName("a2") } }, { ModelName("n"), {} } };
    sent.isWhole = true;
    sent.hasMore = true;
    sent.age = 40ms;
    sent.relays = { { KeeperId(10), DataCentreName("z1") } };
    sent.followers = 5;
    sent.servers = { { server, ServerHandle(4), 12 } };
    sent.gone = { { BackendServerName("old"), 8 } };
    sent.listAge = 300ms;
    sent.expectations = { { ServiceName("llm"), ModelName("x"), 1500ms } };
    sent.outstanding = { { ServerHandle(4), { 2, 0, 40 } } };
    sent.gateways = 7;
    auto read = decodeFollowReply(encodeFollowReply(sent));
    BOOST_REQUIRE(read);
    BOOST_TEST((read->suspectParts == sent.suspectParts && read->trialParts == sent.trialParts));
    BOOST_REQUIRE((read->rateLimits.size() == 1U && read->rateGrants.size() == 1U));
    BOOST_TEST((read->rateLimits.front().limit == RequestRate { 2.5 }));
    const RateGrant& grant = read->rateGrants.front();
    BOOST_TEST((grant.server == sent.rateGrants.front().server && grant.rank == 2 && grant.requests == 3 && grant.remaining == 900ms && grant.waiting == 12));
    BOOST_TEST((read->isCurrent && read->leader == sent.leader && read->coordinators == sent.coordinators && read->version == sent.version));
    BOOST_TEST(read->configuration == sent.configuration);
    BOOST_TEST((read->epoch == 11 && read->revision == 12 && read->gateways == 7));
    BOOST_REQUIRE(read->servers.size() == 1U);
    BOOST_TEST((read->servers.front().server == server && read->servers.front().handle == ServerHandle(4) && read->servers.front().revision == 12));
    BOOST_TEST((read->configurationSize == 100 && read->configurationOffset == 64 && read->hasMoreConfiguration() && !read->hasMoreServers()));
    BOOST_TEST((read->isWhole && read->hasMore && read->gone == sent.gone && read->listAge == sent.listAge));
    BOOST_TEST((read->age == 40ms && read->relays == sent.relays && read->followers == 5));
    BOOST_TEST((read->outstanding.size() == 1 && read->outstanding.front().server == ServerHandle(4) && read->outstanding.front().load.requests == 2 && read->outstanding.front().load.heldTokens == 40));
    sent.listAge.reset();
    BOOST_TEST(!decodeFollowReply(encodeFollowReply(sent))->listAge);
    BOOST_TEST((read->expectations.size() == 1 && read->expectations.front().remaining == 1500ms));
}

BOOST_AUTO_TEST_CASE(malformedMessagesAreRejected)
{
    BOOST_TEST(!decodeFollowRequest("rubbish"));
    BOOST_TEST(!decodeFollowReply(""));
    ByteString cut = encodeConfigurationBody({ ConfigurationVersion(1), std::string(100, 'x') });
    cut.resize(cut.size() - 16);
    BOOST_TEST(!decodeConfigurationBody(cut));
}

BOOST_AUTO_TEST_CASE(aCoordinatorIdRoundTripsItsAddress)
{
    Endpoint endpoint(boost::asio::ip::make_address("10.2.0.36"), 7380);
    BOOST_TEST((endpointOf(keeperIdOf(endpoint)) == endpoint));
}

BOOST_AUTO_TEST_SUITE_END()
