#include "gateway/ServerAdmission.h"

#include <algorithm>

namespace hemlockchute {

ServerSelection ServerAdmission::select(const ModelKey& key, const RequestMetadata& request, unsigned rank, const std::set<BackendServerName>& tried, Instant now) const
{
    ServerSelection selection;
    auto candidates = m_servers.candidates(key, tried, now);
    selection.pauses = m_servers.pauses(key, now);
    std::erase_if(candidates, [&](const ServerCandidate& each) {
        ServerIncarnation life = lifeOf(*m_servers.find(each.id));
        bool isLimited = !m_rateLimiter.admits(life, rank, now);
        if (isLimited)
            selection.limited.push_back(std::move(life));
        return isLimited;
    });
    bool hasCandidates = !candidates.empty();
    // Services without models queue requests themselves. They are limited too while servers are paused or recovering, since the others would receive the excess, and the paused ones every waiting request at once.
    if (!key.model.isEmpty() || selection.pauses.isRecovering)
        std::erase_if(candidates, [&](const ServerCandidate& each) { return each.load.requests >= requestLimit(each, rank); });
    selection.isShortOfMemory = std::erase_if(candidates, [&](const ServerCandidate& each) { return lacksMemory(each, request); }) > 0;
    selection.isFull = hasCandidates && candidates.empty();
    if (auto best = m_chooser.choose(candidates, request))
        selection.server = candidates[*best].id;
    return selection;
}

SpareServerSelection ServerAdmission::selectSpare(const ModelKey& key, const RequestMetadata& request, const std::set<BackendServerName>& tried, Instant now) const
{
    SpareServerSelection selection;
    const ModelKey service { key.service, ModelName(), AdapterName() };
    ServerTable::Pauses pauses = m_servers.pauses(service, now);
    selection.hasPausedServer = pauses.servers > 0 || pauses.isRecovering;
    auto all = m_servers.candidates(service, {}, now);
    selection.hasLimitedServer = std::any_of(all.begin(), all.end(), [&](const ServerCandidate& each) { return m_rateLimiter.limitOf(lifeOf(*m_servers.find(each.id))).has_value(); });
    auto candidates = m_servers.candidates(key, tried, now);
    std::erase_if(candidates, [&](const ServerCandidate& each) { return each.load.requests >= each.slots || lacksMemory(each, request); });
    if (auto best = m_chooser.choose(candidates, request))
        selection.server = candidates[*best].id;
    return selection;
}

ServerSelection ServerAdmission::checkPlace(const BackendServerName& name, const RequestMetadata& request, unsigned rank) const
{
    ServerSelection selection;
    auto server = m_servers.candidate(name);
    selection.isShortOfMemory = server && lacksMemory(*server, request);
    selection.isFull = !server || selection.isShortOfMemory || server->load.requests >= requestLimit(*server, rank);
    return selection;
}

/** A server without requests takes any, since no other server would suit a request beyond the capacity better. Shared parts of prompts that the server keeps are not counted, since it drops them when it needs memory. */
bool ServerAdmission::lacksMemory(const ServerCandidate& server, const RequestMetadata& request)
{
    return server.tokenCapacity > 0 && server.load.requests > 0 && server.load.heldTokens + request.heldTokens() > server.tokenCapacity;
}

unsigned ServerAdmission::requestLimit(const ServerCandidate& server, unsigned rank) const
{
    double queue = std::max(0.0, m_options.urgentQueueRatio - m_options.queueRatioStep * rank);
    return server.slots + static_cast<unsigned>(queue * server.slots);
}

} // namespace hemlockchute
