#pragma once

#include "hemlockchute/core/Errors.h"
#include "hemlockchute/core/Units.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <string_view>

/*
    Turns Cap'n Proto messages into bytes and back. This header is heavy: include it only from
    source files.
*/
namespace hemlockchute {

inline std::string textOf(capnp::Text::Reader text)
{
    return { text.cStr(), text.size() };
}

inline ByteString bytesOf(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char*>(data.begin()), data.size() };
}

inline capnp::Data::Reader dataOf(std::string_view bytes)
{
    return { reinterpret_cast<const capnp::byte*>(bytes.data()), bytes.size() };
}

/** The bytes of a message. Thread safety: any thread. */
inline ByteString messageBytes(capnp::MessageBuilder& message)
{
    kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    kj::ArrayPtr<const kj::byte> bytes = words.asBytes();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

/** Reads a message whose root is a `Root` with `read`; any fault in the bytes gives `code`. Thread safety: any thread. */
template <typename Root, typename Value, typename Code, typename Read>
Result<Value, Code> readMessage(std::string_view bytes, Code code, Read&& read)
{
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
        return failure(code, "a message is not a whole number of words");
    kj::Array<capnp::word> words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    try {
        capnp::FlatArrayMessageReader reader(words);
        return read(reader.getRoot<Root>());
    } catch (const kj::Exception& exception) {
        return failure(code, exception.getDescription().cStr());
    }
}

} // namespace hemlockchute
