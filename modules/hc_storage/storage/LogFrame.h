#pragma once

#include "hemlockchute/core/Units.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace hemlockchute {

//==============================================================================
/**
    One batch of the write-ahead log as it stands in a segment: a header and a body, each with its
    own checksum.

    The header's checksum covers the frame's place in the file, so that a frame is valid nowhere
    but where it was written. Frames are numbered without a gap over all segments. Thread safety:
    a plain value.

    @see WriteAheadLog
*/
struct LogFrame {
    /** Bytes before the body. */
    static constexpr std::size_t headerSize = 32;

    std::uint64_t sequence = 0;
    std::string_view body;
    /** Where the next frame begins. */
    std::size_t end = 0;

    /** The bytes of a frame that is to stand at an offset of its segment. */
    static ByteString encode(std::uint64_t sequence, std::size_t offset, std::string_view body);
    /** The frame at an offset, or nothing when there is no whole and undamaged one. */
    static std::optional<LogFrame> decode(std::string_view segment, std::size_t offset);
    /** True when a header with that number or a later one stands anywhere behind the offset. */
    static bool hasHeaderAfter(std::string_view segment, std::size_t offset, std::uint64_t leastSequence);
};

} // namespace hemlockchute
