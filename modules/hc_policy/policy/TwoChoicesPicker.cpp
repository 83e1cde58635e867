#include "policy/TwoChoicesPicker.h"

#include <algorithm>
#include <cmath>

namespace hemlockchute {
namespace {

constexpr Duration reportHalfLife = 500ms;
constexpr Duration cacheEventHalfLife = 10s;
/** The load that a fully cached prompt saves, as a share of a server's slots. */
constexpr double cachedPromptBonus = 0.25;
constexpr unsigned bitsPerDraw = 32;

double decayFactor(Duration age, Duration halfLife)
{
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(halfLife.count()));
}

/** The expected number of requests at the server now, from this router and others. */
double expectedRunning(const ServerCandidate& candidate)
{
    unsigned reported = candidate.reportedRunning + candidate.reportedQueued;
    unsigned others = reported > candidate.ownOutstanding ? reported - candidate.ownOutstanding : 0;
    return candidate.ownOutstanding + others * decayFactor(candidate.reportAge, reportHalfLife);
}

bool isFull(const ServerCandidate& candidate)
{
    return candidate.ownOutstanding >= candidate.slots || expectedRunning(candidate) >= candidate.slots;
}

double score(const ServerCandidate& candidate)
{
    double load = expectedRunning(candidate) / std::max(1U, candidate.slots);
    double cached = candidate.cachedPrefixPerMille / 1000.0 * decayFactor(candidate.cacheEventAge, cacheEventHalfLife);
    return load - cachedPromptBonus * cached;
}

} // namespace

std::optional<std::size_t> TwoChoicesPicker::pick(const std::vector<ServerCandidate>& candidates, std::uint64_t random) const
{
    std::vector<std::size_t> open;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (!isFull(candidates[index]))
            open.push_back(index);
    }
    if (open.empty())
        return std::nullopt;
    if (open.size() == 1)
        return open.front();
    std::size_t first = (random >> bitsPerDraw) % open.size();
    std::size_t second = (random & 0xffffffffU) % (open.size() - 1);
    if (second >= first)
        ++second;
    return score(candidates[open[second]]) < score(candidates[open[first]]) ? open[second] : open[first];
}

} // namespace hemlockchute
