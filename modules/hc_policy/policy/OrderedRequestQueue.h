#pragma once

#include "policy/QueueOrder.h"

namespace hemlockchute {

//==============================================================================
/**
    A request queue with bounded depth, admission control and deadlines. A QueueOrder decides the
    order of service.

    Thread safety: one thread at a time.

    @see RequestQueue, QueueOrder
*/
class OrderedRequestQueue : public RequestQueue {
public:
    /** Precondition: the order is not null. */
    OrderedRequestQueue(std::unique_ptr<QueueOrder>, RequestQueueOptions);

    std::vector<Refusal> setRanks(const std::map<RankName, RankSpec>&) override;
    std::optional<Refusal> add(const QueuedRequest&, Instant now) override;
    std::optional<QueuedRequest> take(const CanServe&, Instant now) override;
    void charge(const QueuedRequest&, Duration cost, Instant now) override;
    std::vector<Refusal> expire(Instant now) override;
    bool remove(QueueTicket) override;
    void setParallelism(unsigned) override;

    //==============================================================================
    bool isBelowFloor(const RankName& rank) const override { return m_order->isBelowFloor(rank); }
    std::size_t size() const override { return m_waiting.size(); }
    std::optional<Instant> nextDeadline() const override { return m_waiting.nextDeadline(); }
    std::vector<WaitingModel> waitingModels() const override { return m_waiting.models(); }

private:
    std::optional<QueuedRequest> removeWaiting(QueueTicket);
    Duration estimatedWait(const QueuedRequest&) const;
    Refusal refuse(const QueuedRequest&, RefusalReason, Duration retryAfter) const;

    std::unique_ptr<QueueOrder> m_order;
    RequestQueueOptions m_options;
    WaitingRequests m_waiting;
};

} // namespace hemlockchute
