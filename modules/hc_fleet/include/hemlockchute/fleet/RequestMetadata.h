#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/core/Units.h"
#include "hemlockchute/fleet/Workspace.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlockchute {

/** One part of a prompt; requests may share parts. */
struct PromptPart {
    std::string id;
    std::uint64_t tokens = 0;
};

/** Metadata that a caller sends with a request, besides its route and body. */
struct RequestMetadata {
    /** Unique to this attempt of the caller; the backend server echoes it. */
    AttemptId attempt;
    /** How long the caller will wait, if stated. */
    std::optional<Duration> deadline;
    /** Empty for requests that need no model. */
    ModelName model;
    /** Empty if the model is used without an adapter. */
    AdapterName adapter;
    std::uint64_t promptTokens = 0;
    std::uint64_t maximumOutputTokens = 0;
    /** The tokens for which a server must have memory to complete the request. Limited to more than any server holds, so that a caller's false count does not overflow the sums. */
    std::uint64_t heldTokens() const
    {
        constexpr std::uint64_t limit = 100'000'000;
        return std::min(std::min(promptTokens, limit) + std::min(maximumOutputTokens, limit), limit);
    }
    /** In prompt order; the last part is not shared with other requests. */
    std::vector<PromptPart> promptParts;
    /** The last event that the caller received, if it resumes a stream. */
    std::optional<std::uint64_t> lastEvent;
    /** Empty if the caller sent none. A secret: never logged or forwarded. */
    std::string accessKey;
};

/** Metadata that the system adds to a forwarded request. */
struct ForwardingTerms {
    /** How long the backend server may work on it. */
    Duration deadline {};
    /** Only this server may run it. */
    BackendServerName server;
    unsigned rank = 0;
    /** Set if a stream is resumed at another server after this event. */
    std::optional<std::uint64_t> lastEvent {};
    /** True where the configuration has workspaces: the caller's access key, and the workspace that it may name, are not forwarded. */
    bool hidesAccess = false;
    /** The workspace of the caller's key; empty if it has none. */
    WorkspaceName workspace {};
};

/** Notices about itself that a backend server may add to the headers of any answer. */
struct ServerNotice {
    /** True if it is about to leave. */
    bool isLeaving = false;
    /** How long this host must send it no more requests; only set when it refused a request. */
    std::optional<Duration> pause;
    /** The rate of requests that it accepts from all hosts together, as long as its answers say so. */
    std::optional<RequestRate> limit;
    /** The notice that could not be decoded and is ignored; empty if there is none. */
    std::string unreadable;
};

/** Metadata in the headers of a backend server's answer. */
struct AnswerMetadata {
    /** The attempt that the answer belongs to, if stated. */
    std::optional<AttemptId> attempt;
    /** True if the server states that it did not run the request. */
    bool isNotRun = false;
    ServerNotice notice;
};

} // namespace hemlockchute
