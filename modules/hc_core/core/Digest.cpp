#include "hemlockchute/core/Digest.h"

#include <cstdio>
#include <xxhash.h>

namespace hemlockchute {

Digest Digest::of(std::string_view bytes)
{
    XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return { hash.high64, hash.low64 };
}

std::string Digest::text() const
{
    char digits[33];
    std::snprintf(digits, sizeof digits, "%016llx%016llx", static_cast<unsigned long long>(m_high), static_cast<unsigned long long>(m_low));
    return digits;
}

} // namespace hemlockchute
