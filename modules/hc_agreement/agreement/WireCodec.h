#pragma once

#include "hemlockchute/agreement/AgreementMessage.h"

#include "agreement/Agreement.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>

namespace hemlockchute::wirecodec {

/** Serialises a finished message. */
ByteString flatten(capnp::MessageBuilder&);

/** Decodes a message by a function of its root; any error in the bytes is reported as Malformed. */
template <typename Root, typename Decode>
auto parse(std::string_view bytes, Decode decode) -> Result<decltype(decode(std::declval<typename Root::Reader>())), AgreementErrorCode>
{
    try {
        auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
        std::copy_n(bytes.data(), words.asBytes().size(), words.asChars().begin());
        capnp::ReaderOptions options;
        options.traversalLimitInWords = std::max<std::uint64_t>(options.traversalLimitInWords, 2 * words.size());
        capnp::FlatArrayMessageReader reader(words, options);
        return decode(reader.getRoot<Root>());
    } catch (const kj::Exception& exception) {
        return failure(AgreementErrorCode::Malformed, exception.getDescription().cStr());
    }
}

inline capnp::Data::Reader toData(std::string_view bytes)
{
    return { reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() };
}

inline ByteString fromData(capnp::Data::Reader data)
{
    return { data.asChars().begin(), data.size() };
}

void write(wire::ReplicaId::Builder, const ReplicaId&);
ReplicaId read(wire::ReplicaId::Reader);
void write(wire::Membership::Builder, const Membership&);
Membership read(wire::Membership::Reader);
void write(wire::LogEntry::Builder, const LogEntry&);
LogEntry read(wire::LogEntry::Reader);

} // namespace hemlockchute::wirecodec
