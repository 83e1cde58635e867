#pragma once

#include "hemlockchute/core/Units.h"
#include "hemlockchute/peer/PeerServer.h"

#include <string>
#include <string_view>

namespace hemlockchute {

//==============================================================================
/**
    How the two ends of a connection prove the cluster's key to each other without sending it.

    Each end sends a random challenge; each proves itself by an HMAC-SHA-256 over its side's name,
    the cluster, the caller's host and role, and both challenges. Thread safety: an immutable value.
*/
class Handshake {
public:
    enum class Side {
        Caller,
        Server
    };

    Handshake(const std::string& clusterKey, std::string_view cluster, std::string_view host, std::string_view role, std::string_view callerChallenge, std::string_view serverChallenge);

    /** Random bytes that have never been used before. Thread safety: any thread. */
    static ByteString newChallenge();
    /** True for a challenge long enough to be one. */
    static bool isChallenge(std::string_view);

    ByteString proof(Side) const;
    /** Compares in constant time. */
    bool isProof(Side, std::string_view) const;

private:
    std::string m_key;
    ByteString m_transcript;
};

} // namespace hemlockchute
