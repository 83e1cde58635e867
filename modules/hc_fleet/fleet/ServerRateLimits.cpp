#include "hemlockchute/fleet/ServerRateLimits.h"

#include <algorithm>

namespace hemlockchute {

bool ServerRateLimits::note(const RateLimitNotice& notice)
{
    auto found = m_notices.find(notice.server);
    if (found == m_notices.end()) {
        if (notice.limit)
            m_notices.emplace(notice.server, notice);
        return notice.limit.has_value();
    }
    RateLimitNotice& known = found->second;
    std::optional<RequestRate> before = known.limit;
    bool isAfter = notice.sent >= known.received;
    bool isLater = notice.received > known.received;
    bool isRepeated = notice.limit == before;
    bool isStricter = notice.limit && (!before || *notice.limit < *before);
    if (isRepeated) {
        if (notice.received > known.received + m_options.refreshInterval)
            known = notice;
        return false;
    }
    // A late head of an answer to an earlier request may still name a lower limit.
    if (!isAfter && !(isStricter && (isLater || before)))
        return false;
    known.limit = notice.limit;
    known.sent = std::max(known.sent, notice.sent);
    known.received = std::max(known.received, notice.received);
    return true;
}

std::optional<RequestRate> ServerRateLimits::limitOf(const ServerIncarnation& server) const
{
    auto found = m_notices.find(server);
    return found == m_notices.end() ? std::nullopt : found->second.limit;
}

std::vector<RateLimitNotice> ServerRateLimits::notices() const
{
    std::vector<RateLimitNotice> all;
    for (const auto& [server, notice] : m_notices)
        all.push_back(notice);
    return all;
}

void ServerRateLimits::expire(Instant now)
{
    std::erase_if(m_notices, [&](const auto& item) {
        return now - item.second.received > (item.second.limit ? m_options.limitRetention : m_options.endRetention);
    });
}

} // namespace hemlockchute
