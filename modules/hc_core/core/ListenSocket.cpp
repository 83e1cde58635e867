#include "hemlockchute/core/ListenSocket.h"

#include "hemlockchute/core/Clock.h"

#include <thread>

namespace hemlockchute {
namespace {

using tcp = boost::asio::ip::tcp;

constexpr Duration patience = 3s;
constexpr Duration retryInterval = 50ms;

boost::system::error_code tryToListen(tcp::acceptor& acceptor, const tcp::endpoint& endpoint)
{
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error) {
        boost::system::error_code ignored;
        acceptor.close(ignored);
    }
    return error;
}

} // namespace

boost::system::error_code openListeningSocket(tcp::acceptor& acceptor, const tcp::endpoint& endpoint)
{
    Instant end = std::chrono::steady_clock::now() + patience;
    boost::system::error_code error = tryToListen(acceptor, endpoint);
    while (error == boost::asio::error::address_in_use && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(retryInterval);
        error = tryToListen(acceptor, endpoint);
    }
    return error;
}

} // namespace hemlockchute
