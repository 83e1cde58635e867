#include "policy/PolicyRun.h"

#include <algorithm>
#include <cstdio>

using namespace hemlockchute;
using namespace hemlockchute::experiment;

namespace {

const std::vector<StrategySet> strategySets {
    { "own", "rank-fair", "two-choices", "worth-per-load-time", true },
    { "fifo+lru", "fifo", "least-outstanding", "lru", false },
    { "strict+lru", "strict-priority", "least-outstanding", "lru", false },
};

constexpr std::uint64_t seeds[] = { 1, 2, 3 };

void printHeader(const Deployment& deployment)
{
    std::printf("\n%s: %u slots, %zu models, seeds 1-3 together\n", deployment.name.c_str(), deployment.slots(), deployment.document->models.size());
    std::printf("%-24s %-11s %6s %7s %7s %7s | %6s %6s %6s | %6s | %6s %6s %6s | %7s %7s %6s\n", "scenario", "strategies", "cold", "median",
        "p99", "worst", "urgent", "middle", "patnt", "u-warm", "kept-u", "kept-m", "kept-p", "idle-h", "loads/r", "store");
}

void printRow(const StrategySet& strategies, Scenario scenario, const Measurements& m)
{
    bool duringDisturbance = scenario != Scenario::Ordinary;
    std::printf("%-24s %-11s %6zu %6.2fs %6.2fs %6.2fs | %5.1f%% %5.1f%% %5.1f%% | %5.1f%% | %6.2f %6.2f %6.2f | %7.3f %7.4f %5.1f%%\n",
        std::string(scenarioName(scenario)).c_str(), strategies.name.c_str(), m.coldStarts(), m.coldStartSeconds(0.5),
        m.coldStartSeconds(0.99), m.coldStartSeconds(1), 100 * m.withinTarget(0, duringDisturbance), 100 * m.withinTarget(1, duringDisturbance),
        100 * m.withinTarget(2, duringDisturbance), 100 * m.withinTargetWarm(0, duringDisturbance), m.floorFraction(0), m.floorFraction(1), m.floorFraction(2),
        m.idleAcceleratorHours(), m.loadsPerRequest(), 100 * m.storeShare());
}

void measure(const Deployment& deployment, Scenario scenario, bool eachSeed, bool ownOnly)
{
    for (const StrategySet& strategies : strategySets) {
        if (ownOnly && &strategies != &strategySets.front())
            continue;
        Measurements sum(*deployment.document);
        for (std::uint64_t seed : seeds) {
            PolicyRun run(deployment, strategies, seed);
            Measurements one = run.run(makeWorkload(deployment, scenario, seed), scenario);
            if (eachSeed)
                printRow(strategies, scenario, one);
            sum.merge(one);
        }
        printRow(strategies, scenario, sum);
        std::fflush(stdout);
    }
}

} // namespace

/**
    Compares sets of strategies in simulated scenarios.

    Usage: hemlock-policy-experiment [--each-seed] [kask|lahore] [own]
*/
int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    auto has = [&](const char* word) { return std::find(arguments.begin(), arguments.end(), word) != arguments.end(); };
    std::vector<Deployment> deployments;
    if (!has("lahore"))
        deployments.push_back(Deployment::kaskAndParn());
    if (!has("kask"))
        deployments.push_back(Deployment::lahore());
    std::printf("cold: requests that found their model not loaded; their time to first token, where a refused one counts as its\n"
                "rank's longest wait. urgent, middle, patnt: within target, during the trouble; u-warm: urgent whose model was loaded.\n"
                "kept: service time during the trouble over what was due, the rank's floor or its demand when lower.\n");
    for (const Deployment& deployment : deployments) {
        printHeader(deployment);
        for (Scenario scenario : { Scenario::Ordinary, Scenario::BurstOfFirstRequests, Scenario::FloodOfLeastUrgent, Scenario::FloodOfMostUrgent, Scenario::SlowStore })
            measure(deployment, scenario, has("--each-seed"), has("own"));
    }
    return 0;
}
