#pragma once

#include "keeper/KeeperMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Decides whether a keeper with a new data folder bootstraps a cluster, and with which members.
    Returns the initial membership, or nothing while the keeper must wait.

    Every new folder gets a random incarnation, and a keeper bootstraps only with a membership that
    names that incarnation: either the initial membership of another keeper, or, when no keeper is
    bootstrapped, the incarnations of all keepers in the settings, all of which must answer. A
    keeper that lost its disk has a different incarnation from the one in the cluster's initial
    membership, is part of no membership, and waits to be added. So it cannot vote under its former
    identity, whether or not it can reach the others.

    Alternatives: a flag in the settings would stay there and let an emptied keeper bootstrap again;
    with fixed incarnations for the first start, an emptied keeper that reaches no other could not
    be told from a new one. The cost of this design is that all keepers must be up for the very
    first start.

    Thread safety: any thread.
*/
std::optional<Membership> decideBootstrap(const ReplicaId& self, const std::vector<KeeperId>& others, const std::map<KeeperId, KeeperReport>& reports);

/** True when another keeper's initial membership lacks this incarnation: only an operator can add it. */
bool mustBeAdded(const ReplicaId& self, const std::map<KeeperId, KeeperReport>& reports);

} // namespace hemlockchute
