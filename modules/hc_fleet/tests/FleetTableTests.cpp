#include "PropertyCheck.h"
#include "hemlockchute/fleet/FleetTable.h"

using namespace hemlockchute;

namespace {

ListedServer server(unsigned number, unsigned slots = 8)
{
    ListedServer listed;
    listed.id = BackendServerName("s" + std::to_string(number));
    listed.slots = slots;
    return listed;
}

/** One that follows a table, as gateways and relays do. */
struct Follower {
    FleetTable table;

    /** Asks once; false once there is nothing more to ask for. */
    bool ask(const FleetTable& source)
    {
        FollowRequest request;
        request.epoch = table.epoch();
        request.revision = table.revision();
        FollowReply reply;
        source.fill(reply, request);
        table.apply(reply);
        return reply.hasMore;
    }

    void catchUp(const FleetTable& source)
    {
        while (ask(source)) { }
    }
};

/** Each server's slots, as one that knows nothing is told. */
std::map<std::string, unsigned> contents(const FleetTable& table)
{
    std::map<std::string, unsigned> all;
    FollowRequest request;
    FollowReply reply;
    do {
        reply = FollowReply();
        table.fill(reply, request);
        for (const FleetEntry& entry : reply.servers)
            all[entry.server.id.text()] = entry.server.slots;
        request.epoch = reply.epoch;
        request.revision = reply.revision;
    } while (reply.hasMore);
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetTableTests)

/** The load of a restart of 300 gateways before 3,000 servers: no answer may grow with the servers. */
BOOST_AUTO_TEST_CASE(aLongListComesInParts)
{
    FleetTable leader;
    leader.beginEpoch(2);
    for (unsigned i = 0; i < 3000; ++i)
        leader.put(server(i));
    FollowRequest request;
    Follower gateway;
    unsigned parts = 1;
    for (; gateway.ask(leader); ++parts) {
        FollowReply reply;
        leader.fill(reply, request);
        BOOST_REQUIRE(reply.servers.size() <= FleetTable::Options().serversPerReply);
    }
    BOOST_TEST(gateway.table.size() == 3000U);
    BOOST_TEST(parts == 30U);
    FollowReply reply;
    request.epoch = 2;
    request.revision = gateway.table.revision();
    leader.fill(reply, request);
    BOOST_TEST((reply.servers.empty() && !reply.hasMore && !reply.isWhole));
}

BOOST_AUTO_TEST_CASE(whatDidNotChangeIsNotSentAgain)
{
    FleetTable leader;
    leader.beginEpoch(1);
    leader.put(server(1));
    leader.put(server(2));
    std::uint64_t revision = leader.revision();
    leader.put(server(1));
    BOOST_TEST(leader.revision() == revision);
    leader.put(server(1, 9));
    BOOST_TEST(leader.revision() == revision + 1);
}

/** Whoever asks the leader and relays in turn, and in the middle of a list, ends with what the leader has. */
BOOST_AUTO_TEST_CASE(followersOfRelaysEndWithTheLeadersServers)
{
    checkProperty("the servers followed over changing relays", 300, [] {
        FleetTable leader(FleetTable::Options { 3, 4 });
        constexpr std::uint64_t epochStep = 100;
        leader.beginEpoch(1);
        std::vector<Follower> relays(3, Follower { FleetTable(FleetTable::Options { 2, 1000 }) });
        Follower gateway;
        std::uint64_t epoch = 1;
        for (unsigned step : *rc::gen::container<std::vector<unsigned>>(60, rc::gen::inRange(0U, 1000U))) {
            unsigned what = step % 10;
            unsigned which = step / 10;
            if (what < 4)
                leader.put(server(which % 12, which % 5));
            else if (what == 4)
                leader.remove(server(which % 12).id);
            else if (what == 5 && which % 8 == 0) {
                leader.beginEpoch(epoch += epochStep);
                for (unsigned i = 0; i < 7; ++i)
                    leader.put(server(i));
            } else if (what < 8)
                relays[which % 3].ask(leader);
            else if (Follower& relay = relays[which % 3]; relay.table.epoch() >= gateway.table.epoch())
                gateway.ask(relay.table);
        }
        Follower& last = relays.front();
        last.catchUp(leader);
        gateway.catchUp(last.table);
        RC_ASSERT(contents(gateway.table) == contents(leader));
    });
}

BOOST_AUTO_TEST_SUITE_END()
