#include "state/PermitTable.h"

#include <algorithm>
#include <cassert>

namespace hemlockchute {
namespace {

unsigned sumOf(const PermitTable::Holdings& holdings)
{
    unsigned sum = 0;
    for (const auto& [dataCentre, holding] : holdings)
        sum += holding.held;
    return sum;
}

/** Records a command's sequence. False for a duplicate, and after a later command of the same term. */
bool acceptSequence(PermitTable::Holding& holding, FencingNumber fencing, std::uint64_t sequence)
{
    std::uint64_t last = holding.fencing == fencing ? holding.sequence : 0;
    if (sequence != 0 && sequence <= last)
        return false;
    holding.fencing = fencing;
    holding.sequence = std::max(sequence, last);
    return true;
}

/** The largest share, the last one in a tie. Precondition: there is a share. */
unsigned& largest(std::map<DataCentreName, unsigned>& shares)
{
    assert(!shares.empty());
    auto found = shares.begin();
    for (auto at = shares.begin(); at != shares.end(); ++at) {
        if (at->second >= found->second)
            found = at;
    }
    return found->second;
}

/** The permits that a data centre may keep when the excess over the cap is taken from the largest holders. */
unsigned allowedShare(const PermitTable::Holdings& holdings, const DataCentreName& dataCentre, unsigned cap)
{
    std::map<DataCentreName, unsigned> allowed;
    for (const auto& [name, holding] : holdings)
        allowed[name] = holding.held;
    for (unsigned sum = sumOf(holdings); sum > cap; --sum)
        --largest(allowed);
    auto found = allowed.find(dataCentre);
    return found == allowed.end() ? 0 : found->second;
}

} // namespace

PermitAnswer PermitTable::request(const RequestPermits& command, unsigned cap)
{
    Holdings& holdings = m_holdings[command.model];
    Holding& holding = holdings[command.dataCentre];
    if (acceptSequence(holding, command.fencing, command.sequence)) {
        unsigned others = sumOf(holdings) - holding.held;
        unsigned free = cap > others ? cap - others : 0;
        holding.held = std::max(holding.held, std::min(command.wanted, free));
    }
    return answer(true, command.dataCentre, command.model, cap);
}

PermitAnswer PermitTable::returnPermits(const ReturnPermits& command, unsigned cap)
{
    Holding& holding = m_holdings[command.model][command.dataCentre];
    if (acceptSequence(holding, command.fencing, command.sequence))
        holding.held = std::min(holding.held, command.held);
    return answer(true, command.dataCentre, command.model, cap);
}

PermitAnswer PermitTable::refuse(const DataCentreName& dataCentre, const ModelName& model, unsigned cap) const
{
    return answer(false, dataCentre, model, cap);
}

PermitAnswer PermitTable::answer(bool accepted, const DataCentreName& dataCentre, const ModelName& model, unsigned cap) const
{
    auto holdings = m_holdings.find(model);
    if (holdings == m_holdings.end())
        return { accepted, 0, 0 };
    auto holding = holdings->second.find(dataCentre);
    unsigned held = holding == holdings->second.end() ? 0 : holding->second.held;
    return { accepted, held, allowedShare(holdings->second, dataCentre, cap) };
}

} // namespace hemlockchute
