#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace hemlockchute {

/**
    Opens, binds and listens. While another socket has the port, tries again for up to 3 s.

    Outgoing connections of any process may use a listening port as their own for a moment, also
    between the end of a process and its restart. Blocks; the acceptor is closed again on an error.
*/
boost::system::error_code openListeningSocket(boost::asio::ip::tcp::acceptor&, const boost::asio::ip::tcp::endpoint&);

} // namespace hemlockchute
