#include "policy/FloorCreditTracker.h"

#include <algorithm>

namespace hemlockchute {
namespace {

constexpr Duration maximumCredit = 5s;
constexpr int wholePerMille = 1000;

} // namespace

void FloorCreditTracker::setRanks(const WaitingRequests& waiting)
{
    std::map<RankName, Duration> kept;
    for (const auto& [order, rank] : waiting.ranks()) {
        auto found = m_credit.find(rank.spec.name);
        kept[rank.spec.name] = found == m_credit.end() ? Duration::zero() : found->second;
    }
    m_credit = std::move(kept);
}

void FloorCreditTracker::charge(const RankName& served, Duration spent, Duration request, const WaitingRequests& waiting)
{
    for (const auto& [order, rank] : waiting.ranks()) {
        Duration& credit = m_credit[rank.spec.name];
        bool isServed = rank.spec.name == served;
        bool isWaiting = isServed || rank.waiting > 0;
        credit += spent * rank.spec.floorPerMille / wholePerMille;
        credit = std::min(credit, isWaiting ? maximumCredit : Duration::zero());
        if (isServed)
            credit = std::max(credit - spent, -request);
    }
}

void FloorCreditTracker::noteRankIdle(const RankName& rank)
{
    Duration& credit = m_credit[rank];
    credit = std::min(credit, Duration::zero());
}

bool FloorCreditTracker::isBelowFloor(const RankName& rank) const
{
    auto found = m_credit.find(rank);
    return found != m_credit.end() && found->second > Duration::zero();
}

std::vector<RankName> FloorCreditTracker::ranksBelowFloor() const
{
    std::vector<RankName> ranks;
    for (const auto& [name, credit] : m_credit) {
        if (credit > Duration::zero())
            ranks.push_back(name);
    }
    std::stable_sort(ranks.begin(), ranks.end(),
        [this](const RankName& a, const RankName& b) { return m_credit.at(a) > m_credit.at(b); });
    return ranks;
}

} // namespace hemlockchute
