#include "gateway/ServerAdmission.h"

#include <algorithm>

namespace hemlockchute {

ServerSelection ServerAdmission::select(const ModelKey& key, const RequestMetadata& request, unsigned rank, const std::set<BackendServerName>& tried, Instant now) const
{
    ServerSelection offer;
    auto candidates = m_servers.candidates(key, tried, now);
    offer.pauses = m_servers.pauses(key, now);
    bool isHeld = !candidates.empty();
    // Plain services queue by themselves, but must not be crowded by what a pausing server does not take, nor by all who waited for its end.
    if (!key.model.isEmpty() || offer.pauses.isRecovering)
        std::erase_if(candidates, [&](const ServerCandidate& each) { return each.load.requests >= requestLimit(each, rank); });
    offer.isFull = isHeld && candidates.empty();
    if (auto best = m_chooser.choose(candidates, request))
        offer.server = candidates[*best].id;
    return offer;
}

unsigned ServerAdmission::requestLimit(const ServerCandidate& server, unsigned rank) const
{
    double queue = std::max(0.0, m_options.urgentQueueRatio - m_options.queueRatioStep * rank);
    return server.slots + static_cast<unsigned>(queue * server.slots);
}

} // namespace hemlockchute
