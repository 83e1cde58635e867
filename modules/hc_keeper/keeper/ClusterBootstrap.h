#pragma once

#include "keeper/KeeperMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Decides whether a keeper whose folder is new begins a cluster, and with which members.

    Every new folder draws an incarnation of its own, and a keeper begins only with a membership
    that names that incarnation: either one that another keeper has begun with, or, when nobody has
    begun, the one made up of the incarnations of every keeper in the settings, all of which must
    answer. A keeper that lost its disk has another incarnation than the one that the cluster began
    with, finds itself in no membership, and waits to be added. So it cannot vote as its former
    self, whether or not the others can be reached at that moment.

    Weighed: a flag in the settings (it stays there, and lets an emptied keeper begin anew), and
    well-known incarnations for the first start (an emptied keeper that reaches nobody cannot be
    told from a new one). The price is that all keepers must be up for the very first start.
    Thread safety: a plain function.
*/
std::optional<Membership> decideBootstrap(const ReplicaId& self, const std::vector<KeeperId>& others, const std::map<KeeperId, KeeperReport>& reports);

/** True when another keeper has begun without this incarnation: only an operator can bring it in. */
bool mustBeAdded(const ReplicaId& self, const std::map<KeeperId, KeeperReport>& reports);

} // namespace hemlockchute
