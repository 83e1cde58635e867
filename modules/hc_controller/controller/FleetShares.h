#pragma once

#include "hemlockchute/document/Document.h"
#include "hemlockchute/policy/RateShare.h"

#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    This data centre's parts of the fleet-wide limits: store loads a second, store loads at once,
    and adapters in flight.

    A new term makes a new object, since it cannot know what the last holder lent. Thread safety:
    one thread at a time.

    @see RateShare
*/
class FleetShares {
public:
    /** Every data centre of the system, in any order, but the same everywhere. */
    FleetShares(DataCentreName self, std::vector<DataCentreName> dataCentres, FencingNumber, const FleetLimits&);

    void setLimits(const FleetLimits&);
    void setDemand(unsigned storeLoads, unsigned adapterLoads);
    /** Takes another data centre's reports. */
    void receive(const DataCentreName& from, const std::vector<ShareReport>&, Instant now);
    /** What to tell another data centre. */
    std::vector<ShareReport> report(const DataCentreName& to, Instant now);

    /** Store loads that may begin now, with so many in flight. */
    unsigned storeLoadsAllowed(unsigned inFlight, Instant now);
    /** Takes one begun store load from the rate. */
    void noteStoreLoad();
    /** Adapter loads that may begin now, with so many in flight. */
    unsigned adapterLoadsAllowed(unsigned inFlight, Instant now) const;

private:
    void refill(Instant now);

    RateShare m_storeRate;
    RateShare m_storeAtOnce;
    RateShare m_adapters;
    /** Loads that the rate allows now, in thousandths. */
    double m_credit = 0;
    Instant m_refilledAt {};
};

} // namespace hemlockchute
