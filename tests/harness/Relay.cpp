#include "Relay.h"

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <vector>

namespace hemlockchute::harness {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr Duration pollInterval = 50ms;

/** The socket accepted from the caller, and the socket connected to the target. */
struct RelayedConnection {
    explicit RelayedConnection(tcp::socket socket)
        : accepted(std::move(socket))
        , outgoing(accepted.get_executor())
    {
    }

    tcp::socket accepted;
    tcp::socket outgoing;
    std::uint64_t generation = 0;
};

} // namespace

struct Relay::Impl : std::enable_shared_from_this<Relay::Impl> {
    Impl(asio::io_context& context, Endpoint from, Endpoint to, Duration delay)
        : acceptor(context, from)
        , target(std::move(to))
        , oneWayDelay(delay)
    {
    }

    Endpoint currentTarget()
    {
        std::lock_guard guard(lock);
        return target;
    }

    /** Resets every open connection. Must be called on the thread of the io_context. */
    void resetAll()
    {
        for (const auto& each : connections) {
            if (auto connection = each.lock()) {
                reset(connection->accepted);
                reset(connection->outgoing);
            }
        }
        connections.clear();
    }

    static void reset(tcp::socket& socket)
    {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    bool isSilent(const RelayedConnection& connection) const { return isCut || connection.generation < oldestLiveGeneration; }

    asio::awaitable<void> pause(Duration duration)
    {
        asio::steady_timer timer(acceptor.get_executor(), duration);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<void> acceptLoop()
    {
        auto self = shared_from_this();
        while (acceptor.is_open()) {
            boost::system::error_code error;
            tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error)
                continue;
            auto connection = std::make_shared<RelayedConnection>(std::move(socket));
            connection->generation = ++generations;
            std::erase_if(connections, [](const auto& each) { return each.expired(); });
            connections.push_back(connection);
            asio::co_spawn(
                acceptor.get_executor(), [self, connection] { return self->open(connection); }, asio::detached);
        }
    }

    asio::awaitable<void> open(std::shared_ptr<RelayedConnection> connection)
    {
        while (isCut)
            co_await pause(pollInterval);
        boost::system::error_code error;
        Endpoint to = currentTarget();
        co_await connection->outgoing.async_connect(to, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            connection->accepted.close(error);
            co_return;
        }
        connection->accepted.set_option(tcp::no_delay(true), error);
        connection->outgoing.set_option(tcp::no_delay(true), error);
        auto self = shared_from_this();
        asio::co_spawn(
            acceptor.get_executor(), [self, connection] { return self->pump(connection, connection->accepted, connection->outgoing, Direction::ToTarget); }, asio::detached);
        asio::co_spawn(
            acceptor.get_executor(), [self, connection] { return self->pump(connection, connection->outgoing, connection->accepted, Direction::FromTarget); }, asio::detached);
    }

    asio::awaitable<void> pump(std::shared_ptr<RelayedConnection> connection, tcp::socket& from, tcp::socket& to, Direction direction)
    {
        std::array<char, 65536> buffer {};
        boost::system::error_code error;
        while (!error) {
            std::size_t count = co_await from.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
            if (Duration delay = oneWayDelay; delay > Duration::zero())
                co_await pause(delay);
            while (isHeld[static_cast<std::size_t>(direction)])
                co_await pause(pollInterval);
            // A silent connection accepts data without forwarding it, and does not report that either side has closed.
            while (isSilent(*connection))
                co_await pause(pollInterval);
            if (!error)
                co_await asio::async_write(to, asio::buffer(buffer.data(), count), asio::redirect_error(asio::use_awaitable, error));
        }
        boost::system::error_code ignored;
        connection->accepted.close(ignored);
        connection->outgoing.close(ignored);
    }

    tcp::acceptor acceptor;
    std::mutex lock;
    Endpoint target;
    std::atomic<Duration> oneWayDelay;
    std::array<std::atomic<bool>, 2> isHeld { false, false };
    /** Accessed only on the thread of the io_context. */
    std::vector<std::weak_ptr<RelayedConnection>> connections;
    std::atomic<bool> isCut { false };
    std::atomic<std::uint64_t> generations { 0 };
    std::atomic<std::uint64_t> oldestLiveGeneration { 0 };
};

Relay::Relay(asio::io_context& context, Endpoint from, Endpoint to, Duration oneWayDelay)
    : m_impl(std::make_shared<Impl>(context, std::move(from), std::move(to), oneWayDelay))
{
    asio::co_spawn(
        context, [impl = m_impl] { return impl->acceptLoop(); }, asio::detached);
}

Relay::~Relay() = default;

void Relay::cut()
{
    silenceOpenConnections();
    m_impl->isCut = true;
}

void Relay::heal()
{
    m_impl->isCut = false;
}

void Relay::silenceOpenConnections()
{
    m_impl->oldestLiveGeneration = m_impl->generations + 1;
}

void Relay::resetOpenConnections()
{
    asio::post(m_impl->acceptor.get_executor(), [impl = m_impl] { impl->resetAll(); });
}

void Relay::hold(Direction direction)
{
    m_impl->isHeld[static_cast<std::size_t>(direction)] = true;
}

void Relay::release(Direction direction)
{
    m_impl->isHeld[static_cast<std::size_t>(direction)] = false;
}

void Relay::setDelay(Duration oneWayDelay)
{
    m_impl->oneWayDelay = oneWayDelay;
}

void Relay::setTarget(Endpoint target)
{
    {
        std::lock_guard guard(m_impl->lock);
        m_impl->target = std::move(target);
    }
    resetOpenConnections();
}

} // namespace hemlockchute::harness
