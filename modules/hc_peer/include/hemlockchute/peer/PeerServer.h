#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Errors.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/core/Units.h"
#include "hemlockchute/peer/PeerMethod.h"
#include "hemlockchute/settings/SettingsFile.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace hemlockchute {

enum class PeerErrorCode {
    ListenFailed,
    /** No connection was established: the other side has not received the call. */
    Unreachable,
    /** The other side may have received the call. */
    TimedOut,
    /** The other side may have received the call. */
    ConnectionLost,
    /** The other side does not serve the method, or could not decode the call. */
    Rejected,
    /** The other side belongs to another cluster or does not have its key. */
    NotAuthentic
};

/** The identity that a process presents to its peers. */
struct PeerIdentity {
    std::string clusterName;
    std::string clusterKey;
    HostName host;
    /** "router", "controller" or "keeper". */
    std::string role;
};

using PeerReply = std::function<void(Result<ByteString, PeerErrorCode>)>;

/** An incoming call. The handler replies once, from any thread. */
struct PeerCall {
    HostName caller;
    std::string callerRole;
    ByteString payload;
    PeerReply reply;
};

//==============================================================================
/**
    Answers calls from the system's other processes.

    A connection that does not prove knowledge of the cluster's key is dropped before any handler runs.
    Handlers run on the io_context and must not block. Thread safety: every method may be called
    from any thread; handlers are set before listen().

    @see PeerClient
*/
class PeerServer {
public:
    using Handler = std::function<void(PeerCall)>;

    PeerServer(boost::asio::io_context&, PeerIdentity);
    ~PeerServer();

    /** Sets the handler of a method. Precondition: not listening yet. */
    void handle(PeerMethod, Handler);
    /** Listens; port 0 takes any free port. */
    Result<Endpoint, PeerErrorCode> listen(const Endpoint&);
    /** Closes the listening socket and every connection. */
    void close();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute
