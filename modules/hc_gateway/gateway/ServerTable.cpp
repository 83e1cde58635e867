#include "gateway/ServerTable.h"

#include <algorithm>
#include <unordered_map>

namespace hemlockchute {

ServerTable::ServerTable(DataCentreName own, Options options)
    : m_ownDataCentre(std::move(own))
    , m_options(options)
    , m_ejections(options.ejection)
    , m_notices(options.notices)
{
}

std::vector<Endpoint> ServerTable::replaceAll(std::vector<ListedServer> servers)
{
    std::set<BackendServerName> listed;
    for (const ListedServer& server : servers)
        listed.insert(server.id);
    std::set<Endpoint> unusedAddresses;
    std::vector<BackendServerName> removed;
    for (const auto& [id, server] : m_servers) {
        if (!listed.contains(id))
            removed.push_back(id);
    }
    for (const BackendServerName& id : removed)
        remove(id, unusedAddresses);
    for (ListedServer& server : servers)
        insertOrUpdate(std::move(server), unusedAddresses);
    m_hasListing = true;
    return { unusedAddresses.begin(), unusedAddresses.end() };
}

void ServerTable::remove(const BackendServerName& id, std::set<Endpoint>& unusedAddresses)
{
    auto server = m_servers.extract(id);
    if (!server.empty())
        unusedAddresses.insert(server.mapped().listed.address);
    m_ejections.forget(id);
}

std::vector<Endpoint> ServerTable::applyReply(const FollowReply& reply)
{
    std::set<Endpoint> unusedAddresses;
    if (reply.isWhole) {
        m_isResyncing = true;
        for (auto& [id, server] : m_servers) {
            server.isUnconfirmed = true;
            server.handle = ServerHandle();
        }
    }
    for (const FleetEntry& entry : reply.servers) {
        Server& server = insertOrUpdate(entry.server, unusedAddresses);
        server.handle = entry.handle;
        server.isUnconfirmed = false;
    }
    for (const ServerDeparture& departure : reply.gone)
        remove(departure.server, unusedAddresses);
    if (m_isResyncing && !reply.hasMoreServers()) {
        std::vector<BackendServerName> removed;
        for (const auto& [id, server] : m_servers) {
            if (server.isUnconfirmed)
                removed.push_back(id);
        }
        for (const BackendServerName& id : removed)
            remove(id, unusedAddresses);
        m_isResyncing = false;
        m_hasListing = true;
    }
    applyLoads(reply);
    return { unusedAddresses.begin(), unusedAddresses.end() };
}

void ServerTable::applyLoads(const FollowReply& reply)
{
    std::unordered_map<std::uint64_t, ServerLoad> totals;
    for (const ServerOutstanding& each : reply.outstanding)
        totals[each.server.value()] = each.load;
    for (auto& [id, server] : m_servers) {
        auto total = totals.find(server.handle.value());
        server.others = total == totals.end() ? ServerLoad() : total->second - server.reportedOwn;
    }
}

/** A new incarnation, or a new address, starts without requests and failures. */
ServerTable::Server& ServerTable::insertOrUpdate(ListedServer listed, std::set<Endpoint>& unusedAddresses)
{
    Server& server = m_servers[listed.id];
    bool isKnown = !server.listed.id.isEmpty();
    bool isSame = isKnown && server.listed.startedAt == listed.startedAt && server.listed.address == listed.address;
    if (isKnown && !isSame) {
        unusedAddresses.insert(server.listed.address);
        m_ejections.forget(listed.id);
        server = Server();
    }
    if (server.listed.models != listed.models)
        server.missingUntil.clear();
    server.listed = std::move(listed);
    return server;
}

//==============================================================================
std::vector<ServerCandidate> ServerTable::candidates(const ModelKey& key, const std::set<BackendServerName>& excluded, Instant now) const
{
    std::vector<BackendServerName> eligible;
    std::vector<BackendServerName> unreachable;
    for (const auto& [id, server] : m_servers) {
        if (!excluded.contains(id) && isEligible(server, key, now) && !m_notices.pausedUntil(lifeOf(server.listed), now))
            (isUnreachable(server.listed.dataCentre, now) ? unreachable : eligible).push_back(id);
    }
    if (eligible.empty())
        eligible = std::move(unreachable);
    std::vector<ServerCandidate> candidates;
    for (const BackendServerName& id : m_ejections.usable(eligible, now))
        candidates.push_back(candidateOf(id, m_servers.at(id)));
    return candidates;
}

ServerCandidate ServerTable::candidateOf(const BackendServerName& id, const Server& server) const
{
    auto capacity = m_tokenCapacities.find(server.listed.service);
    return { id, server.listed.dataCentre == m_ownDataCentre, server.listed.slots, server.own + server.others, capacity == m_tokenCapacities.end() ? 0 : capacity->second };
}

std::optional<ServerCandidate> ServerTable::candidate(const BackendServerName& id) const
{
    auto found = m_servers.find(id);
    return found == m_servers.end() ? std::nullopt : std::optional(candidateOf(id, found->second));
}

std::vector<ModelKey> ServerTable::modelsAt(const BackendServerName& id) const
{
    std::vector<ModelKey> keys;
    const ListedServer* server = find(id);
    if (!server)
        return keys;
    keys.push_back({ server->service, ModelName(), AdapterName() });
    for (const auto& [model, adapters] : server->models) {
        keys.push_back({ server->service, model, AdapterName() });
        for (const AdapterName& adapter : adapters)
            keys.push_back({ server->service, model, adapter });
    }
    return keys;
}

bool ServerTable::isEligible(const Server& server, const ModelKey& key, Instant now) const
{
    bool isServing = server.listed.service == key.service && now >= server.refusesUntil && !server.listed.isLeaving && !m_notices.isLeaving(lifeOf(server.listed), now);
    return isServing && (key.model.isEmpty() || holds(server, key, now));
}

std::vector<ServerIncarnation> ServerTable::announcedLeaving(Instant now) const
{
    std::vector<ServerIncarnation> all;
    if (m_notices.size() == 0)
        return all;
    for (const auto& [id, server] : m_servers) {
        if (!server.listed.isLeaving && m_notices.isLeaving(lifeOf(server.listed), now))
            all.push_back(lifeOf(server.listed));
    }
    return all;
}

ServerTable::Pauses ServerTable::pauses(const ModelKey& key, Instant now) const
{
    Pauses pauses;
    if (m_notices.size() == 0)
        return pauses;
    for (const auto& [id, server] : m_servers) {
        if (!m_notices.isRecovering(lifeOf(server.listed), now) || !isEligible(server, key, now))
            continue;
        pauses.isRecovering = true;
        auto end = m_notices.pausedUntil(lifeOf(server.listed), now);
        if (!end)
            continue;
        if (pauses.servers == 0 || *end < pauses.firstEnd) {
            pauses.firstEnd = *end;
            pauses.first = id;
        }
        ++pauses.servers;
    }
    return pauses;
}

bool ServerTable::holds(const Server& server, const ModelKey& key, Instant now) const
{
    const HeldModels& models = server.listed.models;
    auto held = models.find(key.model);
    if (held == models.end() || (!key.adapter.isEmpty() && !held->second.contains(key.adapter)))
        return false;
    auto lacks = [&](const AdapterName& adapter) {
        auto missing = server.missingUntil.find({ key.model, adapter });
        return missing != server.missingUntil.end() && now < missing->second;
    };
    return !lacks(key.adapter) && !lacks(AdapterName());
}

const ListedServer* ServerTable::find(const BackendServerName& id) const
{
    auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second.listed;
}

//==============================================================================
void ServerTable::noteSent(const BackendServerName& id, const RequestMetadata& request)
{
    auto found = m_servers.find(id);
    if (found != m_servers.end())
        found->second.own = found->second.own + ServerLoad { 1, request.promptTokens, request.heldTokens() };
}

void ServerTable::notePromptRead(const BackendServerName& id, const RequestMetadata& request)
{
    auto found = m_servers.find(id);
    if (found != m_servers.end())
        found->second.own = found->second.own - ServerLoad { 0, request.promptTokens, 0 };
}

/** The count of a server that was replaced in the meantime starts at zero, and does not fall below. */
void ServerTable::noteEnded(const BackendServerName& id, const RequestMetadata& request)
{
    auto found = m_servers.find(id);
    if (found != m_servers.end())
        found->second.own = found->second.own - ServerLoad { 1, 0, request.heldTokens() };
}

void ServerTable::noteSuccess(const BackendServerName& id)
{
    m_ejections.noteSuccess(id);
    auto found = m_servers.find(id);
    if (found != m_servers.end())
        m_reachability.erase(found->second.listed.dataCentre);
}

void ServerTable::noteUnreachable(const BackendServerName& id, Instant now)
{
    auto found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    Reachability& reachability = m_reachability[found->second.listed.dataCentre];
    reachability.unreachable.insert(id);
    reachability.lastUnreachable = now;
}

void ServerTable::noteConnectionRefused(const BackendServerName& id, Instant now)
{
    auto found = m_servers.find(id);
    if (found != m_servers.end())
        found->second.refusesUntil = now + m_options.refusedBackoff;
}

bool ServerTable::isRefusing(const BackendServerName& id, Instant now) const
{
    auto found = m_servers.find(id);
    return found != m_servers.end() && now < found->second.refusesUntil;
}

std::vector<ServerIncarnation> ServerTable::refusing(Instant now) const
{
    std::vector<ServerIncarnation> all;
    for (const auto& [id, server] : m_servers) {
        if (now < server.refusesUntil && !server.listed.isLeaving)
            all.push_back(lifeOf(server.listed));
    }
    return all;
}

bool ServerTable::isUnreachable(const DataCentreName& dataCentre, Instant now) const
{
    auto found = m_reachability.find(dataCentre);
    if (found == m_reachability.end() || dataCentre == m_ownDataCentre)
        return false;
    return found->second.unreachable.size() >= m_options.unreachableServers && now - found->second.lastUnreachable < m_options.unreachableBackoff;
}

void ServerTable::noteModelMissing(const BackendServerName& id, const ModelKey& key, Instant now)
{
    auto found = m_servers.find(id);
    if (found != m_servers.end())
        found->second.missingUntil[{ key.model, key.adapter }] = now + m_options.missingModelLifetime;
}

std::vector<ServerOutstanding> ServerTable::outstanding()
{
    std::vector<ServerOutstanding> all;
    for (auto& [id, server] : m_servers) {
        server.reportedOwn = server.handle.isNone() ? ServerLoad() : server.own;
        if (server.reportedOwn.requests > 0)
            all.push_back({ server.handle, server.reportedOwn });
    }
    return all;
}

} // namespace hemlockchute
