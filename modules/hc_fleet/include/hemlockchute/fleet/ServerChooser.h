#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/fleet/RequestMetadata.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hemlockchute {

/** Requests at a server, and the prompt tokens that it has still to read for them. */
struct ServerLoad {
    unsigned requests = 0;
    std::uint64_t unreadTokens = 0;

    friend ServerLoad operator+(ServerLoad a, ServerLoad b) { return { a.requests + b.requests, a.unreadTokens + b.unreadTokens }; }
    /** Stops at nothing, since counts of others lag. */
    friend ServerLoad operator-(ServerLoad a, ServerLoad b)
    {
        return { a.requests > b.requests ? a.requests - b.requests : 0, a.unreadTokens > b.unreadTokens ? a.unreadTokens - b.unreadTokens : 0 };
    }
};

/** A backend server that could take a request. */
struct ServerCandidate {
    BackendServerName id;
    /** True when it stands in this host's data centre. */
    bool isLocal = false;
    unsigned slots = 1;
    /** What it has to do for all hosts, as far as known. */
    ServerLoad load;
};

//==============================================================================
/**
    Picks the backend server with the least expected delay.

    Answers the load in which many hosts spread requests over servers that they share: a server's
    delay counts the requests of all hosts, the prompts that it has to read before, the way to another data centre, and the part of the
    prompt that the server has likely kept. Which server keeps a prompt follows from a hash of its
    shared parts, so that all hosts agree on it without asking each other.
    Thread safety: one thread at a time.
*/
class ServerChooser {
public:
    /** What the parts of the delay are taken to be. */
    struct Options {
        /** Way to another data centre and back. */
        Duration crossDataCentreDelay = 10ms;
        /** Added by each request that runs in the same batch. */
        Duration delayPerRunning = 3ms;
        /** Added by each request that waits for a slot. */
        Duration delayPerQueued = 40ms;
        /** Prompt tokens that a server reads in a millisecond. */
        double tokensPerMillisecond = 40;
    };

    explicit ServerChooser(Options options)
        : m_options(options)
    {
    }

    /** The index of the best candidate; nothing when there is none. */
    std::optional<std::size_t> choose(const std::vector<ServerCandidate>&, const RequestMetadata&) const;

private:
    Duration delayAt(const ServerCandidate&) const;
    Duration promptTime(std::uint64_t tokens) const;

    Options m_options;
};

} // namespace hemlockchute
