#pragma once

#include "hemlockchute/agreement/ReplicatedGroup.h"
#include "hemlockchute/peer/PeerClient.h"
#include "hemlockchute/settings/HostSettings.h"
#include "hemlockchute/state/Commands.h"

namespace hemlockchute {

enum class KeeperClientErrorCode {
    /** No keeper accepted the command: it will never be applied. */
    NotAccepted,
    /** A keeper may have accepted the command: it may yet be applied. */
    Unknown
};

//==============================================================================
/**
    Sends commands and reads to the leader of the keepers, which it finds by their redirects.

    Thread safety: every method may be called from any thread; coroutines as for PeerClient.

    @see StateMachine
*/
class KeeperClient {
public:
    KeeperClient(PeerClient&, std::vector<KeeperAddress>);
    ~KeeperClient();

    /** Proposes a command and follows redirects to the leader until the time-out. Commands must be idempotent, since a command is sent again when its answer is lost. */
    boost::asio::awaitable<Result<Answer, KeeperClientErrorCode>> propose(CommandBody, Duration timeout);
    /** The run record of a key, read at the leader. */
    boost::asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> readRun(IdempotencyKey, Duration timeout);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

//==============================================================================
/**
    A keeper's reply to Propose and ReadRun: the encoded Answer, or a redirect to the leader.

    @see KeeperClient
*/
struct KeeperReply {
    enum class Kind : std::uint8_t {
        /** `answer` holds the encoded Answer. */
        Answered = 0,
        /** This keeper is not the leader; `leader` is, or 0 when unknown. The command was not accepted. */
        NotLeader = 1,
        /** Accepted, but leadership was lost before the command was committed. */
        Unknown = 2
    };

    Kind kind = Kind::NotLeader;
    KeeperId leader;
    ByteString answer;
};

/** Converts a group's reply to the form sent to other processes. */
KeeperReply keeperReply(GroupReply);
ByteString encodeKeeperReply(const KeeperReply&);
Result<KeeperReply, PeerErrorCode> decodeKeeperReply(std::string_view bytes);

} // namespace hemlockchute
