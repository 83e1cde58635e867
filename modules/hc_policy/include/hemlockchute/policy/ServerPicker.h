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
    /** Requests that this router has there now. */
    unsigned ownOutstanding = 0;
    /** What the server last reported, and how old that is. */
    unsigned reportedRunning = 0;
    unsigned reportedQueued = 0;
    Duration reportAge {};
    unsigned slots = 1;
    /** Share of the prompt cached there, 0 to 1000, and how old that news is. */
    unsigned cachedPrefixPerMille = 0;
    Duration cacheEventAge {};
};

//==============================================================================
/**
    Chooses the backend server for a request.

    "two-choices" is the project's own, "least-outstanding" a baseline. Thread safety: one thread
    at a time.
*/
class ServerPicker {
public:
    virtual ~ServerPicker() = default;

    /** An index into the candidates, or nothing when every one is full. `random` is any 64 random bits. */
    virtual std::optional<std::size_t> pick(const std::vector<ServerCandidate>& candidates, std::uint64_t random) const = 0;
};

/** A picker by the name of its strategy, or null when there is none of that name. Thread safety: any thread. */
std::unique_ptr<ServerPicker> makeServerPicker(std::string_view strategy);

} // namespace hemlockchute
