#include "controller/FleetShares.h"

#include <algorithm>

namespace hemlockchute {
namespace {

constexpr std::uint64_t perMille = 1000;
constexpr std::size_t limitCount = 3;
/** Numbers of reports within one term; a term's are all above those of the term before. */
constexpr unsigned reportNumberBits = 32;

RateShare::Options options(FencingNumber fencing, std::uint64_t granularity)
{
    return RateShare::Options().withGranularity(granularity).withReportsAfter(ShareReportNumber(fencing.value() << reportNumberBits));
}

} // namespace

FleetShares::FleetShares(DataCentreName self, std::vector<DataCentreName> dataCentres, FencingNumber fencing, const FleetLimits& limits)
    : m_storeRate(limits.storeLoadsPerSecondPerMille, self, dataCentres, options(fencing, 1))
    , m_storeAtOnce(limits.storeLoadsAtOnce * perMille, self, dataCentres, options(fencing, perMille))
    , m_adapters(limits.adaptersInFlight * perMille, self, dataCentres, options(fencing, perMille))
    , m_credit(perMille)
{
}

void FleetShares::setLimits(const FleetLimits& limits)
{
    m_storeRate.setLimit(limits.storeLoadsPerSecondPerMille);
    m_storeAtOnce.setLimit(limits.storeLoadsAtOnce * perMille);
    m_adapters.setLimit(limits.adaptersInFlight * perMille);
}

void FleetShares::setDemand(unsigned storeLoads, unsigned adapterLoads)
{
    m_storeRate.setDemand(storeLoads);
    m_storeAtOnce.setDemand(storeLoads);
    m_adapters.setDemand(adapterLoads);
}

void FleetShares::receive(const DataCentreName& from, const std::vector<ShareReport>& reports, Instant now)
{
    if (reports.size() != limitCount)
        return;
    m_storeRate.receive(from, reports[0], now);
    m_storeAtOnce.receive(from, reports[1], now);
    m_adapters.receive(from, reports[2], now);
}

std::vector<ShareReport> FleetShares::report(const DataCentreName& to, Instant now)
{
    return { m_storeRate.report(to, now), m_storeAtOnce.report(to, now), m_adapters.report(to, now) };
}

unsigned FleetShares::storeLoadsAllowed(unsigned inFlight, Instant now)
{
    refill(now);
    auto atOnce = static_cast<unsigned>(m_storeAtOnce.allowed(now) / perMille);
    auto byRate = static_cast<unsigned>(m_credit / perMille);
    return std::min(byRate, atOnce > inFlight ? atOnce - inFlight : 0);
}

void FleetShares::noteStoreLoad()
{
    m_credit = std::max(0.0, m_credit - perMille);
}

unsigned FleetShares::adapterLoadsAllowed(unsigned inFlight, Instant now) const
{
    auto allowed = static_cast<unsigned>(m_adapters.allowed(now) / perMille);
    return allowed > inFlight ? allowed - inFlight : 0;
}

/** The credit never passes one second's worth, or one load where that is more. */
void FleetShares::refill(Instant now)
{
    auto rate = static_cast<double>(m_storeRate.allowed(now));
    if (m_refilledAt != Instant {})
        m_credit += rate * std::chrono::duration<double>(now - m_refilledAt).count();
    m_credit = std::min(m_credit, std::max<double>(rate, perMille));
    m_refilledAt = now;
}

} // namespace hemlockchute
