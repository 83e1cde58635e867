#include "policy/WaitingRequests.h"

#include <algorithm>
#include <cassert>

namespace hemlockchute {

void WaitingRequests::setRanks(const std::map<RankName, RankSpec>& ranks)
{
    m_ranks.clear();
    m_orders.clear();
    for (const auto& [name, spec] : ranks) {
        m_ranks[spec.order].spec = spec;
        m_orders[name] = spec.order;
    }
    for (const auto& [ticket, entry] : m_entries)
        index(entry);
}

void WaitingRequests::add(const QueuedRequest& request)
{
    m_lastArrival = m_lastArrival.next();
    auto [position, isNew] = m_entries.emplace(request.ticket, Entry { request, m_lastArrival });
    assert(isNew);
    if (!isNew)
        return;
    m_deadlines.emplace(request.deadline, request.ticket);
    index(position->second);
}

std::optional<QueuedRequest> WaitingRequests::remove(QueueTicket ticket)
{
    auto found = m_entries.find(ticket);
    if (found == m_entries.end())
        return std::nullopt;
    Entry entry = std::move(found->second);
    m_entries.erase(found);
    m_deadlines.erase({ entry.request.deadline, ticket });
    removeFromIndex(entry);
    return entry.request;
}

//==============================================================================
void WaitingRequests::index(const Entry& entry)
{
    const QueuedRequest& request = entry.request;
    auto order = m_orders.find(request.rank);
    assert(order != m_orders.end());
    Rank& rank = m_ranks.at(order->second);
    Flow& flow = rank.flows[request.model];
    flow.adapterQueues[request.adapter].emplace(entry.arrival, request.ticket);
    ++flow.waiting;
    ++rank.waiting;
    flow.cost += request.cost;
    rank.cost += request.cost;
}

void WaitingRequests::removeFromIndex(const Entry& entry)
{
    const QueuedRequest& request = entry.request;
    Rank& rank = m_ranks.at(m_orders.at(request.rank));
    auto flow = rank.flows.find(request.model);
    auto queue = flow->second.adapterQueues.find(request.adapter);
    queue->second.erase(entry.arrival);
    if (queue->second.empty())
        flow->second.adapterQueues.erase(queue);
    --flow->second.waiting;
    --rank.waiting;
    flow->second.cost -= request.cost;
    rank.cost -= request.cost;
    if (flow->second.waiting == 0)
        rank.flows.erase(flow);
}

const QueuedRequest& WaitingRequests::request(QueueTicket ticket) const
{
    return m_entries.at(ticket).request;
}

//==============================================================================
const WaitingRequests::Rank* WaitingRequests::rank(const RankName& name) const
{
    auto order = m_orders.find(name);
    return order == m_orders.end() ? nullptr : &m_ranks.at(order->second);
}

std::vector<QueueTicket> WaitingRequests::ticketsOutside(const std::map<RankName, RankSpec>& ranks) const
{
    std::vector<QueueTicket> tickets;
    for (const auto& [ticket, entry] : m_entries) {
        if (!ranks.contains(entry.request.rank))
            tickets.push_back(ticket);
    }
    std::sort(tickets.begin(), tickets.end());
    return tickets;
}

WaitingRequests::Candidate WaitingRequests::firstServable(const Flow& flow, const CanServe& canServe) const
{
    Candidate best;
    for (const auto& [adapter, queue] : flow.adapterQueues) {
        const auto& [arrival, ticket] = *queue.begin();
        if (best.request && best.arrival < arrival)
            continue;
        const QueuedRequest& head = request(ticket);
        if (canServe(head))
            best = { arrival, &head };
    }
    return best;
}

Instant WaitingRequests::headDeadline(const Flow& flow) const
{
    Instant earliest = Instant::max();
    for (const auto& [adapter, queue] : flow.adapterQueues)
        earliest = std::min(earliest, request(queue.begin()->second).deadline);
    return earliest;
}

std::optional<Instant> WaitingRequests::nextDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

std::vector<QueueTicket> WaitingRequests::expired(Instant now) const
{
    std::vector<QueueTicket> tickets;
    for (const auto& [deadline, ticket] : m_deadlines) {
        if (deadline > now)
            break;
        tickets.push_back(ticket);
    }
    return tickets;
}

std::vector<WaitingModel> WaitingRequests::models() const
{
    std::map<ModelName, WaitingModel> found;
    for (const auto& [order, rank] : m_ranks) {
        for (const auto& [name, flow] : rank.flows) {
            auto [position, isNew] = found.emplace(name, WaitingModel { name, 0, order, Instant::max() });
            WaitingModel& model = position->second;
            model.waiting += flow.waiting;
            for (const auto& [adapter, queue] : flow.adapterQueues)
                model.oldestArrival = std::min(model.oldestArrival, request(queue.begin()->second).arrival);
        }
    }
    std::vector<WaitingModel> models;
    models.reserve(found.size());
    for (auto& [name, model] : found)
        models.push_back(std::move(model));
    return models;
}

} // namespace hemlockchute
