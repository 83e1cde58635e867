#include "CrashingFileSystem.h"
#include "hemlockchute/agreement/KeeperDisk.h"
#include "hemlockchute/agreement/agreement.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

constexpr std::string_view folder = "/data";
constexpr Duration electionTimeout = 300ms;

ReplicaId replicaId(std::uint64_t keeper)
{
    return { KeeperId(keeper), IncarnationId(1) };
}

Membership threeVoters()
{
    Membership membership;
    for (std::uint64_t keeper = 1; keeper <= 3; ++keeper)
        membership.voters.insert(replicaId(keeper));
    return membership;
}

/** Entries from one index through another, all of one term. */
std::vector<LogEntry> entriesOfTerm(std::uint64_t term, std::uint64_t first, std::uint64_t last)
{
    std::vector<LogEntry> entries;
    for (std::uint64_t index = first; index <= last; ++index)
        entries.push_back({ LogIndex(index), AgreementTerm(term), LogEntry::Kind::Command, "c" + std::to_string(term) + "." + std::to_string(index) });
    return entries;
}

/** Replica 1 with its data folder; the test sends the messages of the leaders of terms 1 and 2. */
class Follower {
public:
    Follower() { start(); }

    void start()
    {
        m_replica.reset();
        m_disk.reset();
        auto disk = KeeperDisk::open(m_files, folder, IncarnationId(1));
        BOOST_REQUIRE_MESSAGE(disk, disk.error().detail);
        m_disk = std::move(*disk);
        RecoveredState recovered = m_disk->takeRecovered();
        recovered.initialMembership = threeVoters();
        m_replica = std::make_unique<Replica>(replicaId(1), Replica::Options().withElectionTimeout(electionTimeout), std::move(recovered), m_now);
    }

    void append(std::uint64_t term, std::uint64_t first, std::uint64_t last, std::uint64_t previousTerm)
    {
        receive(term, AppendRequest { LogIndex(first - 1), AgreementTerm(previousTerm), entriesOfTerm(term, first, last), {}, 1, {} });
    }
    void installSnapshot(std::uint64_t term, std::uint64_t lastIndex)
    {
        receive(term, SnapshotChunk { LogIndex(lastIndex), AgreementTerm(term), threeVoters(), 0, "state", true, 1 });
    }
    /** Stores what has been received; returns the highest index that the replica acknowledges. */
    LogIndex store()
    {
        Effects effects = m_replica->takeEffects();
        auto stored = m_disk->store(effects);
        BOOST_REQUIRE_MESSAGE(stored, stored.error().detail);
        m_replica->persisted(m_now);
        LogIndex acknowledged;
        for (const AgreementMessage& message : effects.messages) {
            const auto* reply = std::get_if<AppendReply>(&message.body);
            if (reply != nullptr && reply->accepted)
                acknowledged = std::max(acknowledged, reply->matched);
        }
        return acknowledged;
    }
    LogIndex lastIndex() const { return m_replica->lastIndex(); }

private:
    void receive(std::uint64_t term, AgreementBody body) { m_replica->receive({ replicaId(1 + term), replicaId(1), AgreementTerm(term), std::move(body) }, m_now); }

    CrashingFileSystem m_files;
    Instant m_now { 1h };
    std::unique_ptr<KeeperDisk> m_disk;
    std::unique_ptr<Replica> m_replica;
};

} // namespace

BOOST_AUTO_TEST_SUITE(KeeperDiskRecoveryTests)

/** Guards against the loss of acknowledged entries at a restart, after a snapshot that ends within a conflicting tail. */
BOOST_AUTO_TEST_CASE(entriesAcknowledgedAfterASnapshotWithinAConflictingLogSurviveARestart)
{
    for (std::uint64_t snapshotEnd = 1; snapshotEnd <= 7; ++snapshotEnd) {
        BOOST_TEST_CONTEXT("a log of six entries, and a snapshot through " << snapshotEnd)
        {
            Follower follower;
            follower.append(1, 1, 6, 0);
            BOOST_TEST((follower.store() == LogIndex(6)));
            follower.installSnapshot(2, snapshotEnd);
            follower.store();
            follower.append(2, snapshotEnd + 1, snapshotEnd + 3, 2);
            LogIndex acknowledged = follower.store();
            BOOST_TEST((acknowledged == LogIndex(snapshotEnd + 3)));
            follower.start();
            BOOST_TEST((follower.lastIndex() == acknowledged));
        }
    }
}

/** Guards against the same loss in a data folder of an earlier version, which left the conflicting entry at the snapshot's end. */
BOOST_AUTO_TEST_CASE(entriesAfterASnapshotSurviveThoughAnEarlierVersionLeftAConflictingEntryBeforeThem)
{
    CrashingFileSystem files;
    Effects former;
    former.append = entriesOfTerm(1, 1, 6);
    Effects installing;
    installing.install = ReplicaSnapshot { LogIndex(4), AgreementTerm(2), threeVoters(), "state" };
    installing.truncateFrom = LogIndex(5);
    installing.append = entriesOfTerm(2, 5, 7);
    auto disk = KeeperDisk::open(files, folder, IncarnationId(1));
    BOOST_REQUIRE((disk && (*disk)->store(former) && (*disk)->store(installing)));
    for (int start = 0; start < 2; ++start) {
        auto reopened = KeeperDisk::open(files, folder, IncarnationId(1));
        BOOST_REQUIRE(reopened);
        BOOST_TEST(((*reopened)->takeRecovered().entries == entriesOfTerm(2, 5, 7)));
    }
}

/** Guards against conflicting entries that return, when the process ends between the snapshot and the cut of the log. */
BOOST_AUTO_TEST_CASE(aConflictingTailIsDroppedThoughTheProcessEndsBeforeTheLogIsCut)
{
    Effects former;
    former.append = entriesOfTerm(1, 1, 6);
    Effects installing;
    installing.install = ReplicaSnapshot { LogIndex(4), AgreementTerm(2), threeVoters(), "state" };
    installing.truncateFrom = LogIndex(1);
    installing.append = entriesOfTerm(2, 5, 5);
    bool isComplete = false;
    for (unsigned operation = 0; !isComplete; ++operation) {
        CrashingFileSystem files;
        auto disk = KeeperDisk::open(files, folder, IncarnationId(1));
        BOOST_REQUIRE((disk && (*disk)->store(former)));
        files.failAfter(operation, CrashingFileSystem::Fault::Kill);
        isComplete = (*disk)->store(installing).has_value();
        files.failAfter(0, CrashingFileSystem::Fault::Kill);
        files.restart(1);
        auto reopened = KeeperDisk::open(files, folder, IncarnationId(1));
        BOOST_REQUIRE(reopened);
        RecoveredState recovered = (*reopened)->takeRecovered();
        std::vector<LogEntry> expected = recovered.snapshot ? std::vector<LogEntry>() : former.append;
        BOOST_TEST((recovered.entries == expected || recovered.entries == installing.append));
    }
}

/** Guards against a folder that can't be read again, as one batch replaced a tail and installed a snapshot that ends within it. */
BOOST_AUTO_TEST_CASE(aBatchThatReplacesATailAndInstallsASnapshotWithinItLeavesNoGap)
{
    for (std::uint64_t snapshotEnd = 3; snapshotEnd <= 9; ++snapshotEnd) {
        BOOST_TEST_CONTEXT("six entries, replaced from the third on, and a snapshot through " << snapshotEnd)
        {
            Follower follower;
            follower.append(1, 1, 6, 0);
            follower.store();
            follower.append(2, 3, 8, 1);
            follower.installSnapshot(2, snapshotEnd);
            LogIndex acknowledged = follower.store();
            follower.start();
            BOOST_TEST((follower.lastIndex() >= acknowledged));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
