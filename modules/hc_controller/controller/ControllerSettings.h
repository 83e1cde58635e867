#pragma once

#include "hemlockchute/settings/HostSettings.h"

namespace hemlockchute {

//==============================================================================
/**
    The controller's settings file.

    @code
    [listen]
    peers = "127.0.1.1:7102"
    operators = "127.0.1.1:7202"

    [platform]
    address = "127.0.1.1:9000"
    interval = "1s"

    [placement]
    strategy = "worth-per-load-time"
    @endcode

    @see HostSettings
*/
struct ControllerSettings {
    HostSettings host;
    Endpoint peers;
    Endpoint operators;
    Endpoint platform;
    Duration platformInterval = 1s;
    std::string strategy;

    /** Reads a file and gives every fault. Thread safety: any thread. */
    static ControllerSettings read(const std::filesystem::path&, std::vector<std::string>& faults);

    /** The other entry hosts of the data centre. */
    std::vector<EntryHostAddress> otherHosts() const;
    /** Every data centre that has entry hosts. */
    std::vector<DataCentreName> dataCentres() const;
    /** Where this controller follows the document, in the order to try. */
    std::vector<Endpoint> documentSources() const;
};

} // namespace hemlockchute
