#pragma once

#include "hemlockchute/core/Identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlockchute {

struct RequestMetadata;

/** A customer of the deployment, whose callers send one of its access keys. */
using WorkspaceName = NameId<struct WorkspaceNameTag>;

/** What the requests of a workspace may cost, over all hosts together. */
struct Quota {
    enum class Unit {
        Request,
        Token
    };

    Unit unit = Unit::Request;
    /** The cost of a request that states no number of tokens, if the unit is tokens. */
    std::uint64_t plainCost = 1;
    /** Units per second; above 0. */
    double perSecond = 0;
    /** Units that may be used at once after a pause. */
    double burst = 0;

    /** The units that a request costs. */
    std::uint64_t costOf(const RequestMetadata&) const;

    friend bool operator==(const Quota&, const Quota&) = default;
};

//==============================================================================
/** The access keys, rank and quota of a workspace. @see RouteConfiguration */
struct Workspace {
    WorkspaceName name;
    /** Secrets: never logged or forwarded. */
    std::vector<std::string> keys;
    /** Takes precedence over the rank of a route. */
    std::optional<unsigned> rank;
    /** Unlimited without one. */
    std::optional<Quota> quota;
};

} // namespace hemlockchute
