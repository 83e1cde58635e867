#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace hemlockchute::harness {

//==============================================================================
/**
    Loopback addresses that no other deployment on this machine uses, as long as the object lives.

    Thread safety: one thread at a time.
*/
class LoopbackNetwork {
public:
    /** Throws when every network is taken. */
    LoopbackNetwork();

    /** The first two parts of the addresses, such as "127.20". */
    const std::string& prefix() const { return m_prefix; }

private:
    std::string reservePrefix();

    boost::asio::io_context m_context;
    /** Bound to one address of the network, which keeps others away. */
    boost::asio::ip::tcp::acceptor m_lock;
    std::string m_prefix;
};

} // namespace hemlockchute::harness
