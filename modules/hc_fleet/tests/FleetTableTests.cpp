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

/** Follows a table, as gateways and relays do. */
struct Follower {
    FleetTable table;

    /** Polls once; false once there are no further parts. */
    bool poll(const FleetTable& source)
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
        while (poll(source)) { }
    }
};

/** Each server's slots, as read by a follower that starts from nothing. */
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

/** When 300 gateways restart with 3,000 servers, the size of a reply must not grow with the number of servers. */
BOOST_AUTO_TEST_CASE(aLongListIsSentInBoundedParts)
{
    FleetTable leader;
    leader.beginEpoch(2);
    for (unsigned i = 0; i < 3000; ++i)
        leader.put(server(i));
    FollowRequest request;
    Follower gateway;
    unsigned parts = 1;
    for (; gateway.poll(leader); ++parts) {
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

BOOST_AUTO_TEST_CASE(anUnchangedServerIsNotSentAgain)
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

/** A follower that switches between the leader and relays, even in the middle of a list, ends up with the leader's servers. */
BOOST_AUTO_TEST_CASE(followersOfChangingRelaysConvergeToTheLeadersServers)
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
                relays[which % 3].poll(leader);
            else if (Follower& relay = relays[which % 3]; relay.table.epoch() >= gateway.table.epoch())
                gateway.poll(relay.table);
        }
        Follower& last = relays.front();
        last.catchUp(leader);
        gateway.catchUp(last.table);
        RC_ASSERT(contents(gateway.table) == contents(leader));
    });
}

BOOST_AUTO_TEST_SUITE_END()
