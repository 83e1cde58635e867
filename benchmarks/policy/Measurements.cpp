#include "policy/Measurements.h"

#include <algorithm>

namespace hemlockchute::experiment {
namespace {

double ratio(double part, double whole)
{
    return whole == 0 ? 1.0 : part / whole;
}

} // namespace

Measurements::Measurements(const Document& document)
{
    for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
        const RankSpec& spec = document.ranks.at(rankNames[rank]);
        m_ranks.at(rank).floorPerMille = spec.floorPerMille;
        m_ranks.at(rank).target = spec.firstTokenTarget;
        m_ranks.at(rank).longestWait = spec.longestWait;
    }
}

bool Measurements::isMeasured(const Arrival& arrival)
{
    return arrival.when >= warmUp;
}

bool Measurements::isDuringDisturbance(Duration when)
{
    return when >= disturbanceStart && when < disturbanceEnd;
}

void Measurements::recordRequest(const Arrival& arrival, bool wasCold, bool isWithinTarget)
{
    RankCounts& rank = m_ranks.at(arrival.rank);
    for (std::size_t period : { 0, 1 }) {
        if (period == 1 && !isDuringDisturbance(arrival.when))
            continue;
        ++rank.requests.at(period);
        rank.withinTarget.at(period) += isWithinTarget ? 1 : 0;
        rank.warm.at(period) += wasCold ? 0 : 1;
        rank.warmWithinTarget.at(period) += !wasCold && isWithinTarget ? 1 : 0;
    }
    if (isDuringDisturbance(arrival.when))
        rank.offeredDuringDisturbance += arrival.serviceTime;
}

void Measurements::recordFirstToken(const Arrival& arrival, bool wasCold, Duration wait)
{
    if (!isMeasured(arrival))
        return;
    ++m_served;
    recordRequest(arrival, wasCold, wait <= m_ranks.at(arrival.rank).target);
    if (wasCold)
        m_coldStarts.push_back(wait);
}

void Measurements::recordRefusal(const Arrival& arrival, bool wasCold)
{
    if (!isMeasured(arrival))
        return;
    recordRequest(arrival, wasCold, false);
    // A refused cold start counts with the longest wait of its rank, so that early refusals do not improve the quantiles.
    if (wasCold)
        m_coldStarts.push_back(m_ranks.at(arrival.rank).longestWait);
}

void Measurements::recordService(const Arrival& arrival, Duration startTime)
{
    if (isDuringDisturbance(startTime))
        m_ranks.at(arrival.rank).servedDuringDisturbance += arrival.serviceTime;
}

void Measurements::merge(const Measurements& other)
{
    for (std::size_t index = 0; index < m_ranks.size(); ++index) {
        RankCounts& into = m_ranks.at(index);
        const RankCounts& from = other.m_ranks.at(index);
        for (std::size_t period : { 0, 1 }) {
            into.requests.at(period) += from.requests.at(period);
            into.withinTarget.at(period) += from.withinTarget.at(period);
            into.warm.at(period) += from.warm.at(period);
            into.warmWithinTarget.at(period) += from.warmWithinTarget.at(period);
        }
        into.offeredDuringDisturbance += from.offeredDuringDisturbance;
        into.servedDuringDisturbance += from.servedDuringDisturbance;
    }
    m_coldStarts.insert(m_coldStarts.end(), other.m_coldStarts.begin(), other.m_coldStarts.end());
    m_loads += other.m_loads;
    m_storeLoads += other.m_storeLoads;
    m_served += other.m_served;
    m_idleAcceleratorHours += other.m_idleAcceleratorHours;
}

//==============================================================================
double Measurements::coldStartSeconds(double quantile) const
{
    if (m_coldStarts.empty())
        return 0;
    std::vector<Duration> sorted = m_coldStarts;
    auto index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index), sorted.end());
    return std::chrono::duration<double>(sorted[index]).count();
}

double Measurements::withinTarget(unsigned rank, bool duringDisturbance) const
{
    const RankCounts& counts = m_ranks.at(rank);
    std::size_t period = duringDisturbance ? 1 : 0;
    return ratio(static_cast<double>(counts.withinTarget.at(period)), static_cast<double>(counts.requests.at(period)));
}

double Measurements::withinTargetWarm(unsigned rank, bool duringDisturbance) const
{
    const RankCounts& counts = m_ranks.at(rank);
    std::size_t period = duringDisturbance ? 1 : 0;
    return ratio(static_cast<double>(counts.warmWithinTarget.at(period)), static_cast<double>(counts.warm.at(period)));
}

double Measurements::floorFraction(unsigned rank) const
{
    Duration all {};
    for (const RankCounts& counts : m_ranks)
        all += counts.servedDuringDisturbance;
    const RankCounts& counts = m_ranks.at(rank);
    Duration entitled = std::min(all * counts.floorPerMille / 1000, counts.offeredDuringDisturbance);
    return ratio(static_cast<double>(counts.servedDuringDisturbance.count()), static_cast<double>(entitled.count()));
}

double Measurements::storeShare() const
{
    return static_cast<double>(m_storeLoads) / static_cast<double>(std::max<std::size_t>(1, m_loads));
}

double Measurements::loadsPerRequest() const
{
    return static_cast<double>(m_loads) / static_cast<double>(std::max<std::size_t>(1, m_served));
}

} // namespace hemlockchute::experiment
