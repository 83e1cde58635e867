#include "policy/RankFairOrder.h"

#include <algorithm>

namespace hemlockchute {
namespace {

constexpr int wholePerMille = 1000;
/** A quarter of a rank's queue capacity is reserved for models with few waiting requests. */
constexpr std::size_t reservedCapacityDivisor = 4;

/** Service time spent within the rank before a new request, when its models share service time equally. */
Duration costAheadInRank(const WaitingRequests::Rank& rank, const QueuedRequest& request)
{
    auto own = rank.flows.find(request.model);
    Duration ownCost = own == rank.flows.end() ? Duration::zero() : own->second.cost;
    Duration ahead = ownCost;
    for (const auto& [model, flow] : rank.flows) {
        if (model != request.model)
            ahead += std::min(flow.cost, ownCost + request.cost);
    }
    return ahead;
}

} // namespace

void RankFairOrder::noteRanks(const WaitingRequests& waiting)
{
    m_floors.setRanks(waiting);
    std::erase_if(m_fairQueues, [&](const auto& entry) { return !waiting.rank(entry.first); });
}

void RankFairOrder::noteAdded(const QueuedRequest& request, const WaitingRequests& waiting)
{
    const WaitingRequests::Flow& flow = waiting.rank(request.rank)->flows.at(request.model);
    m_fairQueues[request.rank].setWaiting(request.model, waiting.headDeadline(flow));
}

void RankFairOrder::noteRemoved(const QueuedRequest& request, const WaitingRequests& waiting)
{
    const WaitingRequests::Rank* rank = waiting.rank(request.rank);
    auto flow = rank->flows.find(request.model);
    StartTimeFairQueue& flows = m_fairQueues[request.rank];
    if (flow == rank->flows.end())
        flows.setIdle(request.model);
    else
        flows.setWaiting(request.model, waiting.headDeadline(flow->second));
    if (rank->waiting == 0)
        m_floors.noteRankIdle(request.rank);
}

void RankFairOrder::noteServed(const QueuedRequest& request, const WaitingRequests& waiting)
{
    m_fairQueues[request.rank].noteServed(request.model, request.cost);
    m_floors.charge(request.rank, request.cost, request.cost, waiting);
}

void RankFairOrder::noteCostChange(const QueuedRequest& request, Duration difference, const WaitingRequests& waiting)
{
    m_fairQueues[request.rank].adjust(request.model, difference);
    m_floors.charge(request.rank, difference, request.cost + std::max(difference, Duration::zero()), waiting);
}

//==============================================================================
std::optional<QueueTicket> RankFairOrder::choose(const WaitingRequests& waiting, const CanServe& canServe) const
{
    for (const RankName& name : m_floors.ranksBelowFloor()) {
        if (auto ticket = chooseInRank(waiting, *waiting.rank(name), canServe))
            return ticket;
    }
    for (const auto& [order, rank] : waiting.ranks()) {
        if (auto ticket = chooseInRank(waiting, rank, canServe))
            return ticket;
    }
    return std::nullopt;
}

std::optional<QueueTicket> RankFairOrder::chooseInRank(const WaitingRequests& waiting, const WaitingRequests::Rank& rank, const CanServe& canServe) const
{
    auto flows = m_fairQueues.find(rank.spec.name);
    if (flows == m_fairQueues.end() || rank.waiting == 0)
        return std::nullopt;
    std::optional<QueueTicket> chosen;
    flows->second.visit([&](const ModelName& model) {
        if (auto candidate = waiting.firstServable(rank.flows.at(model), canServe); candidate.request)
            chosen = candidate.request->ticket;
        return chosen.has_value();
    });
    return chosen;
}

Duration RankFairOrder::costAhead(const QueuedRequest& request, const WaitingRequests& waiting) const
{
    const WaitingRequests::Rank* own = waiting.rank(request.rank);
    if (!own)
        return Duration::zero();
    Duration inRank = costAheadInRank(*own, request);
    Duration moreUrgent {};
    Duration lessUrgent {};
    unsigned floorsBelow = 0;
    for (const auto& [order, rank] : waiting.ranks()) {
        if (order < own->spec.order)
            moreUrgent += rank.cost;
        if (order > own->spec.order && rank.waiting > 0) {
            lessUrgent += rank.cost;
            floorsBelow += rank.spec.floorPerMille;
        }
    }
    // Less urgent ranks receive their floors while this request waits.
    Duration ahead = moreUrgent + inRank;
    if (floorsBelow < wholePerMille)
        ahead += std::min(lessUrgent, ahead * floorsBelow / (wholePerMille - floorsBelow));
    if (own->spec.floorPerMille == 0)
        return ahead;
    return std::min(ahead, inRank * wholePerMille / own->spec.floorPerMille);
}

bool RankFairOrder::hasRoom(const QueuedRequest& request, const WaitingRequests& waiting, std::size_t maximumWaiting) const
{
    const WaitingRequests::Rank& rank = *waiting.rank(request.rank);
    std::size_t capacity = std::max<std::size_t>(1, maximumWaiting / waiting.ranks().size());
    std::size_t reserved = capacity / reservedCapacityDivisor;
    if (rank.waiting < capacity - reserved)
        return true;
    if (rank.waiting >= capacity)
        return false;
    auto flow = rank.flows.find(request.model);
    std::size_t flowWaiting = flow == rank.flows.end() ? 0 : flow->second.waiting;
    return flowWaiting * rank.flows.size() < reserved;
}

} // namespace hemlockchute
