#pragma once

#include "gateway/AccessControl.h"
#include "gateway/HedgePolicy.h"
#include "hemlockchute/fleet/RetryBudget.h"
#include "hemlockchute/http/RequestBufferBudget.h"
#include "hemlockchute/policy/ServerNotices.h"
#include "hemlockchute/settings/settings.h"

#include <string>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    A gateway's settings; docs/SETTINGS.md describes each of them.

    Thread safety: a plain value.
*/
struct GatewaySettings {
    HostName host;
    DataCentreName dataCentre;
    std::string clusterName;
    std::string clusterKey;
    /** The addresses for callers, and for the platform's readiness probe. */
    Endpoint callers;
    Endpoint readiness;
    std::optional<Endpoint> metrics;
    /** Coordinators to contact first; the others are discovered from them. */
    std::vector<Endpoint> seeds;
    /** The name of the platform's plug-in, and the address that serves its list of backend servers. */
    std::string platform;
    Endpoint listing;
    /** The time for which a server still takes requests after it is listed as leaving. */
    Duration leavingNotice = 3s;
    /** Bounds on the notices in servers' responses. */
    ServerNotices::Options notices;
    RetryBudget::Options retries;
    HedgePolicy::Options hedging;
    AccessControl::Options access;
    /** The time from the stop signal to the end of the process. */
    Duration grace = 8s;
    /** Bound in bytes on the memory for callers' requests. */
    std::size_t requestMemory = RequestBufferBudget::defaultTotal();
    LogOptions log;

    /** Reads the file, and sets `faults` to every fault in it. Thread safety: any thread. */
    static GatewaySettings read(const std::filesystem::path&, std::vector<std::string>& faults);
};

} // namespace hemlockchute
