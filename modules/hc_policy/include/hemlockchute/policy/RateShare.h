#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace hemlockchute {

/** A sequence number of one data centre's reports. It keeps rising across restarts. */
using ShareReportNumber = NumberId<struct ShareReportNumberTag>;

/** What one data centre reports to another about a fleet-wide limit. */
struct ShareReport {
    /** The sender's demand, in whole units of what the limit counts. */
    unsigned demand = 0;
    /** The part of the limit that the sender may use now, in thousandths of a unit. */
    std::uint64_t allowed = 0;
    ShareReportNumber number;
    /** The latest report that the sender has received from the receiver; none before the first. */
    ShareReportNumber acknowledges;
    /** The part that the sender lends to the receiver, in thousandths of a unit, for one lease from the time at which the acknowledged report was sent. */
    std::uint64_t lent = 0;
};

//==============================================================================
/**
    Splits a fleet-wide rate limit among data centres so that the parts never add up to more.

    Each data centre owns an equal share. Half of that is guaranteed to it; the other half is lent,
    for one lease at a time, to data centres with unmet demand. The borrower counts the lease from
    the time at which it sent the report that the loan acknowledges, the lender from the time at
    which it received that report, so that the borrower stops first without a common clock. During
    a network partition all loans expire and every data centre has its own share again.

    After a restart the loans of the previous process may still run, so that a new object uses
    only its guaranteed half until one lease has passed.

    Reports are sent to each other data centre about five times per lease:
    @code
    share.setDemand(waitingLoads);
    send(other, share.report(other, now));
    // and on receipt of theirs
    share.receive(other, report, now);
    std::uint64_t perMille = share.allowed(now);
    @endcode

    Thread safety: one thread at a time.
*/
class RateShare {
public:
    /** How the limit is divided, and the lease of a loan. */
    struct Options {
        /** Shares are whole multiples of this, in thousandths of a unit; 1000 for a limit on a whole number of things. */
        std::uint64_t granularity = 1;
        Duration lease = 5s;
        /** The part of a lease that the borrower leaves unused to allow for clock drift. */
        unsigned driftPerMille = 50;
        /** Report numbers start after this one; must exceed every number of the processes before. */
        ShareReportNumber reportsAfter;

        Options withGranularity(std::uint64_t) const;
        Options withLease(Duration) const;
        Options withReportsAfter(ShareReportNumber) const;
    };

    /** `limit` is in thousandths of a unit. Preconditions: self is one of the data centres; every data centre has the same list. */
    RateShare(std::uint64_t limit, DataCentreName self, std::vector<DataCentreName> dataCentres);
    RateShare(std::uint64_t limit, DataCentreName self, std::vector<DataCentreName> dataCentres, Options);

    /** The part that is never lent, in thousandths of a unit. */
    std::uint64_t guaranteed() const;
    /** The part that this data centre may use now, loans included, in thousandths of a unit. */
    std::uint64_t allowed(Instant now) const;
    /** Sets this data centre's own demand, in whole units. */
    void setDemand(unsigned demand);
    /** Processes another data centre's report. Reports may be lost, delayed, duplicated or reordered. */
    void receive(const DataCentreName& from, ShareReport, Instant now);
    /** Creates a report for another data centre; a loan in it is binding from then on. Precondition: `to` is another data centre. */
    ShareReport report(const DataCentreName& to, Instant now);
    /** Changes the limit, as after a new document. Existing loans run until they expire. */
    void setLimit(std::uint64_t limit);

private:
    struct Loan {
        std::uint64_t amount = 0;
        Instant until {};
    };

    struct Peer {
        unsigned demand = 0;
        ShareReportNumber lastReceived;
        Instant receivedAt {};
        std::deque<std::pair<ShareReportNumber, Instant>> sent;
        /** Loans to this peer that have not expired; towards the back, amounts fall and expiry times rise. */
        std::deque<Loan> lent;
        Loan borrowed;
    };

    std::uint64_t share() const;
    std::uint64_t lendable() const;
    bool mayHavePredecessorLoans(Instant now) const;
    std::uint64_t unmetDemand(const Peer&) const;
    std::uint64_t lentTo(const Peer&, Instant now) const;
    std::uint64_t totalLent(Instant now) const;
    std::uint64_t amountToLend(const Peer&, Instant now) const;
    static void recordLoan(Peer&, Loan, Instant now);

    std::uint64_t m_limit;
    DataCentreName m_self;
    std::vector<DataCentreName> m_dataCentres;
    Options m_options;
    unsigned m_demand = 0;
    ShareReportNumber m_lastSent;
    std::optional<Instant> m_firstExchange;
    std::map<DataCentreName, Peer> m_peers;
};

} // namespace hemlockchute
