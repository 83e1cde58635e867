#include "hemlockchute/fleet/FleetTable.h"

#include <algorithm>

namespace hemlockchute {

void FleetTable::beginEpoch(std::uint64_t epoch)
{
    Options options = m_options;
    *this = FleetTable(options);
    m_epoch = epoch;
}

void FleetTable::put(const ListedServer& server)
{
    auto known = m_entries.find(server.id);
    if (known != m_entries.end() && known->second.server == server)
        return;
    ServerHandle handle = known == m_entries.end() ? ServerHandle(++m_lastHandle) : known->second.handle;
    store({ server, handle, ++m_revision });
}

void FleetTable::remove(const BackendServerName& id)
{
    if (!m_entries.contains(id))
        return;
    erase(id, ++m_revision);
    if (m_gone.size() > m_options.maximumDepartures)
        startNewEpoch();
}

/** Discards the departures; every follower then reads the full list once. */
void FleetTable::startNewEpoch()
{
    std::map<BackendServerName, FleetEntry> entries = std::move(m_entries);
    beginEpoch(m_epoch + 1);
    for (const auto& [id, entry] : entries)
        put(entry.server);
}

void FleetTable::apply(const FollowReply& reply)
{
    if (reply.isWhole)
        beginEpoch(reply.epoch);
    for (const ServerDeparture& departure : reply.gone)
        erase(departure.server, departure.revision);
    for (const FleetEntry& entry : reply.servers)
        store(entry);
    m_revision = std::max(m_revision, reply.revision);
}

void FleetTable::store(FleetEntry entry)
{
    auto known = m_entries.find(entry.server.id);
    if (known != m_entries.end())
        m_byRevision.erase(known->second.revision);
    m_gone.erase(entry.server.id);
    m_byRevision.insert_or_assign(entry.revision, entry.server.id);
    BackendServerName id = entry.server.id;
    m_entries.insert_or_assign(id, std::move(entry));
}

void FleetTable::erase(const BackendServerName& id, std::uint64_t revision)
{
    auto known = m_entries.find(id);
    if (known != m_entries.end()) {
        m_byRevision.erase(known->second.revision);
        m_entries.erase(known);
    }
    m_gone.insert_or_assign(id, revision);
}

ServerHandle FleetTable::handleOf(const BackendServerName& id) const
{
    auto known = m_entries.find(id);
    return known == m_entries.end() ? ServerHandle() : known->second.handle;
}

void FleetTable::fill(FollowReply& reply, const FollowRequest& request) const
{
    reply.epoch = m_epoch;
    reply.isWhole = request.epoch != m_epoch;
    std::uint64_t known = reply.isWhole ? 0 : request.revision;
    reply.revision = std::max(known, m_revision);
    for (auto next = m_byRevision.upper_bound(known); next != m_byRevision.end(); ++next) {
        if (reply.servers.size() == m_options.serversPerReply) {
            reply.hasMore = true;
            reply.revision = reply.servers.back().revision;
            break;
        }
        reply.servers.push_back(m_entries.at(next->second));
    }
    // A departure is sent with the part whose revision covers it, even in a full list: a relay may serve gateways that know more than it.
    for (const auto& [id, revision] : m_gone) {
        if (revision > known && revision <= reply.revision)
            reply.gone.push_back({ id, revision });
    }
}

} // namespace hemlockchute
