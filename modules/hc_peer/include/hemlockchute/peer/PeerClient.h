#pragma once

#include "hemlockchute/peer/PeerServer.h"

#include <boost/asio/awaitable.hpp>

namespace hemlockchute {

//==============================================================================
/**
    Calls the system's other processes, over one connection per endpoint.

    A connection that misses its heartbeats is dropped and replaced, since a connection can stop
    carrying data for good while new ones work; its calls in progress fail with ConnectionLost. Thread
    safety: every method may be called from any thread.

    @see PeerServer
*/
class PeerClient {
public:
    /** Time bounds. */
    struct Options {
        Duration connectTimeout = 500ms;
        Duration heartbeatInterval = 500ms;
        /** Time without an answer to a call or heartbeat after which a connection is dropped. */
        Duration heartbeatTimeout = 1500ms;

        Options withConnectTimeout(Duration) const;
        Options withHeartbeatInterval(Duration) const;
        Options withHeartbeatTimeout(Duration) const;
    };

    PeerClient(boost::asio::io_context&, PeerIdentity, Options);
    ~PeerClient();

    /** Calls a method; the callback runs once on the io_context, shortly after the time-out at the latest. */
    void call(const Endpoint&, PeerMethod, ByteString payload, Duration timeout, PeerReply);
    /** Calls a method from a coroutine. */
    boost::asio::awaitable<Result<ByteString, PeerErrorCode>> call(Endpoint, PeerMethod, ByteString payload, Duration timeout);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute
