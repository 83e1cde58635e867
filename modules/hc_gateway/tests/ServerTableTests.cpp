#include "gateway/DemandTracker.h"
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

FleetEntry entry(ListedServer server, std::uint64_t handle = 0)
{
    return { std::move(server), ServerHandle(handle), 1 };
}

RequestMetadata withTokens(std::uint64_t prompt, std::uint64_t output)
{
    RequestMetadata request;
    request.promptTokens = prompt;
    request.maximumOutputTokens = output;
    return request;
}

struct TableFixture {
    TableFixture()
        : table(DataCentreName("z1"), ServerTable::Options())
    {
        table.replaceAll({ listed("near", "z1", 1), listed("far-1", "z2", 2), listed("far-2", "z2", 3), listed("far-3", "z2", 4) });
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

BOOST_AUTO_TEST_CASE(replyAppliesChangesAndDeparturesAndReturnsUnusedAddresses)
{
    FollowReply reply;
    ListedServer leaving = listed("far-1", "z2", 2);
    leaving.isLeaving = true;
    reply.servers = { entry(leaving), entry(listed("far-2", "z2", 9, 2)) };
    reply.gone = { { BackendServerName("far-3"), 2 } };
    std::vector<Endpoint> gone = table.applyReply(reply);
    BOOST_TEST((candidates() == std::set<std::string> { "near", "far-2" }));
    BOOST_TEST(gone.size() == 2U);
    reply.isWhole = true;
    reply.servers = { entry(listed("far-2", "z2", 9, 2)) };
    table.applyReply(reply);
    BOOST_TEST((candidates() == std::set<std::string> { "far-2" }));
}

BOOST_AUTO_TEST_CASE(serverThatReportedAModelMissingIsExcludedForAWhile)
{
    table.noteModelMissing(BackendServerName("near"), key, now);
    BOOST_TEST(!candidates().contains("near"));
    now += 2s;
    BOOST_TEST(candidates().contains("near"));
    ModelKey adapter = key;
    adapter.adapter = AdapterName("a1");
    BOOST_TEST(candidates(adapter).empty());
}

/** When a data centre is partitioned, requests must not try its servers one by one. */
BOOST_AUTO_TEST_CASE(unreachableDataCentreIsExcludedAsAWholeAndTriedAgain)
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

BOOST_AUTO_TEST_CASE(unreachableServersAreUsedWhenThereAreNoOthers)
{
    table.replaceAll({ listed("far-1", "z2", 2), listed("far-2", "z2", 3) });
    table.noteUnreachable(BackendServerName("far-1"), now);
    table.noteUnreachable(BackendServerName("far-2"), now);
    BOOST_TEST(candidates().size() == 2U);
}

BOOST_AUTO_TEST_CASE(loadOfOtherGatewaysIsAddedToTheOwnLoad)
{
    BackendServerName near("near");
    FollowReply reply;
    reply.servers = { entry(listed("near", "z1", 1), 7) };
    table.applyReply(reply);
    table.noteSent(near, withTokens(100, 20));
    auto reported = table.outstanding();
    BOOST_TEST((reported.size() == 1 && reported.front().server == ServerHandle(7) && reported.front().load.requests == 1 && reported.front().load.heldTokens == 120));
    reply.servers.clear();
    reply.outstanding = { { ServerHandle(7), { 5, 700, 1000 } } };
    table.applyReply(reply);
    table.noteSent(near, withTokens(50, 10));
    table.notePromptRead(near, withTokens(100, 20));
    auto candidate = table.candidates(key, { BackendServerName("far-1"), BackendServerName("far-2"), BackendServerName("far-3") }, now).front();
    BOOST_TEST((candidate.load.requests == 6 && candidate.load.unreadTokens == 650 && candidate.load.heldTokens == 1060));
    table.noteEnded(near, withTokens(100, 20));
    table.noteEnded(near, withTokens(50, 10));
    candidate = table.candidates(key, { BackendServerName("far-1"), BackendServerName("far-2"), BackendServerName("far-3") }, now).front();
    BOOST_TEST((candidate.load.requests == 4 && candidate.load.unreadTokens == 650 && candidate.load.heldTokens == 880));
}

/** A coordinator that does not count held tokens must not hide those of this gateway's requests. */
BOOST_AUTO_TEST_CASE(ownHeldTokensCountIfTheCoordinatorDoesNotReportAny)
{
    BackendServerName near("near");
    FollowReply reply;
    reply.servers = { entry(listed("near", "z1", 1), 7) };
    table.applyReply(reply);
    table.noteSent(near, withTokens(100, 20));
    table.outstanding();
    reply.servers.clear();
    reply.outstanding = { { ServerHandle(7), { 3, 100 } } };
    table.applyReply(reply);
    table.setTokenCapacities({ { key.service, 5000 }, { ServiceName("other"), 7 } });
    auto candidate = table.candidates(key, { BackendServerName("far-1"), BackendServerName("far-2"), BackendServerName("far-3") }, now).front();
    BOOST_TEST((candidate.load.requests == 3 && candidate.load.heldTokens == 120 && candidate.tokenCapacity == 5000));
}

/** After a coordinator restart the full list may need several replies; servers must not be removed before it is complete. */
BOOST_AUTO_TEST_CASE(fullListInPartsReplacesTheOldOneWithItsLastPart)
{
    FollowReply part;
    part.isWhole = true;
    part.hasMore = true;
    part.servers = { entry(listed("near", "z1", 1), 1) };
    table.applyReply(part);
    BOOST_TEST(candidates().size() == 4U);
    part.isWhole = false;
    part.servers = { entry(listed("new", "z2", 8), 2) };
    table.applyReply(part);
    BOOST_TEST(candidates().size() == 5U);
    part.hasMore = false;
    part.servers.clear();
    part.gone = { { BackendServerName("new"), 3 } };
    std::vector<Endpoint> gone = table.applyReply(part);
    BOOST_TEST((candidates() == std::set<std::string> { "near" }));
    BOOST_TEST(gone.size() == 4U);
}

/** Guards against servers that have left and stay in use while a large configuration arrives, since hasMore serves both. */
BOOST_AUTO_TEST_CASE(aPartOfAConfigurationDoesNotDelayTheEndOfAFullList)
{
    FollowReply part;
    part.isWhole = true;
    part.hasMore = true;
    part.configuration = "part";
    part.configurationSize = 8;
    part.servers = { entry(listed("near", "z1", 1), 1) };
    table.applyReply(part);
    BOOST_TEST((candidates() == std::set<std::string> { "near" }));
}

/** A handle of an earlier epoch may refer to another server in the current one. */
BOOST_AUTO_TEST_CASE(loadIsNotReportedUnderHandlesOfAnEarlierEpoch)
{
    BackendServerName near("near");
    FollowReply reply;
    reply.servers = { entry(listed("near", "z1", 1), 7) };
    table.applyReply(reply);
    table.noteSent(near, withTokens(100, 0));
    reply.isWhole = true;
    reply.hasMore = true;
    reply.servers = { entry(listed("far-1", "z2", 2), 7) };
    table.applyReply(reply);
    BOOST_TEST(table.outstanding().empty());
}

BOOST_AUTO_TEST_CASE(aServerThatRefusesConnectionsIsLeftOutUntilItIsListedAnewOrAWhileHasPassed)
{
    table.noteConnectionRefused(BackendServerName("near"), now);
    table.noteConnectionRefused(BackendServerName("far-1"), now);
    BOOST_TEST((candidates() == std::set<std::string> { "far-2", "far-3" }));
    BOOST_TEST(table.isRefusing(BackendServerName("near"), now));
    std::vector<ServerIncarnation> refusing = table.refusing(now);
    BOOST_REQUIRE(refusing.size() == 2U);
    BOOST_TEST(refusing.front().startedAt == 1);
    table.replaceAll({ listed("near", "z1", 1), listed("far-1", "z2", 2, 2), listed("far-2", "z2", 3), listed("far-3", "z2", 4) });
    BOOST_TEST((candidates() == std::set<std::string> { "far-1", "far-2", "far-3" }));
    now += 1s;
    BOOST_TEST(candidates().contains("near"));
    BOOST_TEST(table.refusing(now).empty());
}

BOOST_AUTO_TEST_CASE(demandIsReportedOnceAndDroppedWhenItEnds)
{
    DemandTracker tracker;
    tracker.noteArrival(key, 2);
    tracker.noteArrival(key, 1);
    BOOST_TEST(!tracker.isWaiting());
    tracker.addWaiting(key, 1);
    BOOST_TEST(tracker.isWaiting());
    auto reports = tracker.takeReports();
    BOOST_REQUIRE(reports.size() == 1U);
    BOOST_TEST((reports.front().arrivals == 2 && reports.front().rank == 1 && reports.front().waiting == 1));
    tracker.addWaiting(key, -1);
    BOOST_TEST(!tracker.isWaiting());
    tracker.noteRefused(key);
    reports = tracker.takeReports();
    BOOST_TEST((reports.size() == 1 && reports.front().arrivals == 0 && reports.front().refused == 1 && reports.front().waiting == 0));
    BOOST_TEST(tracker.takeReports().empty());
}

BOOST_AUTO_TEST_SUITE_END()
