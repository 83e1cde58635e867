#include "gateway/CoordinatorChoice.h"

#include "hemlockchute/core/Digest.h"
#include "hemlockchute/fleet/CoordinatorAddress.h"

#include <algorithm>

namespace hemlockchute {

CoordinatorChoice::CoordinatorChoice(HostName self, DataCentreName own, Options options)
    : m_self(std::move(self))
    , m_own(std::move(own))
    , m_options(options)
{
}

void CoordinatorChoice::add(const std::set<Endpoint>& coordinators)
{
    m_all.insert(coordinators.begin(), coordinators.end());
}

void CoordinatorChoice::takePlaces(const std::vector<CoordinatorPlace>& relays, const std::optional<Endpoint>& leader)
{
    m_uncertainSince.reset();
    m_relays.clear();
    for (const CoordinatorPlace& relay : relays) {
        Endpoint endpoint = endpointOf(relay.coordinator);
        m_relays.emplace(endpoint, relay.dataCentre);
        m_all.insert(endpoint);
    }
    m_leader = leader;
}

void CoordinatorChoice::noteFault(const Endpoint& coordinator, Instant now)
{
    std::erase_if(m_restsUntil, [&](const auto& item) { return item.second <= now; });
    m_restsUntil[coordinator] = now + m_options.rest;
}

/** A leader that was named just now is worth a try, even if it rested. */
bool CoordinatorChoice::noteUncertain(const Endpoint& coordinator, const std::optional<Endpoint>& leader, Instant now)
{
    auto relay = m_relays.find(coordinator);
    if (relay != m_relays.end() && relay->second == m_own) {
        m_uncertainSince = m_uncertainSince.value_or(now);
        if (now - *m_uncertainSince < m_options.relayPatience)
            return true;
    }
    noteFault(coordinator, now);
    if (leader == coordinator)
        m_restsUntil[coordinator] = now + m_options.leaderRest;
    if (leader && *leader != coordinator && leader != m_leader)
        m_restsUntil.erase(*leader);
    if (leader)
        m_leader = leader;
    return false;
}

Endpoint CoordinatorChoice::next(Instant now)
{
    if (auto relay = preferredRelay(true, now))
        return *relay;
    if (auto relay = preferredRelay(false, now))
        return *relay;
    if (m_leader && !isResting(*m_leader, now))
        return *m_leader;
    // Each gateway begins at another one, so that a restart of all does not begin at the same.
    auto at = m_last ? m_all.upper_bound(*m_last) : std::next(m_all.begin(), static_cast<std::ptrdiff_t>(Digest::of(m_self.text()).low() % m_all.size()));
    for (std::size_t i = 0; i < m_all.size(); ++i) {
        if (at == m_all.end())
            at = m_all.begin();
        if (!isResting(*at, now))
            break;
        ++at;
    }
    m_last = at == m_all.end() ? *m_all.begin() : *at;
    return *m_last;
}

bool CoordinatorChoice::isResting(const Endpoint& coordinator, Instant now) const
{
    auto found = m_restsUntil.find(coordinator);
    return found != m_restsUntil.end() && now < found->second;
}

/** The relay with the highest hash: each gateway has its own order of them, and only those of a relay that fails move. */
std::optional<Endpoint> CoordinatorChoice::preferredRelay(bool isOwnDataCentre, Instant now) const
{
    std::optional<Endpoint> best;
    std::uint64_t highest = 0;
    for (const auto& [relay, dataCentre] : m_relays) {
        if (isResting(relay, now) || (isOwnDataCentre && dataCentre != m_own))
            continue;
        std::uint64_t hash = Digest::of(m_self.text() + ' ' + formatEndpoint(relay)).low();
        if (!best || hash > highest) {
            best = relay;
            highest = hash;
        }
    }
    return best;
}

} // namespace hemlockchute
