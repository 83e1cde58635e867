#include "gateway/ServerTable.h"

#include <algorithm>

namespace hemlockchute {

ServerTable::ServerTable(DataCentreName own, Options options)
    : m_own(std::move(own))
    , m_options(options)
    , m_ejections(options.ejection)
{
}

std::vector<Endpoint> ServerTable::takeListing(std::vector<ListedServer> listing)
{
    std::set<Endpoint> gone;
    for (const auto& [id, server] : m_servers)
        gone.insert(server.listed.address);
    std::map<BackendServerName, Server> servers;
    for (ListedServer& listed : listing) {
        auto known = m_servers.extract(listed.id);
        bool isSame = !known.empty() && known.mapped().listed.startedAt == listed.startedAt && known.mapped().listed.address == listed.address;
        Server server = isSame ? std::move(known.mapped()) : Server();
        if (isSame)
            gone.erase(listed.address);
        server.listed = std::move(listed);
        BackendServerName id = server.listed.id;
        servers.insert_or_assign(std::move(id), std::move(server));
    }
    for (const auto& [id, server] : m_servers)
        m_ejections.forget(id);
    m_servers = std::move(servers);
    m_hasListing = true;
    return { gone.begin(), gone.end() };
}

void ServerTable::takePlacements(const FollowReply& reply, Instant now)
{
    m_placementHeard = now;
    for (const ServerPlacement& placement : reply.placements) {
        auto found = m_servers.find(placement.server);
        if (found == m_servers.end() || found->second.listed.startedAt != placement.startedAt)
            continue;
        Server& server = found->second;
        server.hasPlacement = true;
        server.placed = placement.models;
        server.missingUntil.clear();
    }
    std::map<BackendServerName, ServerLoad> totals;
    for (const ServerOutstanding& each : reply.outstanding)
        totals[each.server] = each.load;
    for (auto& [id, server] : m_servers)
        server.others = totals[id] - server.reportedOwn;
}

void ServerTable::forgetPlacements()
{
    for (auto& [id, server] : m_servers)
        server.hasPlacement = false;
}

//==============================================================================
std::vector<ServerCandidate> ServerTable::candidates(const ModelKey& key, const std::set<BackendServerName>& excluded, Instant now) const
{
    std::vector<BackendServerName> able;
    for (const auto& [id, server] : m_servers) {
        bool isAble = server.listed.service == key.service && !server.listed.isLeaving && !excluded.contains(id);
        if (isAble && (key.model.isEmpty() || holds(server, key, now)))
            able.push_back(id);
    }
    std::vector<ServerCandidate> candidates;
    for (const BackendServerName& id : m_ejections.usable(able, now)) {
        const Server& server = m_servers.at(id);
        candidates.push_back({ id, server.listed.dataCentre == m_own, server.listed.slots, server.own + server.others });
    }
    return candidates;
}

bool ServerTable::holds(const Server& server, const ModelKey& key, Instant now) const
{
    bool isPlacementCurrent = server.hasPlacement && now - m_placementHeard < m_options.placementLifetime;
    const HeldModels& models = isPlacementCurrent ? server.placed : server.listed.models;
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
void ServerTable::noteSent(const BackendServerName& id, std::uint64_t promptTokens)
{
    auto found = m_servers.find(id);
    if (found != m_servers.end())
        found->second.own = found->second.own + ServerLoad { 1, promptTokens };
}

void ServerTable::noteRead(const BackendServerName& id, std::uint64_t promptTokens)
{
    auto found = m_servers.find(id);
    if (found != m_servers.end())
        found->second.own = found->second.own - ServerLoad { 0, promptTokens };
}

/** A server that was listed anew in between begins with no requests. */
void ServerTable::noteEnded(const BackendServerName& id)
{
    auto found = m_servers.find(id);
    if (found != m_servers.end())
        found->second.own = found->second.own - ServerLoad { 1, 0 };
}

void ServerTable::noteMissing(const BackendServerName& id, const ModelKey& key, Instant now)
{
    auto found = m_servers.find(id);
    if (found != m_servers.end())
        found->second.missingUntil[{ key.model, key.adapter }] = now + m_options.missingLifetime;
}

std::vector<ServerOutstanding> ServerTable::outstanding()
{
    std::vector<ServerOutstanding> all;
    for (auto& [id, server] : m_servers) {
        server.reportedOwn = server.own;
        if (server.own.requests > 0)
            all.push_back({ id, server.own });
    }
    return all;
}

} // namespace hemlockchute
