#include "keeper/ClusterBootstrap.h"

#include <algorithm>

namespace hemlockchute {

std::optional<Membership> decideBootstrap(const ReplicaId& self, const std::vector<KeeperId>& others, const std::map<KeeperId, KeeperReport>& reports)
{
    Membership all;
    all.voters.insert(self);
    bool isAnyKeeperBootstrapped = false;
    for (const auto& [keeper, report] : reports) {
        const auto& initial = report.identity.initialMembership;
        if (initial && initial->voters.contains(self))
            return initial;
        isAnyKeeperBootstrapped = isAnyKeeperBootstrapped || initial || !report.status.keepers.empty();
        all.voters.insert({ keeper, report.identity.incarnation });
    }
    bool haveAllAnswered = std::all_of(others.begin(), others.end(), [&](KeeperId keeper) { return reports.contains(keeper); });
    if (isAnyKeeperBootstrapped || !haveAllAnswered)
        return std::nullopt;
    return all;
}

bool mustBeAdded(const ReplicaId& self, const std::map<KeeperId, KeeperReport>& reports)
{
    return std::any_of(reports.begin(), reports.end(), [&](const auto& item) {
        const auto& initial = item.second.identity.initialMembership;
        return initial && !initial->voters.contains(self);
    });
}

} // namespace hemlockchute
