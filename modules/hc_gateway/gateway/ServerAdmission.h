#pragma once

#include "gateway/ServerRateLimiter.h"
#include "gateway/ServerTable.h"

namespace hemlockchute {

/** The server for a request, or what the request has to wait for. */
struct ServerSelection {
    std::optional<BackendServerName> server;
    /** True when servers could take the request and all of them are at their limit. */
    bool isFull = false;
    /** True when a server has a place but no memory for the request. */
    bool isShortOfMemory = false;
    /** The servers that could take the request but for a pause. */
    ServerTable::Pauses pauses;
    /** The servers that could take the request but for their rate limit. */
    std::vector<ServerIncarnation> limited;
};

/** A server for a further send of a request that is at a server already, or why there is none. */
struct SpareServerSelection {
    /** A server with fewer requests than slots. */
    std::optional<BackendServerName> server;
    /** True while a server of the service is paused, or in its recovery period. */
    bool hasPausedServer = false;
    /** True while a server of the service names a rate limit. */
    bool hasLimitedServer = false;
};

//==============================================================================
/**
    Admission control and load balancing: selects the server for a request, and limits the requests
    at each server by rank, and their tokens by the server's memory.

    Under overload, and while some servers are paused, excess requests wait at the gateway instead
    of in the queues of the remaining servers. Servers with a rate limit are selected only while a
    request may be sent to them. Thread safety: one thread at a time.

    @see ServerTable, ServerRateLimiter, ServerChooser
*/
class ServerAdmission {
public:
    /** The queue depth allowed at a server, as a fraction of its slots. */
    struct Options {
        /** For rank 0, so that the most urgent requests get the next free slot. */
        double urgentQueueRatio = 0.5;
        /** Subtracted for each less urgent rank. */
        double queueRatioStep = 0.25;
    };

    /** The table and the limiter must outlive this object. */
    ServerAdmission(const ServerTable& servers, ServerRateLimiter& rateLimiter, Options options)
        : m_servers(servers)
        , m_rateLimiter(rateLimiter)
        , m_options(options)
    {
    }

    /** Selects the best server that was not tried. */
    ServerSelection select(const ModelKey&, const RequestMetadata&, unsigned rank, const std::set<BackendServerName>& tried, Instant now) const;
    /** Whether a server has a place for a request with a model: only `isFull` and `isShortOfMemory` are set. Much cheaper than select(). */
    ServerSelection checkPlace(const BackendServerName&, const RequestMetadata&, unsigned rank) const;

    /** Selects the best server that was not tried and has a free slot. */
    SpareServerSelection selectSpare(const ModelKey&, const RequestMetadata&, const std::set<BackendServerName>& tried, Instant now) const;

private:
    unsigned requestLimit(const ServerCandidate&, unsigned rank) const;
    static bool lacksMemory(const ServerCandidate&, const RequestMetadata&);

    const ServerTable& m_servers;
    ServerRateLimiter& m_rateLimiter;
    Options m_options;
    ServerChooser m_chooser { ServerChooser::Options() };
};

} // namespace hemlockchute
