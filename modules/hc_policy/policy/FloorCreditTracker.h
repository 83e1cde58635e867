#pragma once

#include "policy/WaitingRequests.h"

#include <map>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Enforces the floor, the guaranteed share of service time, of each rank by deficit round robin.

    While a rank has waiting requests, it is credited its floor's share of all service time and
    debited the service time that it receives. A rank with credit is below its floor. Credit is
    capped, and is lost when no request of the rank waits, so that an idle rank cannot accumulate
    it. Debt is limited to one request and persists, so that a rank that never has more than one
    request waiting gets no advantage over others.

    Thread safety: one thread at a time.
*/
class FloorCreditTracker {
public:
    /** Replaces the ranks; ranks that remain keep their credit. */
    void setRanks(const WaitingRequests&);
    /** Charges service time to a rank, and credits every rank its floor's share of it. `request` is the total cost of the request. */
    void charge(const RankName&, Duration spent, Duration request, const WaitingRequests&);
    /** Drops a rank's credit when it has no more waiting requests. */
    void noteRankIdle(const RankName&);
    bool isBelowFloor(const RankName&) const;
    /** The ranks that are below their floor, the largest credit first. */
    std::vector<RankName> ranksBelowFloor() const;

private:
    std::map<RankName, Duration> m_credit;
};

} // namespace hemlockchute
