#include "hemlockchute/fleet/RateGrantPool.h"

#include <algorithm>
#include <cmath>

namespace hemlockchute {
namespace {

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void RateGrantPool::setLimits(const std::vector<RateLimitNotice>& notices, Instant now)
{
    for (const RateLimitNotice& notice : notices) {
        Server& server = m_servers[notice.server];
        if (server.rate)
            available(server, now);
        else
            server.refilled = now;
        server.rate = notice.limit ? std::optional(std::max(*notice.limit, m_options.minimumRate)) : std::nullopt;
        server.unused = notice.limit ? server.unused : 0;
    }
    for (auto& [id, server] : m_servers) {
        bool isNamed = std::any_of(notices.begin(), notices.end(), [&, &id = id](const RateLimitNotice& notice) { return notice.server == id; });
        if (!isNamed)
            server.rate.reset();
    }
}

void RateGrantPool::deposit(const std::vector<RateGrant>& grants, Instant asked)
{
    for (auto& [id, server] : m_servers)
        server.waitingElsewhere.clear();
    for (const RateGrant& grant : grants) {
        Server& server = m_servers[grant.server];
        server.waitingElsewhere[grant.rank] = grant.waiting;
        if (grant.requests > 0)
            server.deposits.push_back({ grant.requests, asked + grant.remaining });
    }
}

std::vector<RateGrant> RateGrantPool::take(const HostName& host, std::vector<RateDemand> demands, Instant now)
{
    expire(now);
    for (auto& [id, server] : m_servers)
        server.demands.erase(host);
    std::sort(demands.begin(), demands.end(), [](const RateDemand& a, const RateDemand& b) { return a.rank < b.rank; });
    for (const RateDemand& demand : demands) {
        HostDemand& own = m_servers[demand.server].demands[host];
        own.at = now;
        own.requestsByRank[demand.rank] += demand.requests;
    }
    std::vector<RateGrant> grants;
    for (const RateDemand& demand : demands) {
        Server& server = m_servers[demand.server];
        unsigned free = available(server, now);
        unsigned reserved = demand.rank == 0 ? 0 : demanded(server, demand.rank - 1, &host, now);
        unsigned granted = std::min(demand.requests, free > reserved ? free - reserved : 0);
        Instant end = consume(server, granted, now);
        server.demands[host].requestsByRank[demand.rank] -= granted;
        grants.push_back({ demand.server, demand.rank, granted, end - now, waiting(server, demand.rank, now) });
    }
    for (const auto& [id, server] : m_servers) {
        unsigned all = waiting(server, leastUrgentWaitingRank, now);
        if (all > 0 && !server.demands.contains(host))
            grants.push_back({ id, leastUrgentWaitingRank, 0, Duration::zero(), all });
    }
    return grants;
}

/** Requests that wait for the server, of this rank or a more urgent one, at all hosts as far as known here. */
unsigned RateGrantPool::waiting(const Server& server, unsigned rank, Instant now) const
{
    auto elsewhere = server.waitingElsewhere.lower_bound(rank);
    return std::max(demanded(server, rank, nullptr, now), elsewhere == server.waitingElsewhere.end() ? 0 : elsewhere->second);
}

std::vector<RateDemand> RateGrantPool::unmetDemand(Instant now)
{
    expire(now);
    std::vector<RateDemand> all;
    for (auto& [id, server] : m_servers) {
        std::map<unsigned, unsigned> byRank;
        for (const auto& [host, demand] : server.demands) {
            for (const auto& [rank, requests] : demand.requestsByRank)
                byRank[rank] += requests;
        }
        unsigned free = available(server, now);
        for (const auto& [rank, requests] : byRank) {
            unsigned covered = std::min(free, requests);
            free -= covered;
            if (requests > covered)
                all.push_back({ id, rank, requests - covered });
        }
    }
    return all;
}

/** The requests that may be granted now. */
unsigned RateGrantPool::available(Server& server, Instant now) const
{
    if (!server.rate) {
        unsigned sum = 0;
        for (const Deposit& each : server.deposits)
            sum += each.requests;
        return sum;
    }
    double most = 1 + server.rate->perSecond * seconds(m_options.burst);
    server.unused = std::min(most, server.unused + server.rate->perSecond * seconds(now - server.refilled));
    server.refilled = now;
    return static_cast<unsigned>(server.unused);
}

/** Uses the deposits that end first; returns when the earliest of them ends. Precondition: so many are available. */
Instant RateGrantPool::consume(Server& server, unsigned requests, Instant now) const
{
    Instant end = now + m_options.grantLifetime;
    if (server.rate) {
        server.unused -= requests;
        return end;
    }
    std::sort(server.deposits.begin(), server.deposits.end(), [](const Deposit& a, const Deposit& b) { return a.end < b.end; });
    for (Deposit& each : server.deposits) {
        unsigned used = std::min(each.requests, requests);
        end = used > 0 ? std::min(end, each.end) : end;
        each.requests -= used;
        requests -= used;
    }
    std::erase_if(server.deposits, [](const Deposit& each) { return each.requests == 0; });
    return end;
}

/** The demand of all hosts but one, of ranks up to `mostRank`. */
unsigned RateGrantPool::demanded(const Server& server, unsigned mostRank, const HostName* except, Instant now) const
{
    unsigned sum = 0;
    for (const auto& [host, demand] : server.demands) {
        if ((except && host == *except) || now - demand.at > m_options.demandLifetime)
            continue;
        for (const auto& [rank, requests] : demand.requestsByRank)
            sum += rank <= mostRank ? requests : 0;
    }
    return sum;
}

void RateGrantPool::expire(Instant now)
{
    for (auto& [id, server] : m_servers) {
        std::erase_if(server.deposits, [&](const Deposit& each) { return now >= each.end; });
        std::erase_if(server.demands, [&](const auto& item) { return now - item.second.at > m_options.demandLifetime; });
    }
    std::erase_if(m_servers, [&](const auto& item) {
        const Server& server = item.second;
        return server.demands.empty() && server.deposits.empty() && server.waitingElsewhere.empty() && !server.rate;
    });
}

} // namespace hemlockchute
