#pragma once

#include "hemlockchute/fleet/FleetMessages.h"

#include <map>

namespace hemlockchute {

//==============================================================================
/**
    The servers that gateways are told of, in the order in which they changed.

    Answers the load in which hundreds of gateways follow thousands of servers, and all of them
    begin at once after a restart: each is told what changed since the revision that it knows, a
    bounded part at a time. Relays pass entries on with the leader's revisions and handles, so that
    a gateway may ask any of them next. Thread safety: one thread at a time.

    @see FleetRelay
*/
class FleetTable {
public:
    /** Bounds on one answer. */
    struct Options {
        /** Servers in one part; at some 300 bytes each, 25 ms on a link of 10 Mbit/s. */
        std::size_t serversPerReply = 100;
        /** Departures that are kept for those who lag behind; some 20 KB, more than a day's. */
        std::size_t maximumDepartures = 1000;
    };

    FleetTable() = default;
    explicit FleetTable(Options options)
        : m_options(options)
    {
    }

    /** Forgets every server; revisions and handles begin anew under another epoch. A leader's epochs must be far apart, since the table goes on to the next one by itself. */
    void beginEpoch(std::uint64_t epoch);
    /** Takes a server as it is now, under a new revision if that is news. */
    void put(const ListedServer&);
    void remove(const BackendServerName&);
    /** Takes an answer of the coordinator that leads, with its revisions. Precondition: it goes on from this table, or begins a list. */
    void apply(const FollowReply&);

    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t revision() const { return m_revision; }
    std::size_t size() const { return m_entries.size(); }
    /** The server's handle, or none when it is not here. */
    ServerHandle handleOf(const BackendServerName&) const;

    /** Fills in what changed since the revision that the request names, or the first part of everything. */
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
    /** Servers that left, with the revision in which they did. */
    std::map<BackendServerName, std::uint64_t> m_gone;
};

} // namespace hemlockchute
