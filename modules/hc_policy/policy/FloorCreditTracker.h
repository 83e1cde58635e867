#pragma once

#include "policy/WaitingRequests.h"

#include <map>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Accounts for the floor of each rank: a deficit round robin over charged service time.

    While a rank waits, it is credited its floor's share of all service time, and debited what it
    is served. A rank with credit is owed service. Credit is capped, and lost when nothing waits, so
    that a rank cannot save up; debt is at most one request and stays, so that a rank that never
    has more than one request waiting gets no more than others.

    Thread safety: one thread at a time.
*/
class FloorCreditTracker {
public:
    /** Takes in the ranks; accounts of ranks that stay are kept. */
    void setRanks(const WaitingRequests&);
    /** Books service time spent on a rank; `request` is the whole cost of that request. */
    void charge(const RankName&, Duration spent, Duration request, const WaitingRequests&);
    /** Nothing of the rank waits any more. */
    void noteRankIdle(const RankName&);
    bool isBelowFloor(const RankName&) const;
    /** Ranks that are owed service, those owed most first. */
    std::vector<RankName> ranksBelowFloor() const;

private:
    std::map<RankName, Duration> m_credit;
};

} // namespace hemlockchute
