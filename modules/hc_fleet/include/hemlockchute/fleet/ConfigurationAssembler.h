#pragma once

#include "hemlockchute/fleet/FleetMessages.h"

#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    Assembles a configuration body from the parts in a coordinator's replies, and decompresses it.

    Call fill() for each request, and receive() for each reply whose version is newer than the one in
    force. A part that does not continue what has arrived is dropped, and the transfer restarts.
    Thread safety: one thread at a time.

    @see CompressedConfiguration
*/
class ConfigurationAssembler {
public:
    struct Options {
        /** Limit of a body, compressed and uncompressed, so that damaged data cannot exhaust the memory. */
        std::size_t maximumBytes = 16U << 20U;
        /**
            So many parts of an older version in succession end the transfer of a newer one, of which the followed coordinator does not know.
            More than one, so that a transfer completes while coordinators with different versions are polled in turn.
        */
        unsigned maximumOlderParts = 4;

        Options withMaximumBytes(std::size_t) const;
    };

    explicit ConfigurationAssembler(Options options)
        : m_options(options)
    {
    }

    /** Fills in what has arrived; ends the transfer if the request names its version or a newer one as known. */
    void fill(FollowRequest&);
    /**
        Takes the configuration or part in the reply.

        Returns the body if it is complete, nothing if it is not or the part was dropped.
        Errors: Malformed if the data is damaged or too large; the transfer then restarts.
    */
    FleetMessageResult<std::optional<ByteString>> receive(const FollowReply&);
    /** True if the last reply continued the transfer, or began that of another version, and further parts are missing: the next one should be requested at once. A transfer that restarts waits for the usual interval. */
    bool expectsMore() const { return m_expectsMore; }

private:
    void restart();

    Options m_options;
    /** The version of which parts have arrived; none between transfers. */
    ConfigurationVersion m_version;
    /** The compressed size of the whole body. */
    std::uint64_t m_size = 0;
    ByteString m_bytes;
    unsigned m_olderParts = 0;
    bool m_expectsMore = false;
};

} // namespace hemlockchute
