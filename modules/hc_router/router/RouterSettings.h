#pragma once

#include "hemlockchute/http/RequestBufferBudget.h"
#include "hemlockchute/settings/settings.h"

#include <string>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    The router's settings file.

    @code
    [listen]
    callers = "127.0.1.1:8080"
    operators = "127.0.1.1:7201"
    peers = "127.0.1.1:7101"

    [platform]
    address = "127.0.1.250:9000"
    interval = "500ms"

    [queue]
    strategy = "rank-fair"
    maximum_waiting = 4096
    kept_slots_percent = 12

    [picker]
    strategy = "two-choices"

    [threads]
    count = 2
    @endcode

    @see HostSettings
*/
struct RouterSettings {
    HostSettings host;
    Endpoint callers;
    Endpoint operators;
    Endpoint peers;
    Endpoint platform;
    Duration platformInterval = 500ms;
    std::string queueStrategy;
    std::size_t maximumWaiting = 4096;
    /** Percentage of an engine's slots that a rank leaves free for each more urgent rank. */
    unsigned reservedSlotsPercent = 12;
    std::string pickerStrategy;
    unsigned threads = 2;
    /** Bound in bytes on the memory for callers' requests. */
    std::size_t requestMemory = RequestBufferBudget::defaultTotal();

    /** Reads the file and replaces `faults` by the errors found in it. Thread safety: any thread. */
    static RouterSettings read(const std::filesystem::path&, std::vector<std::string>& faults);
};

} // namespace hemlockchute
