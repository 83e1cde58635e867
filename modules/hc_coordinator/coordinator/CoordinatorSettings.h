#pragma once

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
    /** Where operators and the system's other processes connect. */
    Endpoint operators;
    Endpoint peers;
    /** Where calls to `peers` arrive on this host; differs where addresses are translated. */
    Endpoint listenPeers;
    /** Where metrics are served, if anywhere. */
    std::optional<Endpoint> metrics;
    /** Coordinators that the group begins with, or that a newcomer asks first. */
    std::vector<Endpoint> seeds;
    /** True when the whole system starts for the first time. */
    bool isFirstStart = false;
    /** Disks that may be lost at once; the group grows to as many voters as that takes. */
    unsigned toleratedLosses = 1;
    std::filesystem::path dataFolder;
    Duration heartbeatInterval = 100ms;
    Duration electionTimeout = 600ms;
    std::string platform;
    Endpoint listing;
    /** How long an operator's call is held; operators turn to another host after a second. */
    Duration operatorTimeout = 900ms;
    /** Orders of two hosts to one server are at least so far apart. */
    Duration orderLease = 3s;
    /** To begin with; more and fewer are learnt from the loads. */
    unsigned storeLoadsAtOnce = 2;
    LogOptions log;

    /** Reads the file; every fault is added. Thread safety: any thread. */
    static CoordinatorSettings read(const std::filesystem::path&, std::vector<std::string>& faults);
};

} // namespace hemlockchute
