#pragma once

#include "hemlockchute/agreement/StateCodec.h"
#include "hemlockchute/keeper/KeeperOperations.h"

#include <string_view>

namespace hemlockchute {

/** What a keeper tells another of itself, in answer to ReadStatus. */
struct KeeperReport {
    KeeperIdentity identity;
    /** Its own view; `inForce` holds only the hosts that follow it. */
    SystemStatus status;
};

/** A change of members on its way to the leader. */
struct ForwardedMemberChange {
    std::optional<KeeperId> remove;
    std::optional<KeeperAddress> add;
    Duration timeout {};
};

/** Messages between keepers besides the agreement's, in Cap'n Proto. Thread safety: any thread. */
ByteString encodeKeeperReport(const KeeperReport&);
Result<KeeperReport, AgreementErrorCode> decodeKeeperReport(std::string_view bytes);
ByteString encodeMemberChange(const ForwardedMemberChange&);
Result<ForwardedMemberChange, AgreementErrorCode> decodeMemberChange(std::string_view bytes);
ByteString encodeMemberChangeReply(const Result<void, AgreementErrorCode>&);
/** The result that was encoded, or Malformed. */
Result<void, AgreementErrorCode> decodeMemberChangeReply(std::string_view bytes);

} // namespace hemlockchute
