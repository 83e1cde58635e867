#pragma once

#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/settings/SettingsFile.h"

#include <vector>

namespace hemlockchute {

/** Where the daemons of one entry host are reached by the system's other processes. */
struct EntryHostAddress {
    HostName name;
    DataCentreName dataCentre;
    Endpoint router;
    Endpoint controller;
};

/** Where one keeper is reached. */
struct KeeperAddress {
    KeeperId id;
    HostName host;
    DataCentreName dataCentre;
    Endpoint peer;
};

/** Reads level, format and file of a log table; the file "-" is standard output. Thread safety: one thread per file. */
LogOptions readLogOptions(const SettingsTable& log);

//==============================================================================
/**
    What every role's settings hold: who this host is and who else belongs to the system.

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

    /** Reads the tables host, cluster and log; faults are left in the file. Thread safety: one thread per file. */
    static HostSettings read(const SettingsFile&, const std::filesystem::path& settingsFile);

    /** The entry hosts of this host's data centre, this one included, in the order of the settings. */
    std::vector<EntryHostAddress> hostsOfDataCentre() const;
};

} // namespace hemlockchute
