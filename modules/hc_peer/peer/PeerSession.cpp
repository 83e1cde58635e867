#include "peer/PeerSession.h"

#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/peer/MessageBytes.h"
#include "peer/PeerConnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace hemlockchute {
namespace {

constexpr auto handshakeTimeout = 2 * kj::SECONDS;
/** A caller that sends neither calls nor heartbeats for so long is dropped. */
constexpr auto callerSilenceTimeout = 10 * kj::SECONDS;
/** A longer name of a host is cut. */
constexpr std::size_t longestName = 100;
/** How much longer than the caller a call is waited for, so that the caller's own deadline comes first. */
constexpr auto callerTimeoutSlack = 1 * kj::SECONDS;
/** How long a refused caller may still read why. */
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

    void note() { lastContact = timer.now(); }

    kj::Timer& timer;
    kj::TimePoint lastContact;
    bool isAuthentic = false;
    bool isRefused = false;
};

//==============================================================================
/** What an authentic caller may do. */
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
        m_liveness->note();
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
        m_liveness->note();
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
/** What a connection offers before its caller has proved the cluster's key. */
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
        m_caller = HostName(textOf(parameters.getHost()).substr(0, longestName));
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
        m_liveness->note();
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

/** Ends when the caller was refused, did not prove itself in time, or went silent. */
kj::Promise<void> AcceptedConnection::monitorLiveness()
{
    kj::TimePoint now = m_thread.timer().now();
    bool isStranger = !m_liveness->isAuthentic && now - m_liveness->lastContact >= handshakeTimeout;
    if (isStranger || now - m_liveness->lastContact >= callerSilenceTimeout)
        return kj::READY_NOW;
    bool isRefused = m_liveness->isRefused;
    return m_thread.timer().afterDelay(refusalLinger).then([this, isRefused]() -> kj::Promise<void> {
        if (isRefused)
            return kj::READY_NOW;
        return monitorLiveness();
    });
}

} // namespace hemlockchute
