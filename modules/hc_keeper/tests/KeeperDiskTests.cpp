#include "TemporaryFolder.h"
#include "hemlockchute/agreement/KeeperDisk.h"
#include "keeper/ClusterBootstrap.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

ReplicaId replica(std::uint64_t keeper, std::uint64_t incarnation)
{
    return { KeeperId(keeper), IncarnationId(incarnation) };
}

Membership votersOf(std::vector<ReplicaId> ids)
{
    return { { ids.begin(), ids.end() }, {} };
}

std::unique_ptr<KeeperDisk> openDisk(const TemporaryFolder& folder, std::uint64_t newIncarnation)
{
    auto disk = KeeperDisk::open(FileSystem::system(), folder.path, IncarnationId(newIncarnation));
    BOOST_REQUIRE_MESSAGE(disk, disk.error().detail);
    return std::move(*disk);
}

Effects appendOf(std::uint64_t first, std::uint64_t last)
{
    Effects effects;
    for (std::uint64_t index = first; index <= last; ++index)
        effects.append.push_back({ LogIndex(index), AgreementTerm(1), LogEntry::Kind::Command, "e" + std::to_string(index) });
    return effects;
}

ReplicaSnapshot snapshotAt(std::uint64_t index)
{
    return { LogIndex(index), AgreementTerm(1), votersOf({ replica(1, 7) }), "state" };
}

KeeperReport reportOf(std::uint64_t keeper, std::uint64_t incarnation, std::optional<Membership> initial = std::nullopt)
{
    KeeperReport report { { IncarnationId(incarnation), std::move(initial) }, {} };
    report.status.self = KeeperId(keeper);
    return report;
}

const std::vector<KeeperId> others { KeeperId(2), KeeperId(3) };

} // namespace

BOOST_AUTO_TEST_SUITE(KeeperDiskTests)

BOOST_AUTO_TEST_CASE(folderKeepsItsIncarnationAndAnEmptiedOneGetsAnother)
{
    TemporaryFolder folder;
    BOOST_TEST(openDisk(folder, 7)->identity().incarnation == IncarnationId(7));
    BOOST_TEST(openDisk(folder, 8)->identity().incarnation == IncarnationId(7));
    std::filesystem::remove_all(folder.path);
    BOOST_TEST(openDisk(folder, 9)->identity().incarnation == IncarnationId(9));
}

BOOST_AUTO_TEST_CASE(stateWithoutIdentityIsRefused)
{
    TemporaryFolder folder;
    Effects effects;
    effects.hardState = HardState { AgreementTerm(1), std::nullopt };
    BOOST_REQUIRE(openDisk(folder, 7)->store(effects));
    std::filesystem::remove(folder.path / "identity.snapshot");
    BOOST_TEST(!KeeperDisk::open(FileSystem::system(), folder.path, IncarnationId(8)));
}

BOOST_AUTO_TEST_CASE(storedStateIsRecoveredOnReopen)
{
    TemporaryFolder folder;
    Membership initial = votersOf({ replica(1, 7), replica(2, 8) });
    {
        auto disk = openDisk(folder, 7);
        BOOST_REQUIRE(disk->bootstrap(initial));
        Effects effects = appendOf(1, 5);
        effects.hardState = HardState { AgreementTerm(3), replica(2, 8) };
        BOOST_REQUIRE(disk->store(effects));
        effects = appendOf(4, 4);
        effects.truncateFrom = LogIndex(4);
        BOOST_REQUIRE(disk->store(effects));
    }
    auto disk = openDisk(folder, 9);
    RecoveredState recovered = disk->takeRecovered();
    BOOST_TEST((disk->identity().initialMembership == initial));
    BOOST_TEST((recovered.initialMembership == initial));
    BOOST_TEST((recovered.hardState == HardState { AgreementTerm(3), replica(2, 8) }));
    BOOST_TEST(recovered.entries.size() == 4U);
}

BOOST_AUTO_TEST_CASE(installedSnapshotReplacesALogThatEndsBeforeIt)
{
    TemporaryFolder folder;
    {
        auto disk = openDisk(folder, 7);
        BOOST_REQUIRE(disk->store(appendOf(1, 10)));
        BOOST_REQUIRE(disk->compact(snapshotAt(10)));
        Effects effects = appendOf(101, 102);
        effects.install = snapshotAt(100);
        BOOST_REQUIRE(disk->store(effects));
    }
    RecoveredState recovered = openDisk(folder, 7)->takeRecovered();
    BOOST_REQUIRE(recovered.snapshot);
    BOOST_TEST(recovered.snapshot->lastIndex == LogIndex(100));
    BOOST_REQUIRE(recovered.entries.size() == 2U);
    BOOST_TEST(recovered.entries.front().index == LogIndex(101));
}

BOOST_AUTO_TEST_CASE(logThatEndsBeforeTheSnapshotIsDiscardedOnReopen)
{
    TemporaryFolder folder;
    BOOST_REQUIRE(openDisk(folder, 7)->store(appendOf(1, 10)));
    BOOST_REQUIRE(SnapshotStore(FileSystem::system(), folder.path).write("state", encodeSnapshot(snapshotAt(50))));
    auto disk = openDisk(folder, 7);
    BOOST_TEST(disk->takeRecovered().entries.empty());
    BOOST_REQUIRE(disk->store(appendOf(51, 52)));
    BOOST_TEST(openDisk(folder, 7)->takeRecovered().entries.size() == 2U);
}

BOOST_AUTO_TEST_CASE(replacedIncarnationIsNotBootstrapped)
{
    TemporaryFolder folder;
    auto disk = openDisk(folder, 7);
    BOOST_REQUIRE(disk->bootstrap(votersOf({ replica(1, 7) })));
    BOOST_REQUIRE(disk->replaceIncarnation(IncarnationId(8)));
    BOOST_TEST((openDisk(folder, 9)->identity() == KeeperIdentity { IncarnationId(8), std::nullopt }));
}

BOOST_AUTO_TEST_SUITE_END()

//==============================================================================
BOOST_AUTO_TEST_SUITE(ClusterBootstrapTests)

BOOST_AUTO_TEST_CASE(clusterBootstrapsOnlyWhenEveryKeeperAnswers)
{
    std::map<KeeperId, KeeperReport> reports { { KeeperId(2), reportOf(2, 20) } };
    BOOST_TEST(!decideBootstrap(replica(1, 10), others, reports));
    BOOST_TEST(!decideBootstrap(replica(1, 10), others, {}));
    reports[KeeperId(3)] = reportOf(3, 30);
    auto membership = decideBootstrap(replica(1, 10), others, reports);
    BOOST_REQUIRE(membership);
    BOOST_TEST((*membership == votersOf({ replica(1, 10), replica(2, 20), replica(3, 30) })));
}

BOOST_AUTO_TEST_CASE(keeperAdoptsAnInitialMembershipThatNamesItsIncarnation)
{
    Membership initial = votersOf({ replica(1, 10), replica(2, 20), replica(3, 30) });
    std::map<KeeperId, KeeperReport> reports { { KeeperId(2), reportOf(2, 20, initial) } };
    BOOST_TEST((decideBootstrap(replica(1, 10), others, reports) == initial));
    BOOST_TEST(!mustBeAdded(replica(1, 10), reports));
}

BOOST_AUTO_TEST_CASE(emptiedKeeperNeverBootstrapsAgain)
{
    Membership initial = votersOf({ replica(1, 10), replica(2, 20), replica(3, 30) });
    std::map<KeeperId, KeeperReport> reports { { KeeperId(2), reportOf(2, 20, initial) }, { KeeperId(3), reportOf(3, 30, initial) } };
    BOOST_TEST(!decideBootstrap(replica(1, 11), others, reports));
    BOOST_TEST(mustBeAdded(replica(1, 11), reports));
    reports[KeeperId(2)] = reportOf(2, 21);
    BOOST_TEST(!decideBootstrap(replica(1, 11), others, reports));
}

BOOST_AUTO_TEST_CASE(reportsAndMemberChangesRoundTrip)
{
    KeeperReport report = reportOf(2, 20, votersOf({ replica(2, 20) }));
    report.status.leader = KeeperId(3);
    report.status.keepers.push_back({ KeeperId(2), IncarnationId(20), true, LogIndex(9) });
    report.status.inForce[HostName("h1")] = DocumentVersion(4);
    report.status.terms[DataCentreName("narva")] = { true, FencingNumber(5), HostName("h2"), 3s };
    auto decoded = decodeKeeperReport(encodeKeeperReport(report));
    BOOST_REQUIRE(decoded);
    BOOST_TEST((decoded->identity == report.identity));
    BOOST_TEST((decoded->status.leader == KeeperId(3) && decoded->status.keepers.front().matched == LogIndex(9)));
    BOOST_TEST((decoded->status.inForce == report.status.inForce && decoded->status.terms == report.status.terms));

    ForwardedMemberChange change { KeeperId(2), KeeperAddress { KeeperId(4), HostName("h"), DataCentreName("d"), *parseEndpoint("127.0.0.1:7") }, 5s };
    auto decodedChange = decodeMemberChange(encodeMemberChange(change));
    BOOST_REQUIRE(decodedChange);
    BOOST_TEST((decodedChange->remove == change.remove && decodedChange->add->peer == change.add->peer && decodedChange->timeout == 5s));
    BOOST_TEST(decodeMemberChangeReply(encodeMemberChangeReply({})).has_value());
    BOOST_TEST((decodeMemberChangeReply(encodeMemberChangeReply(failure(AgreementErrorCode::ChangeRefused, "no"))).error().code == AgreementErrorCode::ChangeRefused));
    BOOST_TEST(!decodeKeeperReport("junk"));
}

BOOST_AUTO_TEST_SUITE_END()
