#pragma once

#include "hemlockchute/state/Commands.h"

#include <deque>
#include <set>

namespace hemlockchute {

//==============================================================================
/**
    Who leads each data centre's placement: terms with fencing numbers and leases.

    A holder that is cut off may keep its lease alive by promises of the other hosts, which this
    table does not see. Only a host that the holder counts on for such a promise may therefore
    take the next term; docs/design-notes/terms.md says why that is enough. Thread safety: one
    thread at a time.

    @see StateMachine
*/
class TermTable {
public:
    /** The last term of a data centre. */
    struct Term {
        /** Of the last grant; kept when the term is given up, since numbers only rise. */
        FencingNumber fencing;
        /** Empty once the term was given up. */
        HostName holder;
        WallTime leaseEnd;
        /** The hosts that may take the next term; empty once the term was given up: any may. */
        std::set<HostName> eligibleHosts;
        /** The attempts granted last, oldest first, so that one delivered again grants nothing. */
        std::deque<std::string> grantedAttempts;
    };

    explicit TermTable(Duration lease);

    TermAnswer acquire(const AcquireTerm&, WallTime now);
    TermAnswer renew(const RenewTerm&, WallTime now);
    TermAnswer release(const ReleaseTerm&, WallTime now);

    /** The last term, or an empty one. */
    const Term& term(const DataCentreName&) const;
    /** True when the number is that of a term that was not given up or followed by another. */
    bool isCurrent(const DataCentreName&, FencingNumber) const;

    const std::map<DataCentreName, Term>& terms() const { return m_terms; }
    /** Takes the place of all that is held. */
    void restore(std::map<DataCentreName, Term> terms) { m_terms = std::move(terms); }

private:
    bool isEligible(const Term&, const AcquireTerm&) const;
    TermAnswer grant(Term&, const AcquireTerm&, WallTime now);
    TermAnswer refusal(const Term&, WallTime now) const;

    Duration m_lease;
    std::map<DataCentreName, Term> m_terms;
};

} // namespace hemlockchute
