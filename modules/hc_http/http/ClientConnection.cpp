#include "http/ClientConnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockchute {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

asio::awaitable<void> RequestWrite::awaitDone(Instant limit)
{
    waitTimer.emplace(co_await asio::this_coro::executor, limit);
    beast::error_code ignored;
    if (!isDone)
        co_await waitTimer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void RequestWrite::noteDone(beast::error_code error)
{
    isDone = true;
    hasFailed = bool(error);
    // The answer may take long, and the caller keeps its own copy of the body.
    message = {};
    if (waitTimer)
        waitTimer->cancel();
}

std::unique_ptr<ClientConnection> moveToExecutor(const asio::any_io_executor& executor, std::unique_ptr<ClientConnection> connection)
{
    if (connection->stream.get_executor() == executor)
        return connection;
    tcp::socket old = connection->stream.release_socket();
    beast::error_code error;
    auto protocol = old.local_endpoint(error).protocol();
    auto handle = old.release(error);
    if (error)
        return nullptr;
    auto moved = std::make_unique<ClientConnection>(executor, connection->buffer.max_size());
    moved->idleSince = connection->idleSince;
    moved->keepAliveLimit = connection->keepAliveLimit;
    moved->isUsed = connection->isUsed;
    moved->stream.socket().assign(protocol, handle, error);
    return error ? nullptr : std::move(moved);
}

bool isReusable(ClientConnection& connection)
{
    char byte = 0;
    beast::error_code error;
    tcp::socket& socket = connection.stream.socket();
    if (!socket.non_blocking())
        socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace hemlockchute
