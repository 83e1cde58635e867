#include "gateway/ServerRateLimiter.h"

#include <algorithm>

namespace hemlockchute {

namespace {

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

bool ServerRateLimiter::note(const RateLimitNotice& notice)
{
    return m_limits.note(notice);
}

bool ServerRateLimiter::admits(const ServerIncarnation& id, unsigned rank, Instant now)
{
    auto limit = m_limits.limitOf(id);
    if (!limit)
        return true;
    Server& server = m_servers[id];
    unsigned moreUrgent = rank == 0 ? 0 : waitingUpTo(id, rank - 1);
    if (!isAlone(now))
        return granted(server, now) > moreUrgent;
    if (!server.nextAlone)
        server.nextAlone = now + Duration(std::uniform_int_distribution<Duration::rep>(0, aloneInterval(*limit).count())(m_random));
    return now >= *server.nextAlone && moreUrgent == 0;
}

std::optional<Instant> ServerRateLimiter::take(const ServerIncarnation& id, Instant now)
{
    auto limit = m_limits.limitOf(id);
    if (!limit)
        return std::nullopt;
    Server& server = m_servers[id];
    ++server.expected;
    if (isAlone(now)) {
        server.nextAlone = now + aloneInterval(*limit);
        return now;
    }
    std::erase_if(server.grants, [&](const Grant& grant) { return now >= grant.end; });
    auto first = std::min_element(server.grants.begin(), server.grants.end(), [](const Grant& a, const Grant& b) { return a.end < b.end; });
    if (first == server.grants.end())
        return now;
    Instant end = first->end;
    if (--first->requests == 0)
        server.grants.erase(first);
    return end;
}

void ServerRateLimiter::giveBack(const ServerIncarnation& id, Instant end)
{
    if (m_limits.limitOf(id))
        m_servers[id].grants.push_back({ 1, end });
}

void ServerRateLimiter::addWaiting(const ServerIncarnation& id, unsigned rank, int change)
{
    auto& byRank = m_waiting[id];
    unsigned& count = byRank[rank];
    count = static_cast<unsigned>(static_cast<int>(count) + change);
    if (count == 0)
        byRank.erase(rank);
    if (byRank.empty())
        m_waiting.erase(id);
}

void ServerRateLimiter::noteDemand(const ServerIncarnation& id)
{
    ++m_servers[id].expected;
}

Instant ServerRateLimiter::expectedAdmission(const ServerIncarnation& id, unsigned rank, bool isWaiting, Instant now) const
{
    auto limit = m_limits.limitOf(id);
    if (!limit)
        return now;
    auto found = m_servers.find(id);
    unsigned waiting = isAlone(now) ? waitingUpTo(id, rank) : waitingEverywhere(id, rank);
    unsigned ahead = std::max(1U, waiting + (isWaiting ? 0 : 1));
    if (isAlone(now)) {
        Instant next = found != m_servers.end() && found->second.nextAlone ? *found->second.nextAlone : now;
        return std::max(now, next) + aloneInterval(*limit) * (ahead - 1);
    }
    return now + durationOf(ahead / std::max(*limit, m_options.minimumRate).perSecond);
}

bool ServerRateLimiter::areOthersWaiting(const ServerIncarnation& id, unsigned rank) const
{
    return waitingEverywhere(id, rank) > 1;
}

//==============================================================================
std::vector<RateDemand> ServerRateLimiter::takeDemands(Instant now)
{
    std::vector<RateDemand> all;
    for (const auto& [id, byRank] : m_waiting) {
        for (const auto& [rank, requests] : byRank)
            all.push_back({ id, rank, requests });
    }
    for (auto& [id, server] : m_servers) {
        unsigned expected = std::min(std::exchange(server.expected, 0), m_options.maximumExpectedDemand);
        unsigned held = granted(server, now);
        if (expected > held && m_limits.limitOf(id))
            all.push_back({ id, expectedDemandRank, expected - held });
    }
    return all;
}

void ServerRateLimiter::applyReply(const FollowReply& reply, Instant asked, Instant now)
{
    m_lastContact = now;
    m_hosts = reply.gateways;
    for (const RateLimitNotice& notice : reply.rateLimits)
        m_limits.note(notice);
    m_limits.expire(now);
    std::erase_if(m_servers, [&](const auto& item) { return !m_limits.limitOf(item.first); });
    for (auto& [id, server] : m_servers) {
        server.nextAlone.reset();
        server.waiting.clear();
        std::erase_if(server.grants, [&](const Grant& grant) { return now >= grant.end; });
    }
    for (const RateGrant& grant : reply.rateGrants) {
        if (!m_limits.limitOf(grant.server))
            continue;
        Server& server = m_servers[grant.server];
        server.waiting[grant.rank] = grant.waiting;
        // Counted from the question, so that it ends here before the leader grants the same part again.
        if (grant.requests > 0)
            server.grants.push_back({ grant.requests, asked + grant.remaining });
    }
}

//==============================================================================
/** The time between two requests of this host while all hosts are alone. */
Duration ServerRateLimiter::aloneInterval(RequestRate limit) const
{
    double rate = std::max(limit, m_options.minimumRate).perSecond * m_options.aloneShare;
    return durationOf((m_hosts > 0 ? m_hosts : m_options.assumedHosts) / rate);
}

unsigned ServerRateLimiter::granted(const Server& server, Instant now)
{
    unsigned sum = 0;
    for (const Grant& grant : server.grants)
        sum += now < grant.end ? grant.requests : 0;
    return sum;
}

/** Requests of this gateway that wait for the server, of ranks up to this one. */
unsigned ServerRateLimiter::waitingUpTo(const ServerIncarnation& id, unsigned rank) const
{
    auto found = m_waiting.find(id);
    unsigned sum = 0;
    if (found == m_waiting.end())
        return 0;
    for (const auto& [each, requests] : found->second)
        sum += each <= rank ? requests : 0;
    return sum;
}

/** The same of all hosts, as far as known here. */
unsigned ServerRateLimiter::waitingEverywhere(const ServerIncarnation& id, unsigned rank) const
{
    unsigned own = waitingUpTo(id, rank);
    auto found = m_servers.find(id);
    if (found == m_servers.end())
        return own;
    auto reported = found->second.waiting.lower_bound(rank);
    return reported == found->second.waiting.end() ? own : std::max(own, reported->second);
}

} // namespace hemlockchute
