#pragma once

#include "hemlockchute/peer/PeerClient.h"
#include "peer/KjThread.h"
#include "peer/Peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <optional>

namespace hemlockchute {

/** Limits on the messages of one connection. */
capnp::ReaderOptions peerReaderOptions();
/** Largest payload of one call, in bytes. */
inline constexpr std::size_t maximumPeerPayload = 32U << 20U;

//==============================================================================
/**
    One connection to a peer: connects, authenticates, sends calls and heartbeats.

    A dropped connection is not reused; its owner makes a new one. Calls in progress keep it alive.
    Thread safety: only on the KJ thread; release it with KjThread::destroyLater().

    @see PeerClient
*/
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
    using Reply = Result<ByteString, PeerErrorCode>;

    /** `onDrop` runs once, when the connection is dropped; it must not destroy the connection synchronously. */
    PeerConnection(KjThread&, const Endpoint&, const PeerIdentity&, const PeerClient::Options&, std::function<void(PeerConnection*)> onDrop);
    ~PeerConnection();
    PeerConnection(const PeerConnection&) = delete;
    PeerConnection& operator=(const PeerConnection&) = delete;

    /** Calls a method; the promise completes by the time-out at the latest and never throws. */
    kj::Promise<Reply> call(PeerMethod, ByteString payload, Duration timeout);
    /** Fails every call in progress; later calls fail with the same error. */
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
