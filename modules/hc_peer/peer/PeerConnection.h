#pragma once

#include "hemlockchute/peer/PeerClient.h"
#include "peer/KjThread.h"
#include "peer/Peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <optional>

namespace hemlockchute {

/** Bounds on the messages of one connection. */
capnp::ReaderOptions peerReaderOptions();
/** Largest payload of one call. */
inline constexpr std::size_t maximumPeerPayload = 32U << 20U;

//==============================================================================
/**
    One connection to a peer: dials, proves the key, calls, and watches for silence.

    A connection is used once: when it is dropped, the owner makes a new one. Calls in progress keep
    it alive. Thread safety: only on the KJ thread; let go of it with KjThread::destroyLater().

    @see PeerClient
*/
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
    using Reply = Result<ByteString, PeerErrorCode>;

    /** `onDrop` runs once, when the connection is of no more use; it may not destroy the connection at once. */
    PeerConnection(KjThread&, const Endpoint&, const PeerIdentity&, const PeerClient::Options&, std::function<void(PeerConnection*)> onDrop);
    ~PeerConnection();
    PeerConnection(const PeerConnection&) = delete;
    PeerConnection& operator=(const PeerConnection&) = delete;

    /** Calls a method; the promise always ends by the timeout and never throws. */
    kj::Promise<Reply> call(PeerMethod, ByteString payload, Duration timeout);
    /** Ends every call in progress. */
    void drop(PeerErrorCode, std::string why);
    bool isDropped() const { return m_failure.has_value(); }

private:
    kj::Promise<void> dial(const Endpoint&);
    kj::Promise<void> performHandshake(kj::Own<kj::AsyncIoStream>);
    kj::Promise<void> authenticate(const ByteString& challenge, capnp::Response<wire::Gate::HelloResults>&);
    kj::Promise<void> sendHeartbeats();
    kj::Promise<Reply> send(PeerMethod, const ByteString& payload, Duration timeout);
    void dropWithReason(std::string why);
    kj::Exception failHandshake(const kj::Exception&);
    void noteContact() { m_lastContact = m_thread.timer().now(); }

    KjThread& m_thread;
    PeerIdentity m_identity;
    PeerClient::Options m_options;
    std::string m_peer;
    std::function<void(PeerConnection*)> m_onDrop;
    std::optional<Error<PeerErrorCode>> m_failure;
    kj::TimePoint m_lastContact;
    kj::Own<kj::PromiseFulfiller<void>> m_dropFulfiller;
    kj::ForkedPromise<void> m_dropped = nullptr;
    kj::Own<kj::AsyncIoStream> m_stream;
    kj::Own<capnp::TwoPartyVatNetwork> m_network;
    kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> m_rpc;
    std::optional<wire::Gate::Client> m_gate;
    std::optional<wire::Session::Client> m_session;
    kj::ForkedPromise<void> m_ready = nullptr;
    kj::Promise<void> m_heartbeats = nullptr;
    kj::Promise<void> m_disconnected = nullptr;
};

} // namespace hemlockchute
