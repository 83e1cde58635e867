#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/fleet/RequestMetadata.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace hemlockchute {

/** The requests at a server, and their tokens. */
struct ServerLoad {
    unsigned requests = 0;
    /** Prompt tokens that the server still has to process. */
    std::uint64_t unreadTokens = 0;
    /** Prompt tokens and maximum output tokens, for which the server needs memory. Hosts that do not count them report 0. */
    std::uint64_t heldTokens = 0;

    friend ServerLoad operator+(ServerLoad a, ServerLoad b) { return { a.requests + b.requests, a.unreadTokens + b.unreadTokens, a.heldTokens + b.heldTokens }; }
    /** Saturates at 0, since the counts of other hosts lag behind. */
    friend ServerLoad operator-(ServerLoad a, ServerLoad b)
    {
        return { a.requests - std::min(a.requests, b.requests), a.unreadTokens - std::min(a.unreadTokens, b.unreadTokens), a.heldTokens - std::min(a.heldTokens, b.heldTokens) };
    }
};

/** A backend server that could take a request. */
struct ServerCandidate {
    BackendServerName id;
    /** True if it is in this host's data centre. */
    bool isLocal = false;
    unsigned slots = 1;
    /** Its known load from all hosts. */
    ServerLoad load;
    /** The tokens for which it has memory; 0 if unknown. */
    std::uint64_t tokenCapacity = 0;
};

//==============================================================================
/**
    Chooses the backend server with the lowest expected delay.

    The expected delay covers the requests of all hosts, the prompts to process before, the round trip
    to another data centre, and the part of the prompt that the server has likely cached. Rendezvous
    hashing of the prompt's shared parts determines the server that caches it, so all hosts agree
    without coordination.

    Thread safety: one thread at a time.
*/
class ServerChooser {
public:
    /** Assumed costs that make up the delay. */
    struct Options {
        /** Round trip to another data centre. */
        Duration crossDataCentreDelay = 10ms;
        /** Added per request that runs in the same batch. */
        Duration delayPerRunning = 3ms;
        /** Added per request that waits for a slot. */
        Duration delayPerQueued = 40ms;
        /** Prompt tokens that a server processes per millisecond. */
        double tokensPerMillisecond = 40;
    };

    explicit ServerChooser(Options options)
        : m_options(options)
    {
    }

    /** The index of the best candidate; nothing if there are no candidates. */
    std::optional<std::size_t> choose(const std::vector<ServerCandidate>&, const RequestMetadata&) const;

private:
    Duration delayAt(const ServerCandidate&) const;
    Duration promptTime(std::uint64_t tokens) const;

    Options m_options;
};

} // namespace hemlockchute
