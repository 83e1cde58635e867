#include "storage/LogFrame.h"

#include "hemlockchute/core/Digest.h"
#include "storage/ByteCodec.h"

namespace hemlockchute {
namespace {

constexpr std::uint32_t frameMagic = 0x48434C31; // "1LCH" on disk
constexpr std::size_t checkedHeaderSize = 16;

struct Header {
    std::uint32_t bodySize = 0;
    std::uint64_t sequence = 0;
    std::uint64_t bodyChecksum = 0;
};

std::uint64_t headerChecksum(std::string_view checkedHeader, std::uint64_t bodyChecksum, std::size_t offset)
{
    ByteString covered(checkedHeader);
    ByteWriter(covered).number(bodyChecksum).number<std::uint64_t>(offset);
    return Digest::of(covered).low();
}

ByteString checkedHeader(std::uint32_t bodySize, std::uint64_t sequence)
{
    ByteString bytes;
    ByteWriter(bytes).number(frameMagic).number(bodySize).number(sequence);
    return bytes;
}

std::optional<Header> decodeHeader(std::string_view segment, std::size_t offset)
{
    if (offset > segment.size() || segment.size() - offset < LogFrame::headerSize)
        return std::nullopt;
    std::string_view bytes = segment.substr(offset, LogFrame::headerSize);
    ByteReader reader(bytes);
    if (reader.number<std::uint32_t>() != frameMagic)
        return std::nullopt;
    Header header;
    header.bodySize = reader.number<std::uint32_t>();
    header.sequence = reader.number<std::uint64_t>();
    header.bodyChecksum = reader.number<std::uint64_t>();
    if (reader.number<std::uint64_t>() != headerChecksum(bytes.substr(0, checkedHeaderSize), header.bodyChecksum, offset))
        return std::nullopt;
    return header;
}

} // namespace

ByteString LogFrame::encode(std::uint64_t sequence, std::size_t offset, std::string_view body)
{
    ByteString bytes = checkedHeader(static_cast<std::uint32_t>(body.size()), sequence);
    std::uint64_t bodyChecksum = Digest::of(body).low();
    std::uint64_t checksum = headerChecksum(bytes, bodyChecksum, offset);
    ByteWriter(bytes).number(bodyChecksum).number(checksum).bytes(body);
    return bytes;
}

std::optional<LogFrame> LogFrame::decode(std::string_view segment, std::size_t offset)
{
    std::optional<Header> header = decodeHeader(segment, offset);
    if (!header || segment.size() - offset - headerSize < header->bodySize)
        return std::nullopt;
    std::string_view body = segment.substr(offset + headerSize, header->bodySize);
    if (Digest::of(body).low() != header->bodyChecksum)
        return std::nullopt;
    return LogFrame { header->sequence, body, offset + headerSize + header->bodySize };
}

bool LogFrame::hasHeaderAfter(std::string_view segment, std::size_t offset, std::uint64_t leastSequence)
{
    for (std::size_t candidate = offset + 1; candidate + headerSize <= segment.size(); ++candidate) {
        std::optional<Header> header = decodeHeader(segment, candidate);
        if (header && header->sequence >= leastSequence)
            return true;
    }
    return false;
}

} // namespace hemlockchute
