#include "keeper/AgreementGroup.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <iostream>

using namespace hemlockchute;

namespace {

constexpr Duration tickInterval = 20ms;
constexpr unsigned claimsPerRun = 2000;
constexpr unsigned allKeys = 1'000'000;
constexpr unsigned fewKeys = 100;

Command claimOf(unsigned number, unsigned keys)
{
    std::string key = "key-" + std::to_string(number % keys);
    Command command;
    command.body = ClaimRun { IdempotencyKey(key), AttemptId("attempt-" + key), ServiceName("booking"), Digest::of(key), 24h };
    return command;
}

/** A group with a single keeper: measures agreement and storage without the network. */
class SingleKeeper {
public:
    SingleKeeper(const std::filesystem::path& folder, unsigned keys)
        : m_keys(keys)
    {
        auto disk = KeeperDisk::open(FileSystem::system(), folder, IncarnationId(1));
        if (!disk) {
            std::cerr << disk.error().detail << '\n';
            std::exit(1);
        }
        AgreementGroupHooks hooks { [](const AgreementMessage&) {}, [](const DocumentPointer&) {}, [](EventId, const std::string& reason) {
                                       std::cerr << reason << '\n';
                                       std::_Exit(1); } };
        m_group = std::make_unique<AgreementGroup>(KeeperId(1), std::move(*disk), AgreementGroup::Options(), m_clock, std::move(hooks));
        if (!m_group->start())
            std::exit(1);
    }

    void becomeLeader()
    {
        m_group->bootstrap({ { ReplicaId { KeeperId(1), m_group->identity().incarnation } }, {} });
        while (!m_group->isLeader()) {
            m_group->tick();
            std::this_thread::sleep_for(tickInterval);
        }
    }

    void propose(unsigned number, AgreementGroup::Reply reply) { m_group->propose(claimOf(number, m_keys), std::move(reply)); }

private:
    unsigned m_keys;
    SystemClock m_clock;
    std::unique_ptr<AgreementGroup> m_group;
};

/** Issues claims with a fixed number in flight and records the latency of each. */
class ClaimLoad {
public:
    ClaimLoad(SingleKeeper& keeper, unsigned first, unsigned count)
        : m_keeper(keeper)
        , m_next(first)
        , m_end(first + count)
        , m_remaining(count)
    {
    }

    std::vector<Duration> run(unsigned inProgress)
    {
        for (unsigned i = 0; i < inProgress; ++i)
            issue();
        m_done.get_future().wait();
        return std::move(m_latencies);
    }

private:
    void issue()
    {
        unsigned number = m_next++;
        if (number >= m_end)
            return;
        Instant startTime = std::chrono::steady_clock::now();
        m_keeper.propose(number, [this, startTime](const KeeperReply&) {
            m_latencies.push_back(std::chrono::steady_clock::now() - startTime);
            issue();
            if (--m_remaining == 0)
                m_done.set_value();
        });
    }

    SingleKeeper& m_keeper;
    std::atomic<unsigned> m_next;
    unsigned m_end;
    std::atomic<unsigned> m_remaining;
    std::vector<Duration> m_latencies;
    std::promise<void> m_done;
};

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

void measureClaims(const std::filesystem::path& folder)
{
    SingleKeeper keeper(folder, allKeys);
    keeper.becomeLeader();
    unsigned first = 0;
    for (unsigned inProgress : { 1U, 8U, 64U, 256U }) {
        Instant startTime = std::chrono::steady_clock::now();
        std::vector<Duration> latencies = ClaimLoad(keeper, first, claimsPerRun).run(inProgress);
        double seconds = milliseconds(std::chrono::steady_clock::now() - startTime) / 1000;
        first += claimsPerRun;
        std::sort(latencies.begin(), latencies.end());
        std::printf("claims in progress %4u: %8.0f a second, median %.2f ms, 99th percentile %.2f ms\n", inProgress, claimsPerRun / seconds,
            milliseconds(latencies[latencies.size() / 2]), milliseconds(latencies[latencies.size() * 99 / 100]));
    }
}

void measureRestart(const std::filesystem::path& folder, unsigned changes, unsigned keys)
{
    {
        SingleKeeper keeper(folder, keys);
        keeper.becomeLeader();
        ClaimLoad(keeper, 0, changes).run(64);
    }
    Instant startTime = std::chrono::steady_clock::now();
    SingleKeeper keeper(folder, keys);
    std::printf("restart after %5u changes of %u keys: %.1f ms\n", changes, std::min(changes, keys), milliseconds(std::chrono::steady_clock::now() - startTime));
}

} // namespace

/** Measures the throughput of claims with synchronous writes, and the duration of restarts. Usage: hemlock-storage-benchmark FOLDER (emptied first) */
int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: hemlock-storage-benchmark FOLDER\n";
        return 2;
    }
    configureLog(LogOptions().withLevel(Severity::Error));
    const std::filesystem::path folder = argv[1];
    std::filesystem::remove_all(folder);
    measureClaims(folder / "claims");
    for (unsigned keys : { fewKeys, allKeys }) {
        for (unsigned changes : { 500U, 5000U, 20000U })
            measureRestart(folder / (std::to_string(changes) + "-" + std::to_string(keys)), changes, keys);
    }
    return 0;
}
