#pragma once

#include "hemlockchute/agreement/Replica.h"

#include <string_view>

namespace hemlockchute {

/** Which life of which data folder this is, and the members the cluster began with, once it has begun. */
struct KeeperIdentity {
    IncarnationId incarnation;
    std::optional<Membership> initialMembership;

    friend bool operator==(const KeeperIdentity&, const KeeperIdentity&) = default;
};

/** What a keeper keeps in its data folder, as Cap'n Proto messages. Thread safety: any thread. */
ByteString encodeSnapshot(const ReplicaSnapshot&);
Result<ReplicaSnapshot, AgreementErrorCode> decodeSnapshot(std::string_view bytes);
ByteString encodeHardState(const HardState&);
Result<HardState, AgreementErrorCode> decodeHardState(std::string_view bytes);
ByteString encodeIdentity(const KeeperIdentity&);
Result<KeeperIdentity, AgreementErrorCode> decodeIdentity(std::string_view bytes);

} // namespace hemlockchute
