#include "policy/BaselineOrders.h"

namespace hemlockchute {
namespace {

using Candidate = WaitingRequests::Candidate;

void takeEarlier(Candidate& best, const Candidate& other)
{
    if (other.request && (!best.request || other.arrival < best.arrival))
        best = other;
}

Candidate earliest(const WaitingRequests& waiting, const WaitingRequests::Rank& rank, const CanServe& canServe)
{
    Candidate best;
    for (const auto& [model, flow] : rank.flows)
        takeEarlier(best, waiting.firstServable(flow, canServe));
    return best;
}

std::optional<QueueTicket> ticketOf(const Candidate& candidate)
{
    if (!candidate.request)
        return std::nullopt;
    return candidate.request->ticket;
}

} // namespace

std::optional<QueueTicket> ArrivalOrder::choose(const WaitingRequests& waiting, const CanServe& canServe) const
{
    Candidate best;
    for (const auto& [order, rank] : waiting.ranks())
        takeEarlier(best, earliest(waiting, rank, canServe));
    return ticketOf(best);
}

Duration ArrivalOrder::costAhead(const QueuedRequest&, const WaitingRequests& waiting) const
{
    Duration cost {};
    for (const auto& [order, rank] : waiting.ranks())
        cost += rank.cost;
    return cost;
}

//==============================================================================
std::optional<QueueTicket> PriorityOrder::choose(const WaitingRequests& waiting, const CanServe& canServe) const
{
    for (const auto& [order, rank] : waiting.ranks()) {
        Candidate best = earliest(waiting, rank, canServe);
        if (best.request)
            return best.request->ticket;
    }
    return std::nullopt;
}

Duration PriorityOrder::costAhead(const QueuedRequest& request, const WaitingRequests& waiting) const
{
    Duration cost {};
    for (const auto& [order, rank] : waiting.ranks()) {
        cost += rank.cost;
        if (rank.spec.name == request.rank)
            break;
    }
    return cost;
}

} // namespace hemlockchute
