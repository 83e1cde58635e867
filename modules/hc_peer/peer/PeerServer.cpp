#include "hemlockchute/peer/PeerServer.h"

#include "hemlockchute/core/ListenSocket.h"
#include "peer/PeerSession.h"

#include <boost/asio/ip/tcp.hpp>
#include <cassert>
#include <map>

namespace hemlockchute {
namespace {

constexpr std::size_t maximumConnections = 2048;
constexpr auto acceptRetryDelay = 50 * kj::MILLISECONDS;

using tcp = boost::asio::ip::tcp;

/** Opens a bound and listening socket; the KJ thread takes ownership of it. */
Result<int, PeerErrorCode> openListener(const Endpoint& wanted, Endpoint& bound)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context);
    boost::system::error_code error = openListeningSocket(acceptor, wanted);
    if (!error)
        bound = acceptor.local_endpoint(error);
    if (error)
        return failure(PeerErrorCode::ListenFailed, formatEndpoint(wanted) + ": " + error.message());
    return acceptor.release();
}

} // namespace

//==============================================================================
struct PeerServer::Impl {
    struct Entry {
        std::unique_ptr<AcceptedConnection> connection;
        kj::Promise<void> closed = nullptr;
    };

    Impl(boost::asio::io_context& context, PeerIdentity self)
        : replies(ReplyTable::of(context))
        , identity(std::move(self))
    {
    }

    void open(int socket)
    {
        calls = std::make_shared<PendingCalls>(thread, replies, handlers);
        receiver = thread.io().lowLevelProvider->wrapListenSocketFd(socket, kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP);
        accepting = accept().eagerlyEvaluate(nullptr);
    }

    kj::Promise<void> accept()
    {
        return receiver->accept().then(
                                     [this](kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void> {
                                         addConnection(kj::mv(stream));
                                         return kj::READY_NOW;
                                     },
                                     [this](kj::Exception&&) -> kj::Promise<void> { return thread.timer().afterDelay(acceptRetryDelay); })
            .then([this] { return accept(); });
    }

    void addConnection(kj::Own<kj::AsyncIoStream> stream)
    {
        if (connections.size() >= maximumConnections)
            return;
        std::uint64_t id = ++lastConnection;
        auto entry = std::make_unique<Entry>();
        entry->connection = std::make_unique<AcceptedConnection>(thread, identity, calls, kj::mv(stream));
        entry->closed = entry->connection->onEnd().then([this, id] { remove(id); }).eagerlyEvaluate([this, id](kj::Exception&&) { remove(id); });
        connections.emplace(id, std::move(entry));
    }

    void remove(std::uint64_t id)
    {
        auto found = connections.find(id);
        if (found == connections.end())
            return;
        thread.destroyLater(std::move(found->second));
        connections.erase(found);
    }

    void close()
    {
        accepting = nullptr;
        receiver = nullptr;
        connections.clear();
        calls = nullptr;
    }

    KjThread& thread = KjThread::instance();
    std::shared_ptr<ReplyTable> replies;
    PeerIdentity identity;
    PendingCalls::Handlers handlers;
    // Only on the KJ thread:
    std::shared_ptr<PendingCalls> calls;
    kj::Own<kj::ConnectionReceiver> receiver;
    kj::Promise<void> accepting = nullptr;
    std::uint64_t lastConnection = 0;
    std::map<std::uint64_t, std::unique_ptr<Entry>> connections;
};

PeerServer::PeerServer(boost::asio::io_context& context, PeerIdentity identity)
    : m_impl(std::make_shared<Impl>(context, std::move(identity)))
{
}

PeerServer::~PeerServer()
{
    close();
}

void PeerServer::handle(PeerMethod method, Handler handler)
{
    assert(!m_impl->calls);
    m_impl->handlers[method] = std::move(handler);
}

Result<Endpoint, PeerErrorCode> PeerServer::listen(const Endpoint& wanted)
{
    Endpoint bound;
    auto socket = openListener(wanted, bound);
    if (!socket)
        return tl::unexpected(socket.error());
    m_impl->thread.run([impl = m_impl, handle = *socket] { impl->open(handle); });
    return bound;
}

void PeerServer::close()
{
    m_impl->thread.run([impl = m_impl] { impl->close(); });
}

} // namespace hemlockchute
