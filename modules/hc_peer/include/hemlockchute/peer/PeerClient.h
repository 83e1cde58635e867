#pragma once

#include "hemlockchute/peer/PeerServer.h"

#include <boost/asio/awaitable.hpp>

namespace hemlockchute {

//==============================================================================
/**
    Calls the system's other processes, over one connection per endpoint.

    A connection whose heartbeat is missed is dropped and dialled anew, since a connection can go
    silent for good while new ones work; its calls in progress fail with ConnectionLost. Thread
    safety: every method may be called from any thread.

    @see PeerServer
*/
class PeerClient {
public:
    /** Time bounds. */
    struct Options {
        Duration connectTimeout = 500ms;
        Duration heartbeatInterval = 500ms;
        /** A connection without any sign of life for so long is dropped. */
        Duration heartbeatTimeout = 1500ms;

        Options withConnectTimeout(Duration) const;
        Options withHeartbeatInterval(Duration) const;
        Options withHeartbeatTimeout(Duration) const;
    };

    PeerClient(boost::asio::io_context&, PeerIdentity, Options);
    ~PeerClient();

    /** Calls a method; the callback runs once on the io_context, at the latest a little after the timeout. */
    void call(const Endpoint&, PeerMethod, ByteString payload, Duration timeout, PeerReply);
    /** The same for coroutines. */
    boost::asio::awaitable<Result<ByteString, PeerErrorCode>> call(Endpoint, PeerMethod, ByteString payload, Duration timeout);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute
