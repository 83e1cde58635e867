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
    The backend servers as this gateway knows them: from the leading coordinator, or from the
    platform's list while no leader is in contact, combined with this gateway's own observations,
    which take precedence.

    Thread safety: one thread at a time.
*/
class ServerTable {
public:
    /** How long observations count, and when a data centre is taken to be unreachable. */
    struct Options {
        /** The time for which a server that reported a model missing is not sent requests for it. */
        Duration missingModelLifetime = 1500ms;
        EjectionTable::Options ejection;
        /** A data centre counts as unreachable once this many of its servers could not be reached, with no success since. */
        unsigned unreachableServers = 2;
        /** The time after which an unreachable data centre is tried again. */
        Duration unreachableBackoff = 700ms;
        ServerNotices::Options notices;
        /** The time after which a server that refused a connection is tried again, in case the list does not show another incarnation of it. */
        Duration refusedBackoff = 700ms;
    };

    /** The servers of a service that are eligible for a request but for a pause. */
    struct Pauses {
        unsigned servers = 0;
        /** The earliest end of a pause, and its server; unset while no server is paused. */
        Instant firstEnd {};
        BackendServerName first;
        /** True while a server is paused or in its recovery period. */
        bool isRecovering = false;
    };

    explicit ServerTable(DataCentreName own, Options);

    //==============================================================================
    /** Replaces the list of servers; returns the addresses that are no longer in use. */
    std::vector<Endpoint> replaceAll(std::vector<ListedServer>);
    /** Applies a coordinator's reply: changed servers, removed servers and the load from all gateways. Returns the addresses that are no longer in use. A full list in several parts takes effect with its last part. */
    std::vector<Endpoint> applyReply(const FollowReply&);

    //==============================================================================
    /** The servers that may take a request now, except those in `excluded`. An empty model name matches every server of the service. */
    std::vector<ServerCandidate> candidates(const ModelKey&, const std::set<BackendServerName>& excluded, Instant now) const;
    /** One server with its load, whether or not it may take requests; nothing when it is not listed. */
    std::optional<ServerCandidate> candidate(const BackendServerName&) const;
    /** The models and adapters that the server is listed with; and the service alone, for requests without a model. */
    std::vector<ModelKey> modelsAt(const BackendServerName&) const;
    /** The servers that would be candidates but for a pause. */
    Pauses pauses(const ModelKey&, Instant now) const;
    /** The server's entry, or null when it is not listed. */
    const ListedServer* find(const BackendServerName&) const;
    /** True once a complete list was received. */
    bool hasListing() const { return m_hasListing; }

    //==============================================================================
    /** Sets the token capacity of the servers of each service; services that are missing have no known one. */
    void setTokenCapacities(std::map<ServiceName, std::uint64_t> capacities) { m_tokenCapacities = std::move(capacities); }
    /** Counts a request that is sent to a server, and its tokens. */
    void noteSent(const BackendServerName&, const RequestMetadata&);
    /** Notes that the server has processed a prompt. */
    void notePromptRead(const BackendServerName&, const RequestMetadata&);
    void noteEnded(const BackendServerName&, const RequestMetadata&);
    void noteSuccess(const BackendServerName&);
    void noteFailure(const BackendServerName& server, Instant now) { m_ejections.noteFailure(server, now); }
    /** Notes that a server could not be reached, in addition to noteFailure(). */
    void noteUnreachable(const BackendServerName&, Instant now);
    /** Notes that the server refused a connection, so its process has ended or a link to it is cut. */
    void noteConnectionRefused(const BackendServerName&, Instant now);
    /** True for some time after the server refused a connection. */
    bool isRefusing(const BackendServerName&, Instant now) const;
    /** The servers that refused a connection shortly before. */
    std::vector<ServerIncarnation> refusing(Instant now) const;
    /** Notes that the server reported the model or adapter missing. */
    void noteModelMissing(const BackendServerName&, const ModelKey&, Instant now);
    /** @see ServerNotices::noteLeaving */
    bool noteLeaving(const ServerIncarnation& incarnation, Instant now) { return m_notices.noteLeaving(incarnation, now); }
    /** The servers that announced that they are leaving and are not listed as leaving. */
    std::vector<ServerIncarnation> announcedLeaving(Instant now) const;
    /** @see ServerNotices::notePause */
    Instant notePause(const ServerIncarnation& incarnation, Duration requested, double jitter, Instant now) { return m_notices.notePause(incarnation, requested, jitter, now); }
    /** This gateway's in-flight requests at each server, to be reported to the coordinator. */
    std::vector<ServerOutstanding> outstanding();

private:
    struct Server {
        ListedServer listed;
        std::map<std::pair<ModelName, AdapterName>, Instant> missingUntil;
        /** This gateway's load, the part of it in the last report, and the other gateways' load as last received. */
        ServerLoad own;
        ServerLoad reportedOwn;
        ServerLoad others;
        ServerHandle handle;
        /** Set while the server is left out because it refused a connection. */
        Instant refusesUntil {};
        /** True while a full list is being received and has not included this server yet. */
        bool isUnconfirmed = false;
    };

    /** The servers of a data centre that could not be reached, since the last success at any of them. */
    struct Reachability {
        std::set<BackendServerName> unreachable;
        Instant lastUnreachable {};
    };

    Server& insertOrUpdate(ListedServer, std::set<Endpoint>& unusedAddresses);
    void remove(const BackendServerName&, std::set<Endpoint>& unusedAddresses);
    void applyLoads(const FollowReply&);
    ServerCandidate candidateOf(const BackendServerName&, const Server&) const;
    bool isUnreachable(const DataCentreName&, Instant now) const;
    bool holds(const Server&, const ModelKey&, Instant now) const;
    /** True when the server may take the request, pauses aside. */
    bool isEligible(const Server&, const ModelKey&, Instant now) const;

    DataCentreName m_ownDataCentre;
    Options m_options;
    std::map<BackendServerName, Server> m_servers;
    std::map<ServiceName, std::uint64_t> m_tokenCapacities;
    EjectionTable m_ejections;
    ServerNotices m_notices;
    std::map<DataCentreName, Reachability> m_reachability;
    bool m_hasListing = false;
    /** True while further parts of a full list are expected. */
    bool m_isResyncing = false;
};

} // namespace hemlockchute
