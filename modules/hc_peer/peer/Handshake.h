#pragma once

#include "hemlockchute/core/Units.h"
#include "hemlockchute/peer/PeerServer.h"

#include <string>
#include <string_view>

namespace hemlockchute {

//==============================================================================
/**
    Lets the two ends of a connection prove knowledge of the cluster's key without sending it.

    Each end sends a random challenge. A proof is an HMAC-SHA-256 over the name of the side, the
    cluster, the caller's host and role, and both challenges. Thread safety: an immutable value.
*/
class Handshake {
public:
    enum class Side {
        Caller,
        Server
    };

    Handshake(const std::string& clusterKey, std::string_view cluster, std::string_view host, std::string_view role, std::string_view callerChallenge, std::string_view serverChallenge);

    /** A new random nonce. Throws std::runtime_error when no random bytes are available. Thread safety: any thread. */
    static ByteString newChallenge();
    /** True when the challenge has the right length. */
    static bool isChallenge(std::string_view);

    ByteString proof(Side) const;
    /** Compares in constant time. */
    bool isProof(Side, std::string_view) const;

private:
    std::string m_key;
    ByteString m_transcript;
};

} // namespace hemlockchute
