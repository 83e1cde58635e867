#pragma once

#include "policy/WaitingRequests.h"

#include <memory>
#include <string_view>

namespace hemlockchute {

//==============================================================================
/**
    The order in which waiting requests are served; each queue strategy implements one.

    Thread safety: one thread at a time.

    @see OrderedRequestQueue, ArrivalOrder, PriorityOrder, RankFairOrder
*/
class QueueOrder {
public:
    virtual ~QueueOrder() = default;

    /** Called after the ranks changed, and after requests of removed ranks were taken out. */
    virtual void noteRanks(const WaitingRequests&) { }
    /** Called after a request was added. */
    virtual void noteAdded(const QueuedRequest&, const WaitingRequests&) { }
    /** Called after a request was removed, whether or not it is served. */
    virtual void noteRemoved(const QueuedRequest&, const WaitingRequests&) { }
    /** Called when a request is taken to be served, before noteRemoved(). */
    virtual void noteServed(const QueuedRequest&, const WaitingRequests&) { }
    /** Called when the actual cost of a served request is known, with its difference to the expected cost. */
    virtual void noteCostChange(const QueuedRequest&, Duration, const WaitingRequests&) { }

    //==============================================================================
    /** The request to serve next, or nothing when none can be served. */
    virtual std::optional<QueueTicket> choose(const WaitingRequests&, const CanServe&) const = 0;
    /** True when the rank has received less service than its floor. */
    virtual bool isBelowFloor(const RankName&) const { return false; }
    /** The expected service time of the requests that would be served before a new request. */
    virtual Duration costAhead(const QueuedRequest&, const WaitingRequests&) const = 0;
    /** True when a new request would be within the maximum queue depth. */
    virtual bool hasRoom(const QueuedRequest&, const WaitingRequests& waiting, std::size_t maximumWaiting) const
    {
        return waiting.size() < maximumWaiting;
    }
};

/** Creates the order for a strategy; null for an unknown name. Thread safety: any thread. */
std::unique_ptr<QueueOrder> makeQueueOrder(std::string_view strategy);

} // namespace hemlockchute
