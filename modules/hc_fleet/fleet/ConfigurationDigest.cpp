#include "fleet/ConfigurationDigest.h"

#include "hemlockchute/core/Digest.h"

#include <array>
#include <boost/endian/conversion.hpp>

namespace hemlockchute {

ByteString configurationDigest(std::string_view body)
{
    Digest digest = Digest::of(body);
    std::array<unsigned char, configurationDigestBytes> bytes {};
    boost::endian::store_big_u64(bytes.data(), digest.high());
    boost::endian::store_big_u64(bytes.data() + sizeof(std::uint64_t), digest.low());
    return { bytes.begin(), bytes.end() };
}

} // namespace hemlockchute
