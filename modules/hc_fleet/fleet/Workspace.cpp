#include "hemlockchute/fleet/Workspace.h"

#include "hemlockchute/fleet/RequestMetadata.h"

namespace hemlockchute {

std::uint64_t Quota::costOf(const RequestMetadata& request) const
{
    if (unit == Unit::Request)
        return 1;
    std::uint64_t tokens = request.promptTokens + request.maximumOutputTokens;
    return tokens > 0 ? tokens : plainCost;
}

} // namespace hemlockchute
