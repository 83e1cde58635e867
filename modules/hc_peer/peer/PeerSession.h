#pragma once

#include "hemlockchute/peer/PeerServer.h"
#include "peer/Handshake.h"
#include "peer/KjThread.h"
#include "peer/Peer.capnp.h"
#include "peer/ReplyTable.h"

#include <capnp/rpc-twoparty.h>
#include <map>
#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    Calls that were passed to handlers and have no reply yet.

    Thread safety: add() and complete() only on the KJ thread; the reply callbacks, any thread.
*/
class PendingCalls : public std::enable_shared_from_this<PendingCalls> {
public:
    using Handlers = std::map<PeerMethod, PeerServer::Handler>;
    using Reply = Result<ByteString, PeerErrorCode>;

    PendingCalls(KjThread&, std::shared_ptr<ReplyTable>, Handlers);

    /** Runs the method's handler; the promise completes with its reply. Destroying the promise abandons the call. */
    kj::Promise<Reply> add(PeerMethod, PeerCall);

private:
    void complete(std::uint64_t id, Reply);

    KjThread& m_thread;
    std::shared_ptr<ReplyTable> m_replies;
    Handlers m_handlers;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<Reply>>> m_pending;
};

//==============================================================================
/**
    One accepted connection: authenticates the caller, then passes its calls to the handlers.

    Thread safety: only on the KJ thread; destroy it with KjThread::destroyLater().

    @see PeerServer
*/
class AcceptedConnection {
public:
    AcceptedConnection(KjThread&, const PeerIdentity&, std::shared_ptr<PendingCalls>, kj::Own<kj::AsyncIoStream>);

    /** Completes when the connection is closed, refused or timed out. */
    kj::Promise<void> onEnd();

private:
    class GateServer;
    class SessionServer;
    struct Liveness;

    kj::Promise<void> monitorLiveness();

    KjThread& m_thread;
    std::shared_ptr<Liveness> m_liveness;
    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
};

} // namespace hemlockchute
