#pragma once

#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/settings/SettingsFile.h"

#include <vector>

namespace hemlockchute {

/** The addresses at which other processes reach the daemons of one entry host. */
struct EntryHostAddress {
    HostName name;
    DataCentreName dataCentre;
    Endpoint router;
    Endpoint controller;
};

/** The address of one keeper. */
struct KeeperAddress {
    KeeperId id;
    HostName host;
    DataCentreName dataCentre;
    Endpoint peer;
};

/** Reads level, format, file and limits of a log table; the file "-" is standard output. Thread safety: one thread per file. */
LogOptions readLogOptions(const SettingsTable& log);

//==============================================================================
/**
    The settings common to all roles: the identity of this host and the members of the cluster.

    @code
    [host]
    name = "tallinn-1"
    data_centre = "tallinn"

    [cluster]
    name = "kask"
    key_file = "cluster.key"

    [[cluster.entry_hosts]]
    name = "tallinn-1"
    data_centre = "tallinn"
    router = "127.0.1.1:7101"
    controller = "127.0.1.1:7102"

    [[cluster.keepers]]
    id = 1
    host = "tallinn-1"
    data_centre = "tallinn"
    peer = "127.0.1.1:7103"

    [log]
    level = "info"
    format = "key-value"
    file = "router.log"
    @endcode
*/
struct HostSettings {
    HostName name;
    DataCentreName dataCentre;
    std::string clusterName;
    /** The shared secret of all processes of one cluster. */
    std::string clusterKey;
    std::vector<EntryHostAddress> entryHosts;
    std::vector<KeeperAddress> keepers;
    LogOptions log;

    /** Reads the tables host, cluster and log; faults are collected in the file. Thread safety: one thread per file. */
    static HostSettings read(const SettingsFile&, const std::filesystem::path& settingsFile);

    /** The entry hosts of this host's data centre, this one included, in the order of the settings. */
    std::vector<EntryHostAddress> hostsOfDataCentre() const;
};

} // namespace hemlockchute
