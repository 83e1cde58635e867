#pragma once

#include "hemlockchute/fleet/QuotaPool.h"
#include "hemlockchute/http/RequestBufferBudget.h"
#include "hemlockchute/settings/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    A coordinator's settings. docs/SETTINGS.md explains each.

    Thread safety: a plain value.
*/
struct CoordinatorSettings {
    HostName host;
    DataCentreName dataCentre;
    std::string clusterName;
    std::string clusterKey;
    /** Addresses for operators' HTTP calls and for the system's other processes. */
    Endpoint operators;
    Endpoint peers;
    /** The local address that `peers` is served on; differs from it behind address translation. */
    Endpoint listenPeers;
    /** The address that serves metrics; metrics are off without it. */
    std::optional<Endpoint> metrics;
    /** The initial members of the group; a joining coordinator asks them first. */
    std::vector<Endpoint> seeds;
    /** True for the first start of the whole system, which bootstraps the group. */
    bool isFirstStart = false;
    /** Simultaneous disk losses to survive; the group grows to at least 2n + 1 voters for it. */
    unsigned toleratedLosses = 1;
    std::filesystem::path dataFolder;
    Duration heartbeatInterval = 100ms;
    Duration electionTimeout = 600ms;
    std::string platform;
    Endpoint listing;
    /** Time-out of an operator's call; below the 1 s after which operators try another host. */
    Duration operatorTimeout = 900ms;
    /** Minimum time between the orders of successive leaders to one server. */
    Duration orderLease = 3s;
    /** Initial limit of concurrent loads from the weight store; the limit adapts to measured load times. */
    unsigned storeLoadsAtOnce = 2;
    /** Bounds on the use of workspaces' quotas. */
    QuotaPool::Options quotas;
    /** Bound in bytes on the memory for callers' requests. */
    std::size_t requestMemory = RequestBufferBudget::defaultTotal();
    LogOptions log;

    /** Reads the file and appends every error to `faults`. Thread safety: any thread. */
    static CoordinatorSettings read(const std::filesystem::path&, std::vector<std::string>& faults);
};

} // namespace hemlockchute
