#include "hemlockchute/peer/PeerClient.h"

#include "peer/PeerConnection.h"
#include "peer/ReplyTable.h"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>

namespace hemlockchute {
namespace {

/** Resumes a coroutine with its reply; held by shared_ptr, since std::function requires a copyable callable. */
template <typename Handler>
class WaitingCoroutine {
public:
    explicit WaitingCoroutine(Handler&& handler)
        : m_work(boost::asio::make_work_guard(boost::asio::get_associated_executor(handler)))
        , m_handler(std::move(handler))
    {
    }

    void resume(Result<ByteString, PeerErrorCode> result)
    {
        auto executor = m_work.get_executor();
        boost::asio::dispatch(executor, [handler = std::move(m_handler), result = std::move(result)]() mutable { handler(std::move(result)); });
    }

private:
    boost::asio::executor_work_guard<boost::asio::associated_executor_t<Handler>> m_work;
    Handler m_handler;
};

} // namespace

//==============================================================================
struct PeerClient::Impl : std::enable_shared_from_this<PeerClient::Impl> {
    Impl(boost::asio::io_context& context, PeerIdentity self, Options bounds)
        : replies(ReplyTable::of(context))
        , identity(std::move(self))
        , options(bounds)
    {
    }

    void begin(const Endpoint& endpoint, PeerMethod method, ByteString payload, Duration timeout, ReplyTable::Ticket ticket)
    {
        if (isClosed) {
            replies->complete(ticket, failure(PeerErrorCode::Unreachable, "the client is closed"));
            return;
        }
        auto& connection = connections[endpoint];
        if (!connection)
            connection = dial(endpoint);
        thread.detach(connection->call(method, std::move(payload), timeout).then([table = replies, ticket](PeerConnection::Reply&& reply) {
            table->complete(ticket, std::move(reply));
        }));
    }

    std::shared_ptr<PeerConnection> dial(const Endpoint& endpoint)
    {
        auto removeDropped = [weak = weak_from_this(), endpoint](PeerConnection* dropped) {
            auto self = weak.lock();
            if (self && self->connections[endpoint].get() == dropped)
                self->thread.destroyLater(std::exchange(self->connections[endpoint], nullptr));
        };
        return std::make_shared<PeerConnection>(thread, endpoint, identity, options, removeDropped);
    }

    void close()
    {
        isClosed = true;
        auto closing = std::exchange(connections, {});
        for (auto& [endpoint, connection] : closing) {
            if (connection) {
                connection->drop(PeerErrorCode::ConnectionLost, "the client is closed");
                thread.destroyLater(std::move(connection));
            }
        }
    }

    KjThread& thread = KjThread::instance();
    std::shared_ptr<ReplyTable> replies;
    PeerIdentity identity;
    Options options;
    // Only on the KJ thread:
    bool isClosed = false;
    std::map<Endpoint, std::shared_ptr<PeerConnection>> connections;
};

PeerClient::PeerClient(boost::asio::io_context& context, PeerIdentity identity, Options options)
    : m_impl(std::make_shared<Impl>(context, std::move(identity), options))
{
}

PeerClient::~PeerClient()
{
    m_impl->thread.post([impl = m_impl] { impl->close(); });
}

void PeerClient::call(const Endpoint& endpoint, PeerMethod method, ByteString payload, Duration timeout, PeerReply reply)
{
    ReplyTable::Ticket ticket = m_impl->replies->add(std::move(reply));
    if (payload.size() > maximumPeerPayload) {
        m_impl->replies->complete(ticket, failure(PeerErrorCode::Rejected, "the payload is too large"));
        return;
    }
    m_impl->thread.post([impl = m_impl, endpoint, method, payload = std::move(payload), timeout, ticket]() mutable {
        impl->begin(endpoint, method, std::move(payload), timeout, ticket);
    });
}

boost::asio::awaitable<Result<ByteString, PeerErrorCode>> PeerClient::call(Endpoint endpoint, PeerMethod method, ByteString payload, Duration timeout)
{
    auto initiate = [this, endpoint, method, timeout](auto handler, ByteString bytes) {
        auto waiting = std::make_shared<WaitingCoroutine<decltype(handler)>>(std::move(handler));
        call(endpoint, method, std::move(bytes), timeout, [waiting](Result<ByteString, PeerErrorCode> result) { waiting->resume(std::move(result)); });
    };
    return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&, void(Result<ByteString, PeerErrorCode>)>(initiate, boost::asio::use_awaitable, std::move(payload));
}

//==============================================================================
PeerClient::Options PeerClient::Options::withConnectTimeout(Duration value) const
{
    Options copy = *this;
    copy.connectTimeout = value;
    return copy;
}

PeerClient::Options PeerClient::Options::withHeartbeatInterval(Duration value) const
{
    Options copy = *this;
    copy.heartbeatInterval = value;
    return copy;
}

PeerClient::Options PeerClient::Options::withHeartbeatTimeout(Duration value) const
{
    Options copy = *this;
    copy.heartbeatTimeout = value;
    return copy;
}

} // namespace hemlockchute
