#include "hemlockchute/peer/KeeperClient.h"
#include "hemlockchute/peer/MessageBytes.h"
#include "peer/Peer.capnp.h"

namespace hemlockchute {
namespace {

constexpr auto highestKind = KeeperReply::Kind::Unknown;

} // namespace

KeeperReply keeperReply(GroupReply reply)
{
    static constexpr KeeperReply::Kind kinds[] = { KeeperReply::Kind::Answered, KeeperReply::Kind::NotLeader, KeeperReply::Kind::Unknown };
    return { kinds[static_cast<std::size_t>(reply.kind)], reply.leader.value_or(KeeperId()), std::move(reply.answer) };
}

ByteString encodeKeeperReply(const KeeperReply& reply)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::KeeperReply>();
    root.setKind(static_cast<std::uint8_t>(reply.kind));
    root.setLeader(reply.leader.value());
    root.setAnswer(dataOf(reply.answer));
    return messageBytes(message);
}

Result<KeeperReply, PeerErrorCode> decodeKeeperReply(std::string_view bytes)
{
    return readMessage<wire::KeeperReply, KeeperReply>(bytes, PeerErrorCode::Rejected, [](wire::KeeperReply::Reader root) -> Result<KeeperReply, PeerErrorCode> {
        if (root.getKind() > static_cast<std::uint8_t>(highestKind))
            return failure(PeerErrorCode::Rejected, "an unknown kind of keeper reply");
        return KeeperReply { static_cast<KeeperReply::Kind>(root.getKind()), KeeperId(root.getLeader()), bytesOf(root.getAnswer()) };
    });
}

} // namespace hemlockchute
