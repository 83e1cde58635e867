#include "hemlockchute/peer/DocumentFollower.h"
#include "hemlockchute/peer/MessageBytes.h"
#include "peer/Peer.capnp.h"

namespace hemlockchute {
namespace {

void writeDelta(wire::SectionDelta::Builder target, const SectionDelta& delta)
{
    target.setBaseVersion(delta.baseVersion.value());
    target.setVersion(delta.version.value());
    target.setDigestHigh(delta.digest.high());
    target.setDigestLow(delta.digest.low());
    auto sections = target.initSections(static_cast<unsigned>(delta.sections.size()));
    unsigned index = 0;
    for (const auto& [team, text] : delta.sections) {
        auto section = sections[index++];
        section.setTeam(team.text().c_str());
        if (text)
            section.setText(text->c_str());
        else
            section.setRemoved();
    }
}

SectionDelta readDelta(wire::SectionDelta::Reader source)
{
    SectionDelta delta;
    delta.baseVersion = DocumentVersion(source.getBaseVersion());
    delta.version = DocumentVersion(source.getVersion());
    delta.digest = Digest(source.getDigestHigh(), source.getDigestLow());
    for (auto section : source.getSections()) {
        auto& text = delta.sections[TeamName(textOf(section.getTeam()))];
        if (section.isText())
            text = textOf(section.getText());
    }
    return delta;
}

FollowRequest readRequest(wire::FollowRequest::Reader root)
{
    FollowRequest request;
    request.version = DocumentVersion(root.getVersion());
    request.digest = Digest(root.getDigestHigh(), root.getDigestLow());
    for (auto host : root.getInForce())
        request.inForce[HostName(textOf(host.getHost()))] = DocumentVersion(host.getVersion());
    request.isCheck = root.getIsCheck();
    return request;
}

FollowReply readReply(wire::FollowReply::Reader root)
{
    FollowReply reply;
    reply.version = DocumentVersion(root.getVersion());
    if (root.isDelta())
        reply.delta = readDelta(root.getDelta());
    if (root.isText())
        reply.text = textOf(root.getText());
    return reply;
}

} // namespace

ByteString encodeFollowRequest(const FollowRequest& request)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::FollowRequest>();
    root.setVersion(request.version.value());
    root.setDigestHigh(request.digest.high());
    root.setDigestLow(request.digest.low());
    root.setIsCheck(request.isCheck);
    auto hosts = root.initInForce(static_cast<unsigned>(request.inForce.size()));
    unsigned index = 0;
    for (const auto& [host, version] : request.inForce) {
        hosts[index].setHost(host.text().c_str());
        hosts[index++].setVersion(version.value());
    }
    return messageBytes(message);
}

Result<FollowRequest, PeerErrorCode> decodeFollowRequest(std::string_view bytes)
{
    return readMessage<wire::FollowRequest, FollowRequest>(bytes, PeerErrorCode::Rejected,
        [](wire::FollowRequest::Reader root) -> Result<FollowRequest, PeerErrorCode> { return readRequest(root); });
}

ByteString encodeFollowReply(const FollowReply& reply)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::FollowReply>();
    root.setVersion(reply.version.value());
    if (reply.delta)
        writeDelta(root.initDelta(), *reply.delta);
    else if (reply.text)
        root.setText(capnp::Text::Reader(reply.text->c_str(), reply.text->size()));
    else
        root.setNothingNew();
    return messageBytes(message);
}

Result<FollowReply, PeerErrorCode> decodeFollowReply(std::string_view bytes)
{
    return readMessage<wire::FollowReply, FollowReply>(bytes, PeerErrorCode::Rejected,
        [](wire::FollowReply::Reader root) -> Result<FollowReply, PeerErrorCode> { return readReply(root); });
}

} // namespace hemlockchute
