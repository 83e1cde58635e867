#pragma once

#include "hemlockchute/fleet/RetryBudget.h"
#include "hemlockchute/policy/ServerNotices.h"
#include "hemlockchute/settings/settings.h"

#include <string>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    A gateway's settings. docs/SETTINGS.md explains each.

    Thread safety: a plain value.
*/
struct GatewaySettings {
    HostName host;
    DataCentreName dataCentre;
    std::string clusterName;
    std::string clusterKey;
    /** Where callers connect, and where the platform asks whether this host takes new connections. */
    Endpoint callers;
    Endpoint readiness;
    std::optional<Endpoint> metrics;
    /** Coordinators to ask first; the others are learnt from them. */
    std::vector<Endpoint> seeds;
    /** The name of the platform's plug-in, and the address of its list of backend servers. */
    std::string platform;
    Endpoint listing;
    /** A server takes requests for so long after the list says that it leaves. */
    Duration leavingNotice = 3s;
    /** What servers may ask for in their answers. */
    ServerNotices::Options notices;
    RetryBudget::Options retries;
    /** Time from the signal to stop to the end of the process. */
    Duration grace = 8s;
    LogOptions log;

    /** Reads the file; every fault is added. Thread safety: any thread. */
    static GatewaySettings read(const std::filesystem::path&, std::vector<std::string>& faults);
};

} // namespace hemlockchute
