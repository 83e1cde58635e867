#include "state/TermTable.h"

#include <algorithm>

namespace hemlockchute {
namespace {

constexpr std::size_t maximumRememberedAttempts = 64;

WallTime later(WallTime now, Duration duration)
{
    return now + std::chrono::ceil<std::chrono::milliseconds>(duration);
}

Duration leaseLeft(const TermTable::Term& term, WallTime now)
{
    bool isRunning = !term.holder.isEmpty() && now < term.leaseEnd;
    return isRunning ? Duration(term.leaseEnd - now) : Duration::zero();
}

bool wasGranted(const TermTable::Term& term, const std::string& attempt)
{
    return std::find(term.grantedAttempts.begin(), term.grantedAttempts.end(), attempt) != term.grantedAttempts.end();
}

std::set<HostName> asSet(const std::vector<HostName>& hosts)
{
    return { hosts.begin(), hosts.end() };
}

} // namespace

TermTable::TermTable(Duration lease)
    : m_lease(lease)
{
}

TermAnswer TermTable::acquire(const AcquireTerm& command, WallTime now)
{
    Term& term = m_terms[command.dataCentre];
    Duration left = leaseLeft(term, now);
    if (wasGranted(term, command.attempt)) {
        // A duplicate command gets the rest of the lease that it was granted, if its term is still the last.
        bool isLast = !term.holder.isEmpty() && term.grantedAttempts.back() == command.attempt;
        if (!isLast || left == Duration::zero())
            return refusal(term, now);
        return { true, term.fencing, term.holder, left, m_lease };
    }
    if (left > Duration::zero() || !isEligible(term, command))
        return refusal(term, now);
    return grant(term, command, now);
}

bool TermTable::isEligible(const Term& term, const AcquireTerm& command) const
{
    if (!term.eligibleHosts.empty())
        return term.eligibleHosts.contains(command.host);
    return std::find(command.eligibleHosts.begin(), command.eligibleHosts.end(), command.host) != command.eligibleHosts.end();
}

TermAnswer TermTable::grant(Term& term, const AcquireTerm& command, WallTime now)
{
    bool hadHolder = !term.holder.isEmpty();
    std::set<HostName> eligibleHosts = asSet(command.eligibleHosts);
    // A host that the previous holder did not list becomes eligible only by a renewal of the new holder.
    if (!term.eligibleHosts.empty())
        std::erase_if(eligibleHosts, [&](const HostName& host) { return !term.eligibleHosts.contains(host); });
    eligibleHosts.insert(command.host);
    term.fencing = term.fencing.next();
    term.holder = command.host;
    term.grantedAttempts.push_back(command.attempt);
    if (term.grantedAttempts.size() > maximumRememberedAttempts)
        term.grantedAttempts.pop_front();
    term.leaseEnd = later(now, m_lease);
    term.eligibleHosts = std::move(eligibleHosts);
    return { true, term.fencing, term.holder, m_lease, hadHolder ? m_lease : Duration::zero() };
}

TermAnswer TermTable::renew(const RenewTerm& command, WallTime now)
{
    Term& term = m_terms[command.dataCentre];
    bool isHolder = !term.holder.isEmpty() && term.holder == command.host && term.fencing == command.fencing;
    if (!isHolder)
        return refusal(term, now);
    term.leaseEnd = std::max(term.leaseEnd, later(now, m_lease));
    term.eligibleHosts = asSet(command.eligibleHosts);
    term.eligibleHosts.insert(command.host);
    return { true, term.fencing, term.holder, m_lease, {} };
}

TermAnswer TermTable::release(const ReleaseTerm& command, WallTime now)
{
    Term& term = m_terms[command.dataCentre];
    bool isHolder = !term.holder.isEmpty() && term.holder == command.host && term.fencing == command.fencing;
    if (isHolder) {
        term.holder = HostName();
        term.leaseEnd = WallTime();
        term.eligibleHosts.clear();
    }
    return refusal(term, now);
}

TermAnswer TermTable::refusal(const Term& term, WallTime now) const
{
    return { false, term.fencing, term.holder, leaseLeft(term, now), {} };
}

const TermTable::Term& TermTable::term(const DataCentreName& dataCentre) const
{
    static const Term none;
    auto found = m_terms.find(dataCentre);
    return found == m_terms.end() ? none : found->second;
}

bool TermTable::isCurrent(const DataCentreName& dataCentre, FencingNumber fencing) const
{
    const Term& last = term(dataCentre);
    return !last.holder.isEmpty() && last.fencing == fencing;
}

} // namespace hemlockchute
