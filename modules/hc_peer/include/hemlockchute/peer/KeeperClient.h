#pragma once

#include "hemlockchute/agreement/ReplicatedGroup.h"
#include "hemlockchute/peer/PeerClient.h"
#include "hemlockchute/settings/HostSettings.h"
#include "hemlockchute/state/Commands.h"

namespace hemlockchute {

enum class KeeperClientErrorCode {
    /** No keeper took the command in: it will never be applied. */
    NotAccepted,
    /** A keeper may have taken the command in: it may yet be applied. */
    Unknown
};

//==============================================================================
/**
    Puts commands to the keepers, wherever their leader is.

    Thread safety: every method may be called from any thread; coroutines as for PeerClient.

    @see StateMachine
*/
class KeeperClient {
public:
    KeeperClient(PeerClient&, std::vector<KeeperAddress>);
    ~KeeperClient();

    /** Has a command agreed on; follows redirects to the leader until the timeout. Commands must be safe to apply twice, since a lost answer is asked for again. */
    boost::asio::awaitable<Result<Answer, KeeperClientErrorCode>> propose(CommandBody, Duration timeout);
    /** The run record of a key, read at the leader. */
    boost::asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> readRun(IdempotencyKey, Duration timeout);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

//==============================================================================
/**
    What a keeper says to Propose and ReadRun: the encoded Answer, or where to ask instead.

    @see KeeperClient
*/
struct KeeperReply {
    enum class Kind : std::uint8_t {
        /** `answer` holds the encoded Answer. */
        Answered = 0,
        /** This keeper does not lead; `leader` does, or 0 when unknown. Nothing was taken in. */
        NotLeader = 1,
        /** Taken in, but leadership was lost before it was agreed. */
        Unknown = 2
    };

    Kind kind = Kind::NotLeader;
    KeeperId leader;
    ByteString answer;
};

/** A group's reply as it goes to another process. */
KeeperReply keeperReply(GroupReply);
ByteString encodeKeeperReply(const KeeperReply&);
Result<KeeperReply, PeerErrorCode> decodeKeeperReply(std::string_view bytes);

} // namespace hemlockchute
