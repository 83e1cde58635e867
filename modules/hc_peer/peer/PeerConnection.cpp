#include "peer/PeerConnection.h"

#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/peer/MessageBytes.h"
#include "peer/Handshake.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace hemlockchute {
namespace {

kj::Duration toKj(Duration duration)
{
    return duration.count() * kj::NANOSECONDS;
}

std::string describe(const kj::Exception& exception)
{
    return exception.getDescription().cStr();
}

PeerErrorCode errorCodeOf(const kj::Exception& exception)
{
    return exception.getType() == kj::Exception::Type::UNIMPLEMENTED ? PeerErrorCode::Rejected : PeerErrorCode::ConnectionLost;
}

PeerConnection::Reply readResult(wire::CallResult::Reader result)
{
    if (result.isRejected())
        return failure(PeerErrorCode::Rejected, textOf(result.getRejected()));
    return bytesOf(result.getPayload());
}

} // namespace

capnp::ReaderOptions peerReaderOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = 2 * maximumPeerPayload / sizeof(capnp::word);
    return options;
}

PeerConnection::PeerConnection(KjThread& thread, const Endpoint& endpoint, const PeerIdentity& identity, const PeerClient::Options& options, std::function<void(PeerConnection*)> onDrop)
    : m_thread(thread)
    , m_identity(identity)
    , m_options(options)
    , m_peer(formatEndpoint(endpoint))
    , m_onDrop(std::move(onDrop))
    , m_lastContact(thread.timer().now())
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    m_dropFulfiller = kj::mv(pair.fulfiller);
    m_dropped = pair.promise.fork();
    m_ready = m_thread.timer().timeoutAfter(toKj(m_options.connectTimeout), kj::evalNow([&] { return dial(endpoint); })).fork();
    m_heartbeats = m_ready.addBranch().then([this] { return sendHeartbeats(); }).eagerlyEvaluate([this](kj::Exception&& exception) {
        dropWithReason(describe(exception));
    });
}

PeerConnection::~PeerConnection() = default;

//==============================================================================
kj::Promise<void> PeerConnection::dial(const Endpoint& endpoint)
{
    auto address = m_thread.io().provider->getNetwork().getSockaddr(endpoint.data(), static_cast<unsigned>(endpoint.size()));
    auto connected = address->connect();
    return connected.attach(kj::mv(address)).then([this](kj::Own<kj::AsyncIoStream> stream) { return performHandshake(kj::mv(stream)); });
}

kj::Promise<void> PeerConnection::performHandshake(kj::Own<kj::AsyncIoStream> stream)
{
    int on = 1;
    stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    m_stream = kj::mv(stream);
    m_network = kj::heap<capnp::TwoPartyVatNetwork>(*m_stream, capnp::rpc::twoparty::Side::CLIENT, peerReaderOptions());
    m_rpc = kj::heap(capnp::makeRpcClient(*m_network));
    m_disconnected = m_network->onDisconnect().then([this] { dropWithReason("the server closed the connection"); }).eagerlyEvaluate(nullptr);
    capnp::MallocMessageBuilder vatId;
    vatId.initRoot<capnp::rpc::twoparty::VatId>().setSide(capnp::rpc::twoparty::Side::SERVER);
    m_gate = m_rpc->bootstrap(vatId.getRoot<capnp::rpc::twoparty::VatId>()).castAs<wire::Gate>();

    ByteString challenge = Handshake::newChallenge();
    auto request = m_gate->helloRequest();
    request.setCluster(m_identity.clusterName.c_str());
    request.setHost(m_identity.host.text().c_str());
    request.setRole(m_identity.role.c_str());
    request.setChallenge(dataOf(challenge));
    return request.send().then(
        [this, challenge](capnp::Response<wire::Gate::HelloResults>&& hello) { return authenticate(challenge, hello); },
        [this](kj::Exception&& exception) -> kj::Promise<void> { return failHandshake(exception); });
}

kj::Promise<void> PeerConnection::authenticate(const ByteString& challenge, capnp::Response<wire::Gate::HelloResults>& hello)
{
    ByteString serverChallenge = bytesOf(hello.getChallenge());
    Handshake handshake(m_identity.clusterKey, m_identity.clusterName, m_identity.host.text(), m_identity.role, challenge, serverChallenge);
    if (!Handshake::isChallenge(serverChallenge) || !handshake.isProof(Handshake::Side::Server, bytesOf(hello.getProof()))) {
        drop(PeerErrorCode::NotAuthentic, "the server does not know the cluster's key");
        return KJ_EXCEPTION(FAILED, "the server does not know the cluster's key");
    }
    ByteString proof = handshake.proof(Handshake::Side::Caller);
    auto request = m_gate->proveRequest();
    request.setProof(dataOf(proof));
    return request.send().then(
        [this](capnp::Response<wire::Gate::ProveResults>&& results) -> kj::Promise<void> {
            m_session = results.getSession();
            noteContact();
            return kj::READY_NOW;
        },
        [this](kj::Exception&& exception) -> kj::Promise<void> { return failHandshake(exception); });
}

/** Drops the connection with the reason of the failed handshake: refused by the server, or disconnected. */
kj::Exception PeerConnection::failHandshake(const kj::Exception& exception)
{
    bool isDisconnect = exception.getType() == kj::Exception::Type::DISCONNECTED;
    drop(isDisconnect ? PeerErrorCode::Unreachable : PeerErrorCode::NotAuthentic, describe(exception));
    return kj::cp(exception);
}

kj::Promise<void> PeerConnection::sendHeartbeats()
{
    kj::Duration interval = toKj(m_options.heartbeatInterval);
    return m_thread.timer().atTime(m_lastContact + interval).then([this, interval]() -> kj::Promise<void> {
        if (m_thread.timer().now() - m_lastContact < interval)
            return sendHeartbeats();
        auto answered = m_session->heartbeatRequest().send().ignoreResult();
        kj::TimePoint silentSince = m_lastContact;
        auto silent = m_thread.timer().atTime(silentSince + toKj(m_options.heartbeatTimeout));
        return answered.then([this] { noteContact(); }).exclusiveJoin(kj::mv(silent)).then([this, silentSince]() -> kj::Promise<void> {
            if (m_lastContact != silentSince)
                return sendHeartbeats();
            logEvent(EventId::PeerSilentDropped, { { "peer", m_peer } });
            return KJ_EXCEPTION(DISCONNECTED, "the connection went silent");
        });
    });
}

//==============================================================================
kj::Promise<PeerConnection::Reply> PeerConnection::call(PeerMethod method, ByteString payload, Duration timeout)
{
    if (m_failure)
        return Reply(tl::unexpected(*m_failure));
    auto isSent = std::make_shared<bool>(false);
    auto answered = m_ready.addBranch().then([this, isSent, method, payload = std::move(payload), timeout] {
        *isSent = true;
        return send(method, payload, timeout);
    });
    auto dropped = m_dropped.addBranch().then([this, isSent] {
        PeerErrorCode code = *isSent ? PeerErrorCode::ConnectionLost : m_failure->code;
        return Reply(failure(code, m_failure->detail));
    });
    auto timedOut = m_thread.timer().afterDelay(toKj(timeout)).then([isSent] {
        return *isSent ? Reply(failure(PeerErrorCode::TimedOut, "no answer in time")) : Reply(failure(PeerErrorCode::Unreachable, "not connected in time"));
    });
    return answered.catch_([this, isSent](kj::Exception&& exception) {
                       if (*isSent)
                           return Reply(failure(errorCodeOf(exception), describe(exception)));
                       if (m_failure)
                           return Reply(tl::unexpected(*m_failure));
                       return Reply(failure(PeerErrorCode::Unreachable, describe(exception)));
                   })
        .exclusiveJoin(kj::mv(dropped))
        .exclusiveJoin(kj::mv(timedOut))
        .attach(shared_from_this());
}

kj::Promise<PeerConnection::Reply> PeerConnection::send(PeerMethod method, const ByteString& payload, Duration timeout)
{
    auto request = m_session->callRequest(capnp::MessageSize { payload.size() / sizeof(capnp::word) + 64, 0 });
    request.setMethod(static_cast<std::uint16_t>(method));
    request.setPayload(dataOf(payload));
    request.setTimeoutMs(static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(timeout).count()));
    return request.send().then([this](capnp::Response<wire::Session::CallResults>&& results) {
        noteContact();
        return readResult(results.getResult());
    });
}

void PeerConnection::dropWithReason(std::string why)
{
    drop(m_session ? PeerErrorCode::ConnectionLost : PeerErrorCode::Unreachable, std::move(why));
}

void PeerConnection::drop(PeerErrorCode code, std::string why)
{
    if (m_failure)
        return;
    m_failure = Error<PeerErrorCode> { code, m_peer + ": " + why };
    m_dropFulfiller->fulfill();
    m_onDrop(this);
}

} // namespace hemlockchute
