#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace hemlockchute {

/** Numbers the reports of one data centre; those of a new life are higher than any before. */
using ShareReportNumber = NumberId<struct ShareReportNumberTag>;

/** What one data centre tells another about a fleet-wide limit. */
struct ShareReport {
    /** Work wanted, in whole units of what the limit counts. */
    unsigned demand = 0;
    /** The part of the limit, in thousandths of a unit, that the sender may use now. */
    std::uint64_t allowed = 0;
    ShareReportNumber number;
    /** The last report that the sender has from the receiver; none before the first. */
    ShareReportNumber acknowledges;
    /** The part that the sender lends the receiver, for one lease from when the answered report was sent. */
    std::uint64_t lent = 0;
};

//==============================================================================
/**
    Splits a fleet-wide limit among data centres so that the parts never add up to more.

    Each data centre owns an equal share. It always keeps half of that; the other half it lends to
    data centres that want more, for one lease at a time. The borrower counts the lease from when it
    sent the report that the loan answers, the lender from when it received that, so that the
    borrower stops first without a common clock. In a cut all loans run out and each has its own share again.

    A new object may follow a process that had lent: it uses no more than the half that is never
    lent until one lease has passed.

    A report goes to each other data centre about five times a lease:
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
    /** How the limit is divided. */
    struct Options {
        /** Shares are whole multiples of this, in thousandths; 1000 for a limit that counts things. */
        std::uint64_t granularity = 1;
        Duration lease = 5s;
        /** Part of a lease that the borrower leaves unused, for clocks that drift apart. */
        unsigned driftPerMille = 50;
        /** The number before the first report; each life's numbers must be higher than those of lives before. */
        ShareReportNumber reportsAfter;

        Options withGranularity(std::uint64_t) const;
        Options withLease(Duration) const;
        Options withReportsAfter(ShareReportNumber) const;
    };

    /** `limit` in thousandths of a unit. Preconditions: self is one of the data centres; every data centre has the same list. */
    RateShare(std::uint64_t limit, DataCentreName self, std::vector<DataCentreName> dataCentres);
    RateShare(std::uint64_t limit, DataCentreName self, std::vector<DataCentreName> dataCentres, Options);

    /** What this data centre may use whatever the others do, in thousandths. */
    std::uint64_t guaranteed() const;
    /** What this data centre may use now, in thousandths. */
    std::uint64_t allowed(Instant now) const;
    /** Sets this data centre's own demand, in whole units. */
    void setDemand(unsigned demand);
    /** Takes in another data centre's report. Reports may be lost, late, doubled or out of order. */
    void receive(const DataCentreName& from, ShareReport, Instant now);
    /** What to tell another data centre, and from then on promised. Precondition: `to` is another data centre. */
    ShareReport report(const DataCentreName& to, Instant now);
    /** Changes the limit, as when a new document says so. Loans made before run on to their end. */
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
        /** Loans to it that may still be used; amounts fall and ends rise towards the back. */
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
