#pragma once

#include "policy/WaitingRequests.h"

#include <memory>
#include <string_view>

namespace hemlockchute {

//==============================================================================
/**
    The order in which waiting requests are served: the part of a queue that strategies vary.

    Thread safety: one thread at a time.

    @see OrderedRequestQueue, ArrivalOrder, PriorityOrder, RankFairOrder
*/
class QueueOrder {
public:
    virtual ~QueueOrder() = default;

    /** The ranks have changed; requests of ranks that are gone were removed before. */
    virtual void noteRanks(const WaitingRequests&) { }
    /** A request now waits. */
    virtual void noteAdded(const QueuedRequest&, const WaitingRequests&) { }
    /** A request no longer waits, served or not. */
    virtual void noteRemoved(const QueuedRequest&, const WaitingRequests&) { }
    /** A request is served; it still waits during this call. */
    virtual void noteServed(const QueuedRequest&, const WaitingRequests&) { }
    /** A request that was served cost that much more, or less, than was expected. */
    virtual void noteCostChange(const QueuedRequest&, Duration, const WaitingRequests&) { }

    //==============================================================================
    /** The request to serve next, or nothing when none can be served. */
    virtual std::optional<QueueTicket> choose(const WaitingRequests&, const CanServe&) const = 0;
    /** True when the rank is owed service under its floor. */
    virtual bool isBelowFloor(const RankName&) const { return false; }
    /** The service time that would be spent on others before a request that arrived now. */
    virtual Duration costAhead(const QueuedRequest&, const WaitingRequests&) const = 0;
    /** Whether a request that arrived now would be within the bound. */
    virtual bool hasRoom(const QueuedRequest&, const WaitingRequests& waiting, std::size_t maximumWaiting) const
    {
        return waiting.size() < maximumWaiting;
    }
};

/** An order by the name of its strategy, or null when there is none of that name. Thread safety: any thread. */
std::unique_ptr<QueueOrder> makeQueueOrder(std::string_view strategy);

} // namespace hemlockchute
