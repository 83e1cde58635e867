#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"

#include <cstdint>
#include <map>
#include <vector>

namespace hemlockchute {

/** What one data centre tells the others about a fleet-wide limit. */
struct ShareReport {
    /** Work wanted, in whatever unit the limit counts. */
    unsigned demand = 0;
    /** The part of the limit, in thousandths of a unit, that the data centre uses at most from now on. */
    std::uint64_t taken = 0;
};

//==============================================================================
/**
    Splits a fleet-wide limit among data centres so that the parts never add up to more.

    Each data centre always keeps a guaranteed part; the rest follows demand, and a part is taken
    over only after its holder has said that it takes less. So the sum holds in a cut as well.
    Thread safety: one thread at a time.
*/
class RateShare {
public:
    /** `limit` in thousandths of a unit. Precondition: self is one of the data centres. */
    RateShare(std::uint64_t limit, DataCentreName self, std::vector<DataCentreName> dataCentres);

    /** What this data centre may use now, in thousandths. */
    std::uint64_t allowed() const;
    /** Sets this data centre's own demand. */
    void setDemand(unsigned demand);
    /** Takes in another data centre's report. */
    void receive(const DataCentreName& from, ShareReport, Instant now);
    /** What to tell the others. */
    ShareReport report() const;
    /** Changes the limit, as when a new document says so. */
    void setLimit(std::uint64_t limit);

private:
    std::uint64_t guaranteed() const;

    std::uint64_t m_limit;
    DataCentreName m_self;
    unsigned m_demand = 0;
    std::uint64_t m_taken = 0;
    std::map<DataCentreName, ShareReport> m_others;
};

} // namespace hemlockchute
