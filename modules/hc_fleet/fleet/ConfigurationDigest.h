#pragma once

#include "hemlockchute/core/Units.h"

#include <string_view>

namespace hemlockchute {

/** The length of configurationDigest(). */
inline constexpr std::size_t configurationDigestBytes = 16;

/** Follows the raw deflate stream of a body, which has no checksum of its own. Thread safety: any thread. */
ByteString configurationDigest(std::string_view body);

} // namespace hemlockchute
