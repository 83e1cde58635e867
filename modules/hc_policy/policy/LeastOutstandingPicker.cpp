#include "policy/LeastOutstandingPicker.h"

namespace hemlockchute {

std::optional<std::size_t> LeastOutstandingPicker::pick(const std::vector<ServerCandidate>& candidates, std::uint64_t) const
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const ServerCandidate& candidate = candidates[index];
        if (candidate.ownOutstanding >= candidate.slots)
            continue;
        if (!best || candidate.ownOutstanding < candidates[*best].ownOutstanding)
            best = index;
    }
    return best;
}

} // namespace hemlockchute
