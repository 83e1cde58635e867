#pragma once

#include "policy/Deployment.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace hemlockchute::experiment {

/** The disturbance that is added to the ordinary mix of requests. */
enum class Scenario {
    Ordinary,
    BurstOfFirstRequests,
    FloodOfLeastUrgent,
    FloodOfMostUrgent,
    SlowStore
};

std::string_view scenarioName(Scenario);

/** Start and end of the disturbance, relative to the start of a run. */
constexpr Duration disturbanceStart = 120s;
constexpr Duration disturbanceEnd = 300s;
constexpr Duration runLength = 420s;
/** Requests that arrive before this time are not measured. */
constexpr Duration warmUp = 60s;

/** One simulated request. */
struct Arrival {
    /** Time since the start of the run. */
    Duration when {};
    unsigned model = 0;
    unsigned rank = 0;
    unsigned dataCentre = 0;
    /** Adapter of the model, or empty. */
    AdapterName adapter;
    Duration serviceTime {};
};

/** Returns the requests of a run in order of time; deterministic for a given seed. Thread safety: any thread. */
std::vector<Arrival> makeWorkload(const Deployment&, Scenario, std::uint64_t seed);

} // namespace hemlockchute::experiment
