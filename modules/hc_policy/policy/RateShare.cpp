#include "hemlockchute/policy/RateShare.h"

#include <algorithm>
#include <cassert>

namespace hemlockchute {
namespace {

constexpr std::uint64_t wholePerMille = 1000;
/** Sent reports that an acknowledgement can still refer to, per peer. */
constexpr std::size_t maximumRememberedReports = 32;

} // namespace

RateShare::Options RateShare::Options::withGranularity(std::uint64_t value) const
{
    Options copy = *this;
    copy.granularity = value;
    return copy;
}

RateShare::Options RateShare::Options::withLease(Duration value) const
{
    Options copy = *this;
    copy.lease = value;
    return copy;
}

RateShare::Options RateShare::Options::withReportsAfter(ShareReportNumber value) const
{
    Options copy = *this;
    copy.reportsAfter = value;
    return copy;
}

RateShare::RateShare(std::uint64_t limit, DataCentreName self, std::vector<DataCentreName> dataCentres)
    : RateShare(limit, std::move(self), std::move(dataCentres), Options())
{
}

RateShare::RateShare(std::uint64_t limit, DataCentreName self, std::vector<DataCentreName> dataCentres, Options options)
    : m_limit(limit)
    , m_self(std::move(self))
    , m_dataCentres(std::move(dataCentres))
    , m_options(options)
    , m_lastSent(options.reportsAfter)
{
    std::sort(m_dataCentres.begin(), m_dataCentres.end());
    assert(std::binary_search(m_dataCentres.begin(), m_dataCentres.end(), m_self));
    assert(options.granularity > 0);
    for (const DataCentreName& dataCentre : m_dataCentres) {
        if (dataCentre != m_self)
            m_peers[dataCentre];
    }
}

//==============================================================================
std::uint64_t RateShare::guaranteed() const
{
    return share() - lendable();
}

std::uint64_t RateShare::allowed(Instant now) const
{
    std::uint64_t sum = guaranteed();
    if (!mayHavePredecessorLoans(now)) {
        std::uint64_t lent = totalLent(now);
        sum = share() > lent ? share() - lent : 0;
    }
    for (const auto& [name, peer] : m_peers) {
        if (now < peer.borrowed.until)
            sum += peer.borrowed.amount;
    }
    return sum;
}

void RateShare::setDemand(unsigned demand)
{
    m_demand = demand;
}

void RateShare::setLimit(std::uint64_t limit)
{
    m_limit = limit;
}

void RateShare::receive(const DataCentreName& from, ShareReport report, Instant now)
{
    auto found = m_peers.find(from);
    if (found == m_peers.end())
        return;
    m_firstExchange = m_firstExchange.value_or(now);
    Peer& peer = found->second;
    if (report.number <= peer.lastReceived)
        return;
    peer.lastReceived = report.number;
    peer.receivedAt = now;
    peer.demand = report.demand;
    auto answered = std::find_if(peer.sent.begin(), peer.sent.end(), [&](const auto& sent) { return sent.first == report.acknowledges; });
    if (answered == peer.sent.end())
        return;
    Duration usable = m_options.lease - m_options.lease * m_options.driftPerMille / wholePerMille;
    peer.borrowed = { report.lent, answered->second + usable };
}

ShareReport RateShare::report(const DataCentreName& to, Instant now)
{
    auto found = m_peers.find(to);
    assert(found != m_peers.end());
    m_firstExchange = m_firstExchange.value_or(now);
    Peer& peer = found->second;
    m_lastSent = m_lastSent.next();
    peer.sent.emplace_back(m_lastSent, now);
    if (peer.sent.size() > maximumRememberedReports)
        peer.sent.pop_front();

    ShareReport report;
    report.demand = m_demand;
    report.number = m_lastSent;
    report.acknowledges = peer.lastReceived;
    Instant loanEnd = peer.receivedAt + m_options.lease;
    if (!report.acknowledges.isNone() && now < loanEnd) {
        report.lent = amountToLend(peer, now);
        recordLoan(peer, { report.lent, loanEnd }, now);
    }
    report.allowed = allowed(now);
    return report;
}

//==============================================================================
std::uint64_t RateShare::share() const
{
    std::uint64_t parts = m_limit / m_options.granularity;
    std::uint64_t count = m_dataCentres.size();
    auto position = static_cast<std::uint64_t>(std::lower_bound(m_dataCentres.begin(), m_dataCentres.end(), m_self) - m_dataCentres.begin());
    std::uint64_t own = parts / count + (position < parts % count ? 1 : 0);
    return own * m_options.granularity;
}

std::uint64_t RateShare::lendable() const
{
    return share() / m_options.granularity / 2 * m_options.granularity;
}

bool RateShare::mayHavePredecessorLoans(Instant now) const
{
    return !m_firstExchange || now < *m_firstExchange + m_options.lease;
}

std::uint64_t RateShare::lentTo(const Peer& peer, Instant now) const
{
    for (const Loan& loan : peer.lent) {
        if (now < loan.until)
            return loan.amount;
    }
    return 0;
}

std::uint64_t RateShare::totalLent(Instant now) const
{
    std::uint64_t sum = 0;
    for (const auto& [name, peer] : m_peers)
        sum += lentTo(peer, now);
    return sum;
}

std::uint64_t RateShare::unmetDemand(const Peer& peer) const
{
    std::uint64_t wanted = peer.demand * wholePerMille;
    return wanted > share() ? wanted - share() : 0;
}

std::uint64_t RateShare::amountToLend(const Peer& peer, Instant now) const
{
    std::uint64_t totalUnmet = 0;
    for (const auto& [name, other] : m_peers)
        totalUnmet += unmetDemand(other);
    if (totalUnmet == 0 || mayHavePredecessorLoans(now))
        return 0;
    std::uint64_t wanted = m_demand * wholePerMille;
    std::uint64_t spare = std::min(share() > wanted ? share() - wanted : 0, lendable());
    std::uint64_t fair = spare * unmetDemand(peer) / totalUnmet;
    std::uint64_t lentElsewhere = totalLent(now) - lentTo(peer, now);
    std::uint64_t free = lendable() > lentElsewhere ? lendable() - lentElsewhere : 0;
    return std::min(fair, free) / m_options.granularity * m_options.granularity;
}

void RateShare::recordLoan(Peer& peer, Loan loan, Instant now)
{
    while (!peer.lent.empty() && peer.lent.front().until <= now)
        peer.lent.pop_front();
    while (!peer.lent.empty() && peer.lent.back().amount <= loan.amount)
        peer.lent.pop_back();
    peer.lent.push_back(loan);
}

} // namespace hemlockchute
