#pragma once

#include "hemlockchute/agreement/StateCodec.h"
#include "hemlockchute/keeper/KeeperOperations.h"

#include <string_view>

namespace hemlockchute {

/** A keeper's answer to another keeper's ReadStatus call. */
struct KeeperReport {
    KeeperIdentity identity;
    /** The status as this keeper knows it; `inForce` holds only the hosts that follow it directly. */
    SystemStatus status;
};

/** A membership change that is forwarded to the leader. */
struct ForwardedMemberChange {
    std::optional<KeeperId> remove;
    std::optional<KeeperAddress> add;
    Duration timeout {};
};

/** Cap'n Proto codecs of the messages between keepers other than AgreementMessage. Thread safety: any thread. */
ByteString encodeKeeperReport(const KeeperReport&);
Result<KeeperReport, AgreementErrorCode> decodeKeeperReport(std::string_view bytes);
ByteString encodeMemberChange(const ForwardedMemberChange&);
Result<ForwardedMemberChange, AgreementErrorCode> decodeMemberChange(std::string_view bytes);
ByteString encodeMemberChangeReply(const Result<void, AgreementErrorCode>&);
/** Returns the encoded result, or Malformed. */
Result<void, AgreementErrorCode> decodeMemberChangeReply(std::string_view bytes);

} // namespace hemlockchute
