#include "hemlockchute/fleet/ConfigurationAssembler.h"

#include "fleet/ConfigurationDigest.h"

#include <algorithm>
#include <boost/beast/zlib/error.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace hemlockchute {
namespace {

namespace zlib = boost::beast::zlib;

/** JSON of routes compresses to about a tenth; a smaller factor only means that the buffer grows again. */
constexpr std::size_t expectedCompression = 8;

FleetMessageResult<ByteString> decompress(std::string_view compressed, std::size_t maximumBytes)
{
    if (compressed.size() < configurationDigestBytes)
        return failure(FleetMessageErrorCode::Malformed, "the compressed configuration is too short");
    std::string_view digest = compressed.substr(compressed.size() - configurationDigestBytes);
    zlib::inflate_stream stream;
    zlib::z_params parameters;
    // Includes the digest: Beast looks ahead by up to two bytes before it reports the end of the stream.
    parameters.next_in = compressed.data();
    parameters.avail_in = compressed.size();
    ByteString body;
    boost::system::error_code error;
    // One byte beyond the limit shows that the body exceeds it.
    while (!error && body.size() <= maximumBytes) {
        std::size_t written = body.size();
        body.resize(std::min(maximumBytes + 1, std::max(2 * written, expectedCompression * (compressed.size() + 1))));
        parameters.next_out = body.data() + written;
        parameters.avail_out = body.size() - written;
        stream.write(parameters, zlib::Flush::sync, error);
        body.resize(body.size() - parameters.avail_out);
    }
    if (body.size() > maximumBytes)
        return failure(FleetMessageErrorCode::Malformed, "the decompressed configuration is too large");
    if (error != zlib::error::end_of_stream || parameters.avail_in > configurationDigestBytes)
        return failure(FleetMessageErrorCode::Malformed, "the configuration cannot be decompressed: " + error.message());
    if (configurationDigest(body) != digest)
        return failure(FleetMessageErrorCode::Malformed, "the digest of the decompressed configuration differs");
    body.shrink_to_fit();
    return body;
}

} // namespace

ConfigurationAssembler::Options ConfigurationAssembler::Options::withMaximumBytes(std::size_t bytes) const
{
    Options copy = *this;
    copy.maximumBytes = bytes;
    return copy;
}

void ConfigurationAssembler::restart()
{
    m_version = ConfigurationVersion();
    m_size = 0;
    m_bytes = ByteString();
    m_olderParts = 0;
}

void ConfigurationAssembler::fill(FollowRequest& request)
{
    if (m_version <= request.configuration)
        restart();
    request.configurationPartOf = m_version;
    request.configurationOffset = m_bytes.size();
}

FleetMessageResult<std::optional<ByteString>> ConfigurationAssembler::receive(const FollowReply& reply)
{
    m_expectsMore = false;
    if (reply.configuration.empty())
        return std::nullopt;
    if (reply.configurationSize == 0) {
        if (reply.version >= m_version)
            restart();
        return reply.configuration;
    }
    if (reply.version < m_version && ++m_olderParts < m_options.maximumOlderParts)
        return std::nullopt;
    bool continues = reply.version == m_version && reply.configurationSize == m_size && reply.configurationOffset == m_bytes.size();
    bool isRepeated = !continues && reply.version == m_version;
    if (!continues) {
        restart();
        if (reply.configurationOffset != 0)
            return std::nullopt;
        if (reply.configurationSize > m_options.maximumBytes)
            return failure(FleetMessageErrorCode::Malformed, "the compressed configuration is too large");
        m_version = reply.version;
        m_size = reply.configurationSize;
    }
    if (reply.configuration.size() > m_size - m_bytes.size()) {
        restart();
        return failure(FleetMessageErrorCode::Malformed, "a part exceeds the size of the compressed configuration");
    }
    m_olderParts = 0;
    m_bytes += reply.configuration;
    if (m_bytes.size() < m_size) {
        m_expectsMore = !isRepeated;
        return std::nullopt;
    }
    ByteString compressed = std::move(m_bytes);
    restart();
    auto body = decompress(compressed, m_options.maximumBytes);
    if (!body)
        return tl::unexpected(body.error());
    return std::move(*body);
}

} // namespace hemlockchute
