#pragma once

#include "hemlockchute/core/Digest.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/state/CommandCodec.h"
#include "state/Command.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>

/*
    Conversions between schema fields and C++ types, shared by the codecs of commands and snapshots.
*/
namespace hemlockchute::schema {

inline kj::StringPtr textOf(const std::string& text) { return { text.c_str(), text.size() }; }
template <typename Tag>
kj::StringPtr textOf(const NameId<Tag>& name) { return textOf(name.text()); }
inline kj::ArrayPtr<const kj::byte> dataOf(const ByteString& bytes)
{
    return { reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() };
}
inline std::int64_t millisecondsOf(WallTime time) { return time.time_since_epoch().count(); }

inline std::string asString(capnp::Text::Reader text) { return { text.cStr(), text.size() }; }
inline ByteString asBytes(capnp::Data::Reader data) { return { reinterpret_cast<const char*>(data.begin()), data.size() }; }
inline WallTime asWallTime(std::int64_t milliseconds) { return WallTime(std::chrono::milliseconds(milliseconds)); }
template <typename Name>
Name asName(capnp::Text::Reader text) { return Name(asString(text)); }

//==============================================================================
inline void write(state_schema::Digest::Builder builder, Digest digest)
{
    builder.setHigh(digest.high());
    builder.setLow(digest.low());
}
inline Digest read(state_schema::Digest::Reader reader) { return { reader.getHigh(), reader.getLow() }; }

inline void write(state_schema::Submitter::Builder builder, const Submitter& submitter)
{
    builder.setTeam(textOf(submitter.team));
    builder.setIsAdministrator(submitter.isAdministrator);
}
inline Submitter read(state_schema::Submitter::Reader reader)
{
    return { asName<TeamName>(reader.getTeam()), reader.getIsAdministrator() };
}

void write(state_schema::SubmitAnswer::Builder, const SubmitAnswer&);
SubmitAnswer read(state_schema::SubmitAnswer::Reader);
void write(state_schema::RunAnswer::Builder, const RunAnswer&);
RunAnswer read(state_schema::RunAnswer::Reader);

//==============================================================================
/** The bytes of a message. */
ByteString serialised(capnp::MessageBuilder&);

/** Reads a message with `decode`; a malformed message becomes an error. */
template <typename T, typename Decode>
Result<T, StateErrorCode> parsed(std::string_view bytes, Decode decode)
{
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
        return failure(StateErrorCode::Malformed, "the message is not a whole number of words");
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    capnp::ReaderOptions options;
    // Limits the words that a forged message can make the reader traverse to a few times its size.
    constexpr std::uint64_t readsPerWord = 4;
    constexpr std::uint64_t extraWords = 1024;
    options.traversalLimitInWords = words.size() * readsPerWord + extraWords;
    try {
        capnp::FlatArrayMessageReader reader(words, options);
        return decode(reader);
    } catch (const kj::Exception& error) {
        return failure(StateErrorCode::Malformed, std::string("the message is malformed: ") + error.getDescription().cStr());
    }
}

} // namespace hemlockchute::schema
