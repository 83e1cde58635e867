#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace hemlockchute {

/** A backend server that could take a request. */
struct ServerCandidate {
    BackendServerName name;
    /** Requests of this router that are in flight there. */
    unsigned ownOutstanding = 0;
    /** The server's last load report, and its age. */
    unsigned reportedRunning = 0;
    unsigned reportedQueued = 0;
    Duration reportAge {};
    unsigned slots = 1;
    /** The share of the prompt that is cached there, from 0 to 1000, and the age of that information. */
    unsigned cachedPrefixPerMille = 0;
    Duration cacheEventAge {};
};

//==============================================================================
/**
    Load balancing: chooses the backend server for a request.

    Strategies are "two-choices" and, as a baseline for comparison, "least-outstanding".
    Thread safety: one thread at a time.
*/
class ServerPicker {
public:
    virtual ~ServerPicker() = default;

    /** The index of the chosen candidate; nothing when all are full. `random` is 64 random bits. */
    virtual std::optional<std::size_t> pick(const std::vector<ServerCandidate>& candidates, std::uint64_t random) const = 0;
};

/** Creates the picker for a strategy; null for an unknown name. Thread safety: any thread. */
std::unique_ptr<ServerPicker> makeServerPicker(std::string_view strategy);

} // namespace hemlockchute
