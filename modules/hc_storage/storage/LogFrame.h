#pragma once

#include "hemlockchute/core/Units.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace hemlockchute {

//==============================================================================
/**
    One batch of the write-ahead log as stored in a segment: a header and a body, each with its own
    checksum.

    The header's checksum covers the frame's offset in the file, so that a frame is valid only where
    it was written. Frames are numbered consecutively across all segments. Thread safety: a plain
    value.

    @see WriteAheadLog
*/
struct LogFrame {
    /** Size of the header in bytes. */
    static constexpr std::size_t headerSize = 32;

    std::uint64_t sequence = 0;
    std::string_view body;
    /** Offset of the next frame in the segment. */
    std::size_t end = 0;

    /** Encodes a frame for an offset of its segment. */
    static ByteString encode(std::uint64_t sequence, std::size_t offset, std::string_view body);
    /** Decodes the frame at an offset; empty when it is incomplete or damaged. */
    static std::optional<LogFrame> decode(std::string_view segment, std::size_t offset);
    /** True when a valid header with that sequence number or a later one follows anywhere after the offset. */
    static bool hasHeaderAfter(std::string_view segment, std::size_t offset, std::uint64_t leastSequence);
};

} // namespace hemlockchute
