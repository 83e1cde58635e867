#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace hemlockchute::harness {

//==============================================================================
/**
    Reserves a range of loopback addresses for one deployment on this machine while the object exists.

    Thread safety: one thread at a time.
*/
class LoopbackNetwork {
public:
    /** Throws std::runtime_error if every range is in use. */
    LoopbackNetwork();

    /** The first two octets of the addresses, for example "127.20". */
    const std::string& prefix() const { return m_prefix; }

private:
    std::string reservePrefix();

    boost::asio::io_context m_context;
    /** Bound to a fixed port in the range as a lock against other deployments. */
    boost::asio::ip::tcp::acceptor m_lock;
    std::string m_prefix;
};

} // namespace hemlockchute::harness
