#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlockchute {

/** One part of a prompt; requests share parts. */
struct PromptPart {
    std::string id;
    std::uint64_t tokens = 0;
};

/** What a caller says about a request besides its route and body. */
struct RequestMetadata {
    /** Unique to this attempt of the caller; the backend server echoes it. */
    AttemptId attempt;
    /** How long the caller will wait, when it says so. */
    std::optional<Duration> deadline;
    /** Empty for requests that need no model. */
    ModelName model;
    /** Empty when the model is used as it is. */
    AdapterName adapter;
    std::uint64_t promptTokens = 0;
    std::uint64_t maximumOutputTokens = 0;
    /** In the order of the prompt; the last one is the caller's own. */
    std::vector<PromptPart> promptParts;
    /** The last event that the caller has, when it resumes a stream. */
    std::optional<std::uint64_t> lastEvent;
};

/** What the system adds to a request when it forwards it. */
struct ForwardingTerms {
    /** How long the backend server may work on it. */
    Duration deadline {};
    /** Only this server may run it. */
    BackendServerName server;
    unsigned rank = 0;
    /** Set when a stream goes on at another server after this event. */
    std::optional<std::uint64_t> lastEvent;
};

/** What a backend server says of itself in the header of any answer. */
struct ServerNotice {
    /** True when it is about to leave. */
    bool isLeaving = false;
    /** How long it wants nothing more from this host; only where it turned a request away. */
    std::optional<Duration> pause;
    /** What of this cannot be read, and is left out; empty when all can be. */
    std::string unreadable;
};

/** What the header of a backend server's answer says besides its status. */
struct AnswerMetadata {
    /** The attempt that the answer belongs to, when it is named. */
    std::optional<AttemptId> attempt;
    /** True when the server states that it did not run the request. */
    bool isNotRun = false;
    ServerNotice notice;
};

} // namespace hemlockchute
