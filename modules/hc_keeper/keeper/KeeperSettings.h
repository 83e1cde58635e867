#pragma once

#include "hemlockchute/settings/HostSettings.h"
#include "keeper/OperatorTokens.h"

namespace hemlockchute {

/**
    The settings of a keeper, in addition to those that every role shares.

    @code
    [keeper]
    id = 1
    data_folder = "data"
    heartbeat_interval = "75ms"
    election_timeout = "750ms"
    entries_between_snapshots = 1000

    [listen]
    peers = "127.0.1.1:7103"
    operators = "127.0.1.1:7203"
    @endcode
*/
struct KeeperSettings {
    HostSettings host;
    KeeperId id;
    std::filesystem::path dataFolder;
    Duration heartbeatInterval = 150ms;
    Duration electionTimeout = 750ms;
    std::uint64_t entriesBetweenSnapshots = 1000;
    unsigned threads = 2;
    Endpoint peers;
    Endpoint operators;
    OperatorTokens tokens;

    /** Reads a settings file; adds every error to `faults`. Thread safety: any thread. */
    static KeeperSettings read(const std::filesystem::path&, std::vector<std::string>& faults);
};

} // namespace hemlockchute
