#pragma once

#include "hemlockchute/agreement/Replica.h"

#include <string_view>

namespace hemlockchute {

/** The incarnation of a data folder and, after the bootstrap, the initial membership of its cluster. */
struct KeeperIdentity {
    IncarnationId incarnation;
    std::optional<Membership> initialMembership;

    friend bool operator==(const KeeperIdentity&, const KeeperIdentity&) = default;
};

/** Cap'n Proto encoding of what a replica keeps in its data folder. Thread safety: any thread. */
ByteString encodeSnapshot(const ReplicaSnapshot&);
Result<ReplicaSnapshot, AgreementErrorCode> decodeSnapshot(std::string_view bytes);
ByteString encodeHardState(const HardState&);
Result<HardState, AgreementErrorCode> decodeHardState(std::string_view bytes);
ByteString encodeIdentity(const KeeperIdentity&);
Result<KeeperIdentity, AgreementErrorCode> decodeIdentity(std::string_view bytes);

} // namespace hemlockchute
