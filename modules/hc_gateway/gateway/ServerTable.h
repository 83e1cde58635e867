#pragma once

#include "hemlockchute/fleet/fleet.h"
#include "hemlockchute/policy/EjectionTable.h"
#include "hemlockchute/policy/ServerNotices.h"

#include <map>
#include <set>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    What this gateway knows of the backend servers: from the coordinator that leads, or from the
    platform's list when that is silent, and what it sees itself. What it sees itself goes first.

    Thread safety: one thread at a time.
*/
class ServerTable {
public:
    /** Times after which what was heard counts for less. */
    struct Options {
        /** A server that answered that it lacks a model is not asked again for so long. */
        Duration missingModelLifetime = 1500ms;
        EjectionTable::Options ejection;
        /** So many servers of one data centre out of reach, and none reached since, mean that all of them are. */
        unsigned unreachableServers = 2;
        /** A data centre out of reach is tried again after this. */
        Duration unreachableBackoff = 700ms;
        ServerNotices::Options notices;
    };

    /** The servers of a service that pause and could take a request otherwise. */
    struct Pauses {
        unsigned servers = 0;
        /** When the first of them ends its pause, and which it is; unset while none pauses. */
        Instant firstEnd {};
        BackendServerName first;
        /** True while one pauses, or did a moment ago. */
        bool isRecovering = false;
    };

    explicit ServerTable(DataCentreName own, Options);

    //==============================================================================
    /** Takes every server there is; returns the addresses that no server has any more. */
    std::vector<Endpoint> replaceAll(std::vector<ListedServer>);
    /** Takes the servers that changed, those that are gone, and the counts of all gateways; returns as replaceAll(). A list that comes in parts replaces what was known with its last one. */
    std::vector<Endpoint> applyReply(const FollowReply&);

    //==============================================================================
    /** Servers of the service that may take a request now, those in `excluded` left out; empty names need no model. */
    std::vector<ServerCandidate> candidates(const ModelKey&, const std::set<BackendServerName>& excluded, Instant now) const;
    /** Those that a pause alone keeps from being candidates. */
    Pauses pauses(const ModelKey&, Instant now) const;
    /** The server's entry, or null when it is not listed. */
    const ListedServer* find(const BackendServerName&) const;
    /** True once servers were taken in. */
    bool hasListing() const { return m_hasListing; }

    //==============================================================================
    /** Notes a request and the tokens of its prompt. */
    void noteSent(const BackendServerName&, std::uint64_t promptTokens);
    /** Notes that the server has read a prompt. */
    void notePromptRead(const BackendServerName&, std::uint64_t promptTokens);
    void noteEnded(const BackendServerName&);
    void noteSuccess(const BackendServerName&);
    void noteFailure(const BackendServerName& server, Instant now) { m_ejections.noteFailure(server, now); }
    /** Notes that nothing was heard of a server, besides the failure. */
    void noteUnreachable(const BackendServerName&, Instant now);
    /** Notes that the server said it does not hold what a request needs. */
    void noteModelMissing(const BackendServerName&, const ModelKey&, Instant now);
    /** Notes that this life of a server said that it leaves; true when that is news. */
    bool noteLeaving(const ServerLife& life, Instant now) { return m_notices.noteLeaving(life, now); }
    /** Servers that said that they leave, and do not by the list. */
    std::vector<ServerLife> announcedLeaving(Instant now) const;
    /** Notes that this life of a server wants nothing for a while, and gives the end of it here; as ServerNotices::notePause(). */
    Instant notePause(const ServerLife& life, Duration asked, double place, Instant now) { return m_notices.notePause(life, asked, place, now); }
    /** The requests of this gateway at each server. */
    std::vector<ServerOutstanding> outstanding();

private:
    struct Server {
        ListedServer listed;
        std::map<std::pair<ModelName, AdapterName>, Instant> missingUntil;
        /** Requests of this gateway, and those of the others as last heard. */
        ServerLoad own;
        ServerLoad reportedOwn;
        ServerLoad others;
        ServerHandle handle;
        /** True while a new list is coming and the server has not been in it. */
        bool isUnconfirmed = false;
    };

    /** The servers of a data centre that were found out of reach, since one of them was last heard. */
    struct Reachability {
        std::set<BackendServerName> unreachable;
        Instant lastUnreachable {};
    };

    Server& insertOrUpdate(ListedServer, std::set<Endpoint>& gone);
    void remove(const BackendServerName&, std::set<Endpoint>& gone);
    void applyLoads(const FollowReply&);
    bool isUnreachable(const DataCentreName&, Instant now) const;
    bool holds(const Server&, const ModelKey&, Instant now) const;
    /** True but for a pause. */
    bool isEligible(const Server&, const ModelKey&, Instant now) const;

    DataCentreName m_ownDataCentre;
    Options m_options;
    std::map<BackendServerName, Server> m_servers;
    EjectionTable m_ejections;
    ServerNotices m_notices;
    std::map<DataCentreName, Reachability> m_reachability;
    bool m_hasListing = false;
    /** True while parts of a new list are to come. */
    bool m_isResyncing = false;
};

} // namespace hemlockchute
