#pragma once

#include "hemlockchute/state/Commands.h"

#include <deque>
#include <set>

namespace hemlockchute {

//==============================================================================
/**
    The leadership of each data centre's placement: terms with fencing numbers and leases.

    A holder that is partitioned from the keepers may extend its lease by promises of the other
    hosts, which this table does not see. The next term therefore goes only to a host whose promise
    the holder needs for that; docs/design/terms.md explains why this is sufficient. Thread
    safety: one thread at a time.

    @see StateMachine
*/
class TermTable {
public:
    /** The last term of a data centre. */
    struct Term {
        /** Number of the last grant; kept when the term is given up, since fencing numbers only increase. */
        FencingNumber fencing;
        /** Empty once the term was given up. */
        HostName holder;
        WallTime leaseEnd;
        /** The hosts that may take the next term. Empty once the term was given up: any host that lists itself may. */
        std::set<HostName> eligibleHosts;
        /** The attempts granted last, oldest first, so that a duplicate command grants no further term. */
        std::deque<std::string> grantedAttempts;
    };

    explicit TermTable(Duration lease);

    TermAnswer acquire(const AcquireTerm&, WallTime now);
    TermAnswer renew(const RenewTerm&, WallTime now);
    TermAnswer release(const ReleaseTerm&, WallTime now);

    /** The last term, or an empty one. */
    const Term& term(const DataCentreName&) const;
    /** True when the number is that of the last term and the term was not given up. */
    bool isCurrent(const DataCentreName&, FencingNumber) const;

    const std::map<DataCentreName, Term>& terms() const { return m_terms; }
    /** Replaces all terms. */
    void restore(std::map<DataCentreName, Term> terms) { m_terms = std::move(terms); }

private:
    bool isEligible(const Term&, const AcquireTerm&) const;
    TermAnswer grant(Term&, const AcquireTerm&, WallTime now);
    TermAnswer refusal(const Term&, WallTime now) const;

    Duration m_lease;
    std::map<DataCentreName, Term> m_terms;
};

} // namespace hemlockchute
