#pragma once

#include "hemlockchute/fleet/FleetMessages.h"

#include <map>

namespace hemlockchute {

//==============================================================================
/**
    The servers published to gateways, indexed by the revision of their last change.

    Serves incremental updates: each gateway gets the changes since the revision that it knows, in
    bounded parts, so that hundreds of gateways can follow thousands of servers even if all of them
    start at once. Relays keep the leader's revisions and handles, so a gateway may switch between
    them. Thread safety: one thread at a time.

    @see FleetRelay
*/
class FleetTable {
public:
    /** Bounds on replies. */
    struct Options {
        /** Servers per reply; at about 300 bytes each this takes 25 ms on a 10 Mbit/s link. */
        std::size_t serversPerReply = 100;
        /** Departures kept for gateways that lag behind; about 20 KB, more than a day's worth. */
        std::size_t maximumDepartures = 1000;
    };

    FleetTable() = default;
    explicit FleetTable(Options options)
        : m_options(options)
    {
    }

    /** Removes every server and restarts revisions and handles under a new epoch. Epochs of successive leaders must be far apart, since the table also advances to the next one by itself. */
    void beginEpoch(std::uint64_t epoch);
    /** Inserts or updates a server; only a change gets a new revision. */
    void put(const ListedServer&);
    void remove(const BackendServerName&);
    /** Applies a reply, keeping its revisions. Precondition: it continues from this table's revision, or starts a full list. */
    void apply(const FollowReply&);

    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t revision() const { return m_revision; }
    std::size_t size() const { return m_entries.size(); }
    /** The server's handle, or none for an unknown server. */
    ServerHandle handleOf(const BackendServerName&) const;

    /** Fills in the changes since the revision in the request; for another epoch, the first part of the full list. */
    void fill(FollowReply&, const FollowRequest&) const;

private:
    void startNewEpoch();
    void store(FleetEntry);
    void erase(const BackendServerName&, std::uint64_t revision);

    Options m_options;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_lastHandle = 0;
    std::map<BackendServerName, FleetEntry> m_entries;
    std::map<std::uint64_t, BackendServerName> m_byRevision;
    /** Removed servers, with the revision of their removal. */
    std::map<BackendServerName, std::uint64_t> m_gone;
};

} // namespace hemlockchute
