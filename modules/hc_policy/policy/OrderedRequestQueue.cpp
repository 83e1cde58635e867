#include "policy/OrderedRequestQueue.h"

#include <algorithm>
#include <cassert>

namespace hemlockchute {
namespace {

constexpr Duration shortestRetryAfter = 1s;
constexpr Duration longestRetryAfter = 60s;
constexpr Duration minimumCost = 1us;

} // namespace

OrderedRequestQueue::OrderedRequestQueue(std::unique_ptr<QueueOrder> order, RequestQueueOptions options)
    : m_order(std::move(order))
    , m_options(options)
{
    assert(m_order);
}

std::vector<Refusal> OrderedRequestQueue::setRanks(const std::map<RankName, RankSpec>& ranks)
{
    std::vector<Refusal> refusals;
    for (QueueTicket ticket : m_waiting.ticketsOutside(ranks)) {
        if (std::optional<QueuedRequest> request = removeWaiting(ticket))
            refusals.push_back(refuse(*request, RefusalReason::UnknownRank, shortestRetryAfter));
    }
    m_waiting.setRanks(ranks);
    m_order->noteRanks(m_waiting);
    return refusals;
}

std::optional<Refusal> OrderedRequestQueue::add(const QueuedRequest& request, Instant now)
{
    if (!m_waiting.rank(request.rank))
        return refuse(request, RefusalReason::UnknownRank, shortestRetryAfter);
    if (request.deadline <= now)
        return refuse(request, RefusalReason::DeadlinePassed, estimatedWait(request));
    if (!m_order->hasRoom(request, m_waiting, m_options.maximumWaiting))
        return refuse(request, RefusalReason::QueueFull, estimatedWait(request));
    Duration wait = std::max(estimatedWait(request), request.readyIn);
    Duration timeLeft = request.deadline - now;
    if (wait > timeLeft)
        return refuse(request, RefusalReason::WouldMissDeadline, wait - timeLeft);

    QueuedRequest accepted = request;
    accepted.cost = std::max(request.cost, minimumCost);
    m_waiting.add(accepted);
    m_order->noteAdded(accepted, m_waiting);
    return std::nullopt;
}

std::optional<QueuedRequest> OrderedRequestQueue::take(const CanServe& canServe, Instant now)
{
    CanServe isInTime = [&](const QueuedRequest& request) { return request.deadline > now && canServe(request); };
    std::optional<QueueTicket> ticket = m_order->choose(m_waiting, isInTime);
    if (!ticket)
        return std::nullopt;
    std::optional<QueuedRequest> request = m_waiting.remove(*ticket);
    m_order->noteServed(*request, m_waiting);
    m_order->noteRemoved(*request, m_waiting);
    return request;
}

void OrderedRequestQueue::charge(const QueuedRequest& request, Duration cost, Instant)
{
    if (m_waiting.rank(request.rank))
        m_order->noteCostChange(request, cost - request.cost, m_waiting);
}

std::vector<Refusal> OrderedRequestQueue::expire(Instant now)
{
    std::vector<Refusal> refusals;
    for (QueueTicket ticket : m_waiting.expired(now)) {
        if (std::optional<QueuedRequest> request = removeWaiting(ticket))
            refusals.push_back(refuse(*request, RefusalReason::DeadlinePassed, estimatedWait(*request)));
    }
    return refusals;
}

bool OrderedRequestQueue::remove(QueueTicket ticket)
{
    return removeWaiting(ticket).has_value();
}

void OrderedRequestQueue::setParallelism(unsigned parallelism)
{
    m_options.parallelism = parallelism;
}

//==============================================================================
std::optional<QueuedRequest> OrderedRequestQueue::removeWaiting(QueueTicket ticket)
{
    std::optional<QueuedRequest> request = m_waiting.remove(ticket);
    if (request)
        m_order->noteRemoved(*request, m_waiting);
    return request;
}

Duration OrderedRequestQueue::estimatedWait(const QueuedRequest& request) const
{
    if (m_options.parallelism == 0)
        return Duration::zero();
    return m_order->costAhead(request, m_waiting) / m_options.parallelism;
}

Refusal OrderedRequestQueue::refuse(const QueuedRequest& request, RefusalReason reason, Duration retryAfter) const
{
    return { request.ticket, reason, std::clamp(retryAfter, shortestRetryAfter, longestRetryAfter) };
}

} // namespace hemlockchute
