#pragma once

#include "hemlockchute/core/Errors.h"
#include "hemlockchute/core/Units.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <string_view>

/*
    Converts Cap'n Proto messages to bytes and back. Include it only from source files, since it
    pulls in the Cap'n Proto headers.
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

/** Serializes a message. Thread safety: any thread. */
inline ByteString messageBytes(capnp::MessageBuilder& message)
{
    kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    kj::ArrayPtr<const kj::byte> bytes = words.asBytes();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

/** Deserializes a message whose root is a `Root` and converts it with `read`; malformed bytes give an error with `code`. Thread safety: any thread. */
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
