#include "gateway/DemandLedger.h"
#include "gateway/ServerTable.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

const ModelKey key { ServiceName("llm"), ModelName("m"), AdapterName() };

ListedServer listed(const std::string& id, const std::string& dataCentre, unsigned short port, std::int64_t startedAt = 1)
{
    ListedServer server;
    server.id = BackendServerName(id);
    server.service = key.service;
    server.address = { boost::asio::ip::make_address("10.0.0.1"), port };
    server.dataCentre = DataCentreName(dataCentre);
    server.startedAt = startedAt;
    server.models[key.model];
    return server;
}

struct TableFixture {
    TableFixture()
        : table(DataCentreName("z1"), ServerTable::Options())
    {
        table.takeAll({ listed("near", "z1", 1), listed("far-1", "z2", 2), listed("far-2", "z2", 3), listed("far-3", "z2", 4) });
    }

    std::set<std::string> candidates(const ModelKey& wanted = key) const
    {
        std::set<std::string> ids;
        for (const ServerCandidate& each : table.candidates(wanted, {}, now))
            ids.insert(each.id.text());
        return ids;
    }

    ServerTable table;
    Instant now { 1h };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerTableTests, TableFixture)

BOOST_AUTO_TEST_CASE(changesAndDeparturesAreTakenInAndAddressesGivenUp)
{
    FollowReply reply;
    ListedServer leaving = listed("far-1", "z2", 2);
    leaving.isLeaving = true;
    reply.servers = { leaving, listed("far-2", "z2", 9, 2) };
    reply.gone = { BackendServerName("far-3") };
    std::vector<Endpoint> gone = table.takeReply(reply);
    BOOST_TEST((candidates() == std::set<std::string> { "near", "far-2" }));
    BOOST_TEST(gone.size() == 2U);
    reply.isWhole = true;
    reply.servers = { listed("far-2", "z2", 9, 2) };
    table.takeReply(reply);
    BOOST_TEST((candidates() == std::set<std::string> { "far-2" }));
}

BOOST_AUTO_TEST_CASE(aModelThatAServerSaidItLacksIsNotAskedOfItForAWhile)
{
    table.noteMissing(BackendServerName("near"), key, now);
    BOOST_TEST(!candidates().contains("near"));
    now += 2s;
    BOOST_TEST(candidates().contains("near"));
    ModelKey adapter = key;
    adapter.adapter = AdapterName("a1");
    BOOST_TEST(candidates(adapter).empty());
}

/** The load of a data centre cut off: requests must not try its servers one after the other. */
BOOST_AUTO_TEST_CASE(aDataCentreOutOfReachIsLeftOutAsAWholeAndTriedAgain)
{
    table.noteUnreachable(BackendServerName("far-1"), now);
    BOOST_TEST(candidates().size() == 4U);
    table.noteUnreachable(BackendServerName("far-2"), now);
    BOOST_TEST((candidates() == std::set<std::string> { "near" }));
    now += 1s;
    BOOST_TEST(candidates().size() == 4U);
    table.noteUnreachable(BackendServerName("far-3"), now);
    BOOST_TEST((candidates() == std::set<std::string> { "near" }));
    table.noteSuccess(BackendServerName("far-1"));
    BOOST_TEST(candidates().size() == 4U);
}

BOOST_AUTO_TEST_CASE(theOnlyServersAreUsedThoughOutOfReach)
{
    table.takeAll({ listed("far-1", "z2", 2), listed("far-2", "z2", 3) });
    table.noteUnreachable(BackendServerName("far-1"), now);
    table.noteUnreachable(BackendServerName("far-2"), now);
    BOOST_TEST(candidates().size() == 2U);
}

BOOST_AUTO_TEST_CASE(loadsOfOthersAddToOnesOwn)
{
    BackendServerName near("near");
    table.noteSent(near, 100);
    table.outstanding();
    FollowReply reply;
    reply.outstanding = { { near, { 5, 700 } } };
    table.takeReply(reply);
    table.noteSent(near, 50);
    table.noteRead(near, 100);
    auto candidate = table.candidates(key, { BackendServerName("far-1"), BackendServerName("far-2"), BackendServerName("far-3") }, now).front();
    BOOST_TEST((candidate.load.requests == 6 && candidate.load.unreadTokens == 650));
}

BOOST_AUTO_TEST_CASE(demandIsReportedOnceAndForgottenWhenItIsOver)
{
    DemandLedger ledger;
    ledger.noteArrival(key, 2);
    ledger.noteArrival(key, 1);
    ledger.addWaiting(key, 1);
    auto reports = ledger.takeReports();
    BOOST_REQUIRE(reports.size() == 1U);
    BOOST_TEST((reports.front().arrivals == 2 && reports.front().rank == 1 && reports.front().waiting == 1));
    ledger.addWaiting(key, -1);
    ledger.noteRefused(key);
    reports = ledger.takeReports();
    BOOST_TEST((reports.size() == 1 && reports.front().arrivals == 0 && reports.front().refused == 1 && reports.front().waiting == 0));
    BOOST_TEST(ledger.takeReports().empty());
}

BOOST_AUTO_TEST_SUITE_END()
