#include "peer/PeerSession.h"

#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/peer/MessageBytes.h"
#include "peer/PeerConnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace hemlockchute {
namespace {

constexpr auto handshakeTimeout = 2 * kj::SECONDS;
/** Time without a call or heartbeat after which a caller is dropped. */
constexpr auto callerTimeout = 10 * kj::SECONDS;
/** Longer host names are truncated. */
constexpr std::size_t maximumHostNameLength = 100;
/** Added to the caller's time-out, so that the caller's own deadline expires first. */
constexpr auto callerTimeoutSlack = 1 * kj::SECONDS;
/** Time for which a refused connection stays open, so that the caller can read the reason; also the interval between liveness checks. */
constexpr auto refusalLinger = 100 * kj::MILLISECONDS;

} // namespace

PendingCalls::PendingCalls(KjThread& thread, std::shared_ptr<ReplyTable> replies, Handlers handlers)
    : m_thread(thread)
    , m_replies(std::move(replies))
    , m_handlers(std::move(handlers))
{
}

kj::Promise<PendingCalls::Reply> PendingCalls::add(PeerMethod method, PeerCall call)
{
    auto handler = m_handlers.find(method);
    if (handler == m_handlers.end())
        return Reply(failure(PeerErrorCode::Rejected, "the method is not served here"));
    std::uint64_t id = ++m_lastId;
    auto pair = kj::newPromiseAndFulfiller<Reply>();
    m_pending.emplace(id, kj::mv(pair.fulfiller));
    call.reply = [thread = &m_thread, weak = weak_from_this(), id](Reply reply) {
        thread->post([weak, id, reply = std::move(reply)]() mutable {
            if (auto self = weak.lock())
                self->complete(id, std::move(reply));
        });
    };
    m_replies->post([function = handler->second, call = std::move(call)]() mutable { function(std::move(call)); });
    return pair.promise.attach(kj::defer([self = shared_from_this(), id] { self->m_pending.erase(id); }));
}

void PendingCalls::complete(std::uint64_t id, Reply reply)
{
    auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    auto fulfiller = kj::mv(found->second);
    m_pending.erase(found);
    fulfiller->fulfill(kj::mv(reply));
}

//==============================================================================
struct AcceptedConnection::Liveness {
    explicit Liveness(kj::Timer& clock)
        : timer(clock)
        , lastContact(clock.now())
    {
    }

    void noteContact() { lastContact = timer.now(); }

    kj::Timer& timer;
    kj::TimePoint lastContact;
    bool isAuthentic = false;
    bool isRefused = false;
};

//==============================================================================
/** Serves the calls of an authenticated caller. */
class AcceptedConnection::SessionServer : public wire::Session::Server {
public:
    SessionServer(std::shared_ptr<Liveness> liveness, std::shared_ptr<PendingCalls> calls, HostName caller, std::string role)
        : m_liveness(std::move(liveness))
        , m_calls(std::move(calls))
        , m_caller(std::move(caller))
        , m_role(std::move(role))
    {
    }

    kj::Promise<void> call(CallContext context) override
    {
        m_liveness->noteContact();
        auto parameters = context.getParams();
        auto method = static_cast<PeerMethod>(parameters.getMethod());
        auto timeout = parameters.getTimeoutMs() * kj::MILLISECONDS + callerTimeoutSlack;
        PeerCall call { m_caller, m_role, bytesOf(parameters.getPayload()), nullptr };
        context.releaseParams();
        context.allowCancellation();
        return m_liveness->timer.timeoutAfter(timeout, m_calls->add(method, std::move(call))).then([context](PendingCalls::Reply&& reply) mutable {
            writeReply(context.getResults().initResult(), reply);
        });
    }

    kj::Promise<void> heartbeat(HeartbeatContext) override
    {
        m_liveness->noteContact();
        return kj::READY_NOW;
    }

private:
    static void writeReply(wire::CallResult::Builder result, const PendingCalls::Reply& reply)
    {
        if (!reply)
            result.setRejected(reply.error().detail.c_str());
        else if (reply->size() > maximumPeerPayload)
            result.setRejected("the answer is too large");
        else
            result.setPayload(dataOf(*reply));
    }

    std::shared_ptr<Liveness> m_liveness;
    std::shared_ptr<PendingCalls> m_calls;
    HostName m_caller;
    std::string m_role;
};

//==============================================================================
/** Performs the server's side of the handshake; only a caller that proves the cluster's key gets a Session. */
class AcceptedConnection::GateServer : public wire::Gate::Server {
public:
    GateServer(std::shared_ptr<Liveness> liveness, PeerIdentity identity, std::shared_ptr<PendingCalls> calls)
        : m_liveness(std::move(liveness))
        , m_identity(std::move(identity))
        , m_calls(std::move(calls))
    {
    }

    kj::Promise<void> hello(HelloContext context) override
    {
        auto parameters = context.getParams();
        ByteString callerChallenge = bytesOf(parameters.getChallenge());
        m_caller = HostName(textOf(parameters.getHost()).substr(0, maximumHostNameLength));
        if (textOf(parameters.getCluster()) != m_identity.clusterName)
            return refuse("another cluster");
        if (m_handshake || !Handshake::isChallenge(callerChallenge))
            return refuse("a malformed handshake");
        ByteString challenge = Handshake::newChallenge();
        m_role = textOf(parameters.getRole());
        m_handshake.emplace(m_identity.clusterKey, m_identity.clusterName, m_caller.text(), m_role, callerChallenge, challenge);
        auto results = context.getResults();
        results.setChallenge(dataOf(challenge));
        results.setProof(dataOf(m_handshake->proof(Handshake::Side::Server)));
        return kj::READY_NOW;
    }

    kj::Promise<void> prove(ProveContext context) override
    {
        if (!m_handshake || m_isProved || !m_handshake->isProof(Handshake::Side::Caller, bytesOf(context.getParams().getProof())))
            return refuse("the cluster's key was not proved");
        m_isProved = true;
        m_liveness->isAuthentic = true;
        m_liveness->noteContact();
        context.getResults().setSession(kj::heap<SessionServer>(m_liveness, m_calls, m_caller, m_role));
        return kj::READY_NOW;
    }

private:
    kj::Promise<void> refuse(const char* why)
    {
        m_liveness->isRefused = true;
        logEvent(EventId::PeerStrangerDropped, { { "host", m_caller }, { "reason", std::string(why) } });
        return kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(why));
    }

    std::shared_ptr<Liveness> m_liveness;
    PeerIdentity m_identity;
    std::shared_ptr<PendingCalls> m_calls;
    std::optional<Handshake> m_handshake;
    HostName m_caller;
    std::string m_role;
    bool m_isProved = false;
};

//==============================================================================
AcceptedConnection::AcceptedConnection(KjThread& thread, const PeerIdentity& identity, std::shared_ptr<PendingCalls> calls, kj::Own<kj::AsyncIoStream> stream)
    : m_thread(thread)
    , m_liveness(std::make_shared<Liveness>(thread.timer()))
    , m_stream(kj::mv(stream))
    , m_network(*m_stream, capnp::rpc::twoparty::Side::SERVER, peerReaderOptions())
    , m_rpc(capnp::makeRpcServer(m_network, wire::Gate::Client(kj::heap<GateServer>(m_liveness, identity, std::move(calls)))))
{
    int on = 1;
    m_stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

kj::Promise<void> AcceptedConnection::onEnd()
{
    return m_network.onDisconnect().exclusiveJoin(monitorLiveness());
}

/** Completes when the caller was refused, did not authenticate in time, or timed out. */
kj::Promise<void> AcceptedConnection::monitorLiveness()
{
    kj::TimePoint now = m_thread.timer().now();
    bool isHandshakeOverdue = !m_liveness->isAuthentic && now - m_liveness->lastContact >= handshakeTimeout;
    if (isHandshakeOverdue || now - m_liveness->lastContact >= callerTimeout)
        return kj::READY_NOW;
    bool isRefused = m_liveness->isRefused;
    return m_thread.timer().afterDelay(refusalLinger).then([this, isRefused]() -> kj::Promise<void> {
        if (isRefused)
            return kj::READY_NOW;
        return monitorLiveness();
    });
}

} // namespace hemlockchute
