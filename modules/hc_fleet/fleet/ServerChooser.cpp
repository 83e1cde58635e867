#include "hemlockchute/fleet/ServerChooser.h"

#include "hemlockchute/core/Digest.h"

#include <algorithm>
#include <string>

namespace hemlockchute {
namespace {

/** The ids of the shareable prompt parts as one text, and their total tokens. */
struct SharedPrompt {
    std::string parts;
    std::uint64_t tokens = 0;
};

SharedPrompt sharedPrompt(const RequestMetadata& request)
{
    SharedPrompt shared;
    if (request.promptParts.size() < 2)
        return shared;
    for (std::size_t i = 0; i + 1 < request.promptParts.size(); ++i) {
        shared.parts += request.promptParts[i].id;
        shared.parts += ',';
        shared.tokens += request.promptParts[i].tokens;
    }
    return shared;
}

} // namespace

std::optional<std::size_t> ServerChooser::choose(const std::vector<ServerCandidate>& candidates, const RequestMetadata& request) const
{
    SharedPrompt shared = sharedPrompt(request);
    std::optional<std::size_t> cachingServer;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; shared.tokens > 0 && i < candidates.size(); ++i) {
        std::uint64_t hash = Digest::of(shared.parts + candidates[i].id.text()).low();
        if (!cachingServer || hash > highest) {
            cachingServer = i;
            highest = hash;
        }
    }
    Duration uncachedTime = promptTime(shared.tokens);
    std::optional<std::size_t> best;
    Duration least {};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        Duration delay = delayAt(candidates[i]) + (cachingServer == i ? Duration::zero() : uncachedTime);
        if (!best || delay < least) {
            best = i;
            least = delay;
        }
    }
    return best;
}

Duration ServerChooser::delayAt(const ServerCandidate& candidate) const
{
    unsigned running = std::min(candidate.load.requests, candidate.slots);
    unsigned queued = candidate.load.requests - running;
    return promptTime(candidate.load.unreadTokens) + running * m_options.delayPerRunning + queued * m_options.delayPerQueued + (candidate.isLocal ? Duration::zero() : m_options.crossDataCentreDelay);
}

Duration ServerChooser::promptTime(std::uint64_t tokens) const
{
    std::chrono::duration<double, std::milli> time(static_cast<double>(tokens) / m_options.tokensPerMillisecond);
    return std::chrono::duration_cast<Duration>(time);
}

} // namespace hemlockchute
