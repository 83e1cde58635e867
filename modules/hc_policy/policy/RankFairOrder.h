#pragma once

#include "policy/FloorCreditTracker.h"
#include "policy/QueueOrder.h"
#include "policy/StartTimeFairQueue.h"

namespace hemlockchute {

//==============================================================================
/**
    Priority by rank with a guaranteed share (floor) for each rank; fair among models within a rank.

    A rank below its floor is served before more urgent ones. Within a rank, models share service
    time by start-time fair queueing, including models that are not loaded yet.

    @see FloorCreditTracker, StartTimeFairQueue
*/
class RankFairOrder : public QueueOrder {
public:
    void noteRanks(const WaitingRequests&) override;
    void noteAdded(const QueuedRequest&, const WaitingRequests&) override;
    void noteRemoved(const QueuedRequest&, const WaitingRequests&) override;
    void noteServed(const QueuedRequest&, const WaitingRequests&) override;
    void noteCostChange(const QueuedRequest&, Duration, const WaitingRequests&) override;

    //==============================================================================
    std::optional<QueueTicket> choose(const WaitingRequests&, const CanServe&) const override;
    bool isBelowFloor(const RankName& rank) const override { return m_floors.isBelowFloor(rank); }
    Duration costAhead(const QueuedRequest&, const WaitingRequests&) const override;
    bool hasRoom(const QueuedRequest&, const WaitingRequests&, std::size_t maximumWaiting) const override;

private:
    std::optional<QueueTicket> chooseInRank(const WaitingRequests&, const WaitingRequests::Rank&, const CanServe&) const;

    FloorCreditTracker m_floors;
    std::map<RankName, StartTimeFairQueue> m_fairQueues;
};

} // namespace hemlockchute
