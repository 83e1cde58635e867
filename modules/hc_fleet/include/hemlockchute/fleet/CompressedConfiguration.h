#pragma once

#include "hemlockchute/fleet/FleetMessages.h"

namespace hemlockchute {

//==============================================================================
/**
    Sends configuration bodies in replies of bounded size.

    A body that fits in one part is sent whole and uncompressed. A larger one is compressed, once for
    all requesters of a version, and sent in parts, one in each reply.
    Thread safety: one thread at a time.

    @see ConfigurationAssembler
*/
class CompressedConfiguration {
public:
    struct Options {
        /** Takes 26 ms at 10 Mbit/s, which leaves the time-out of a poll to the rest of the reply and to other traffic. */
        std::size_t partBytes = 32U << 10U;

        Options withPartBytes(std::size_t) const;
    };

    explicit CompressedConfiguration(Options options)
        : m_options(options)
    {
    }

    /**
        Fills in the version and, if the requester lacks it, the body or the next part of it; sets hasMore if parts remain.

        While the reply's list of servers has more, only a whole body or a last part is sent, since hasMore could not be told apart.
        Precondition: the servers have been filled in.
    */
    void fill(FollowReply&, const FollowRequest&, const ConfigurationBody&);
    /** The number of bodies compressed so far. */
    unsigned compressions() const { return m_compressions; }

private:
    void compress(const ConfigurationBody&);

    Options m_options;
    /** The version that m_bytes holds; none before the first. */
    ConfigurationVersion m_version;
    /** The raw deflate stream, and the digest of the uncompressed body. */
    ByteString m_bytes;
    unsigned m_compressions = 0;
};

} // namespace hemlockchute
