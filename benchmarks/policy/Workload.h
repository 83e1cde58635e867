#pragma once

#include "policy/Deployment.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace hemlockchute::experiment {

/** What happens beside the ordinary mix. */
enum class Scenario {
    Ordinary,
    BurstOfFirstRequests,
    FloodOfLeastUrgent,
    FloodOfMostUrgent,
    SlowStore
};

std::string_view scenarioName(Scenario);

/** When the scenario's trouble begins and ends, from the start of a run. */
constexpr Duration disturbanceStart = 120s;
constexpr Duration disturbanceEnd = 300s;
constexpr Duration runLength = 420s;
/** Requests before this are not measured. */
constexpr Duration warmUp = 60s;

/** One request as its caller sends it. */
struct Arrival {
    /** From the start of the run. */
    Duration when {};
    unsigned model = 0;
    unsigned rank = 0;
    unsigned dataCentre = 0;
    /** An adapter of the model, or empty. */
    AdapterName adapter;
    Duration serviceTime {};
};

/** Every request of a run by time; the same for the same seed. Thread safety: any thread. */
std::vector<Arrival> makeWorkload(const Deployment&, Scenario, std::uint64_t seed);

} // namespace hemlockchute::experiment
