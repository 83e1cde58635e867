#pragma once

#include "policy/QueueOrder.h"

namespace hemlockchute {

/** First come, first served, regardless of rank. Requests that cannot be served now are passed over. @see PriorityOrder */
class ArrivalOrder : public QueueOrder {
public:
    std::optional<QueueTicket> choose(const WaitingRequests&, const CanServe&) const override;
    Duration costAhead(const QueuedRequest&, const WaitingRequests&) const override;
};

/** Strict priority by rank, without floors; first come, first served within a rank. @see ArrivalOrder */
class PriorityOrder : public QueueOrder {
public:
    std::optional<QueueTicket> choose(const WaitingRequests&, const CanServe&) const override;
    Duration costAhead(const QueuedRequest&, const WaitingRequests&) const override;
};

} // namespace hemlockchute
