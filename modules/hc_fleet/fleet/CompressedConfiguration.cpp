#include "hemlockchute/fleet/CompressedConfiguration.h"

#include "fleet/ConfigurationDigest.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/error.hpp>
#include <cassert>

namespace hemlockchute {

namespace zlib = boost::beast::zlib;

CompressedConfiguration::Options CompressedConfiguration::Options::withPartBytes(std::size_t bytes) const
{
    Options copy = *this;
    copy.partBytes = bytes;
    return copy;
}

void CompressedConfiguration::fill(FollowReply& reply, const FollowRequest& request, const ConfigurationBody& configuration)
{
    reply.version = configuration.version;
    if (configuration.version <= request.configuration)
        return;
    if (configuration.body.size() <= m_options.partBytes) {
        reply.configuration = configuration.body;
        return;
    }
    compress(configuration);
    bool continues = request.configurationPartOf == m_version && request.configurationOffset < m_bytes.size();
    std::uint64_t offset = continues ? request.configurationOffset : 0;
    bool isLast = m_bytes.size() - offset <= m_options.partBytes;
    if (reply.hasMore && !isLast)
        return;
    reply.configuration = m_bytes.substr(offset, m_options.partBytes);
    reply.configurationSize = m_bytes.size();
    reply.configurationOffset = offset;
    reply.hasMore = reply.hasMore || !isLast;
}

void CompressedConfiguration::compress(const ConfigurationBody& configuration)
{
    if (configuration.version == m_version)
        return;
    zlib::deflate_stream stream;
    m_bytes.clear();
    m_bytes.resize(stream.upper_bound(configuration.body.size()));
    zlib::z_params parameters;
    parameters.next_in = configuration.body.data();
    parameters.avail_in = configuration.body.size();
    parameters.next_out = m_bytes.data();
    parameters.avail_out = m_bytes.size();
    boost::system::error_code error;
    stream.write(parameters, zlib::Flush::finish, error);
    // With room for the upper bound, the stream ends in one call.
    assert(error == zlib::error::end_of_stream);
    m_bytes.resize(parameters.total_out);
    m_bytes += configurationDigest(configuration.body);
    m_bytes.shrink_to_fit();
    m_version = configuration.version;
    ++m_compressions;
}

} // namespace hemlockchute
