#include "hemlockchute/policy/SlotReserve.h"

#include <algorithm>

namespace hemlockchute {
namespace {

constexpr unsigned wholePercent = 100;

} // namespace

SlotReserve::Options SlotReserve::Options::withReservedPercent(unsigned value) const
{
    Options copy = *this;
    copy.reservedPercent = value;
    return copy;
}

SlotReserve::SlotReserve(Options options)
    : m_options(options)
{
}

unsigned SlotReserve::usable(unsigned slots, unsigned moreUrgentRanks) const
{
    if (m_options.reservedPercent == 0 || slots == 0)
        return slots;
    unsigned keptForEach = std::max(1U, slots * m_options.reservedPercent / wholePercent);
    unsigned kept = std::min(slots - 1, keptForEach * moreUrgentRanks);
    return slots - kept;
}

} // namespace hemlockchute
