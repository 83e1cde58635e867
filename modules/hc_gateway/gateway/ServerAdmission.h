#pragma once

#include "gateway/ServerTable.h"

namespace hemlockchute {

/** Where a request may go now, or what it has to wait for. */
struct ServerSelection {
    std::optional<BackendServerName> server;
    /** True when servers could take the request and none has room. */
    bool isFull = false;
    /** Servers that a pause alone keeps from taking it. */
    ServerTable::Pauses pauses;
};

//==============================================================================
/**
    Decides which server takes a request, and which have no room for its rank.

    Answers the load in which more requests come than the servers have slots for, and the one in
    which some servers pause: what they do not take waits here, and does not crowd the others.
    Thread safety: one thread at a time.

    @see ServerTable, ServerChooser
*/
class ServerAdmission {
public:
    /** What may queue at a server, in parts of its slots. */
    struct Options {
        /** For rank 0, so that the most urgent find the next free slot. */
        double urgentQueueRatio = 0.5;
        /** Less for each rank behind it. */
        double queueRatioStep = 0.25;
    };

    /** The table outlives this. */
    ServerAdmission(const ServerTable& servers, Options options)
        : m_servers(servers)
        , m_options(options)
    {
    }

    /** The best server but for those that were tried. */
    ServerSelection select(const ModelKey&, const RequestMetadata&, unsigned rank, const std::set<BackendServerName>& tried, Instant now) const;

private:
    unsigned requestLimit(const ServerCandidate&, unsigned rank) const;

    const ServerTable& m_servers;
    Options m_options;
    ServerChooser m_chooser { ServerChooser::Options() };
};

} // namespace hemlockchute
