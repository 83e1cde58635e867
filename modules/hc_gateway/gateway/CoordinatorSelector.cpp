#include "gateway/CoordinatorSelector.h"

#include "hemlockchute/core/Digest.h"
#include "hemlockchute/fleet/CoordinatorAddress.h"

#include <algorithm>

namespace hemlockchute {

CoordinatorSelector::CoordinatorSelector(HostName self, DataCentreName own, Options options)
    : m_self(std::move(self))
    , m_ownDataCentre(std::move(own))
    , m_options(options)
{
}

void CoordinatorSelector::add(const std::set<Endpoint>& coordinators)
{
    m_all.insert(coordinators.begin(), coordinators.end());
}

void CoordinatorSelector::setTopology(const std::vector<CoordinatorLocation>& relays, const std::optional<Endpoint>& leader)
{
    m_leaderlessSince.reset();
    m_relays.clear();
    for (const CoordinatorLocation& relay : relays) {
        Endpoint endpoint = endpointOf(relay.coordinator);
        m_relays.emplace(endpoint, relay.dataCentre);
        m_all.insert(endpoint);
    }
    m_leader = leader;
}

void CoordinatorSelector::noteFailure(const Endpoint& coordinator, Instant now)
{
    std::erase_if(m_backoffUntil, [&](const auto& item) { return item.second <= now; });
    m_backoffUntil[coordinator] = now + m_options.backoff;
}

/** A newly named leader is tried at once, even if it is backed off. */
bool CoordinatorSelector::noteNoLeader(const Endpoint& coordinator, const std::optional<Endpoint>& leader, Instant now)
{
    auto relay = m_relays.find(coordinator);
    if (relay != m_relays.end() && relay->second == m_ownDataCentre) {
        m_leaderlessSince = m_leaderlessSince.value_or(now);
        if (now - *m_leaderlessSince < m_options.relayElectionTimeout)
            return true;
    }
    noteFailure(coordinator, now);
    if (leader == coordinator)
        m_backoffUntil[coordinator] = now + m_options.leaderBackoff;
    if (leader && *leader != coordinator && leader != m_leader)
        m_backoffUntil.erase(*leader);
    if (leader)
        m_leader = leader;
    return false;
}

Endpoint CoordinatorSelector::next(Instant now)
{
    if (auto relay = preferredRelay(true, now))
        return *relay;
    if (auto relay = preferredRelay(false, now))
        return *relay;
    if (m_leader && !isBackedOff(*m_leader, now))
        return *m_leader;
    // A hash selects where each gateway starts, so that after a restart not all gateways poll the same coordinator.
    auto candidate = m_last ? m_all.upper_bound(*m_last) : std::next(m_all.begin(), static_cast<std::ptrdiff_t>(Digest::of(m_self.text()).low() % m_all.size()));
    for (std::size_t i = 0; i < m_all.size(); ++i) {
        if (candidate == m_all.end())
            candidate = m_all.begin();
        if (!isBackedOff(*candidate, now))
            break;
        ++candidate;
    }
    m_last = candidate == m_all.end() ? *m_all.begin() : *candidate;
    return *m_last;
}

bool CoordinatorSelector::isBackedOff(const Endpoint& coordinator, Instant now) const
{
    auto found = m_backoffUntil.find(coordinator);
    return found != m_backoffUntil.end() && now < found->second;
}

/** Rendezvous hashing: when a relay fails, only its own gateways move to others. */
std::optional<Endpoint> CoordinatorSelector::preferredRelay(bool isOwnDataCentre, Instant now) const
{
    std::optional<Endpoint> best;
    std::uint64_t highest = 0;
    for (const auto& [relay, dataCentre] : m_relays) {
        if (isBackedOff(relay, now) || (isOwnDataCentre && dataCentre != m_ownDataCentre))
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
