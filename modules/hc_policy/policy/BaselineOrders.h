#pragma once

#include "policy/QueueOrder.h"

namespace hemlockchute {

/** First come, first served, whatever the rank. Models that cannot be served are passed over. @see PriorityOrder */
class ArrivalOrder : public QueueOrder {
public:
    std::optional<QueueTicket> choose(const WaitingRequests&, const CanServe&) const override;
    Duration costAhead(const QueuedRequest&, const WaitingRequests&) const override;
};

/** The most urgent rank first, without floors; first come, first served inside a rank. @see ArrivalOrder */
class PriorityOrder : public QueueOrder {
public:
    std::optional<QueueTicket> choose(const WaitingRequests&, const CanServe&) const override;
    Duration costAhead(const QueuedRequest&, const WaitingRequests&) const override;
};

} // namespace hemlockchute
