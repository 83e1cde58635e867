#include "agreement/WireCodec.h"

namespace hemlockchute {
namespace wirecodec {

ByteString flatten(capnp::MessageBuilder& message)
{
    kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    return { words.asChars().begin(), words.asChars().size() };
}

void write(wire::ReplicaId::Builder to, const ReplicaId& id)
{
    to.setKeeper(id.keeper.value());
    to.setIncarnation(id.incarnation.value());
}

ReplicaId read(wire::ReplicaId::Reader from)
{
    return { KeeperId(from.getKeeper()), IncarnationId(from.getIncarnation()) };
}

namespace {

void writeSet(capnp::List<wire::ReplicaId>::Builder to, const std::set<ReplicaId>& ids)
{
    unsigned position = 0;
    for (const ReplicaId& id : ids)
        write(to[position++], id);
}

std::set<ReplicaId> readSet(capnp::List<wire::ReplicaId>::Reader from)
{
    std::set<ReplicaId> ids;
    for (wire::ReplicaId::Reader id : from)
        ids.insert(read(id));
    return ids;
}

} // namespace

void write(wire::Membership::Builder to, const Membership& membership)
{
    writeSet(to.initVoters(static_cast<unsigned>(membership.voters.size())), membership.voters);
    writeSet(to.initLearners(static_cast<unsigned>(membership.learners.size())), membership.learners);
}

Membership read(wire::Membership::Reader from)
{
    return { readSet(from.getVoters()), readSet(from.getLearners()) };
}

void write(wire::LogEntry::Builder to, const LogEntry& entry)
{
    to.setIndex(entry.index.value());
    to.setTerm(entry.term.value());
    to.setKind(static_cast<std::uint8_t>(entry.kind));
    to.setPayload(toData(entry.payload));
}

LogEntry read(wire::LogEntry::Reader from)
{
    return { LogIndex(from.getIndex()), AgreementTerm(from.getTerm()), static_cast<LogEntry::Kind>(from.getKind()), fromData(from.getPayload()) };
}

} // namespace wirecodec

namespace {

using namespace wirecodec;

/** Writes each kind of body into the message's union. */
struct BodyWriter {
    wire::AgreementMessage::Builder message;

    void operator()(const VoteRequest& body)
    {
        auto to = message.initVoteRequest();
        to.setIsPreVote(body.isPreVote);
        to.setLastIndex(body.lastIndex.value());
        to.setLastTerm(body.lastTerm.value());
    }

    void operator()(const VoteReply& body)
    {
        auto to = message.initVoteReply();
        to.setIsPreVote(body.isPreVote);
        to.setGranted(body.granted);
    }

    void operator()(const AppendRequest& body)
    {
        auto to = message.initAppendRequest();
        to.setPreviousIndex(body.previousIndex.value());
        to.setPreviousTerm(body.previousTerm.value());
        auto entries = to.initEntries(static_cast<unsigned>(body.entries.size()));
        for (unsigned i = 0; i < entries.size(); ++i)
            write(entries[i], body.entries[i]);
        to.setCommitted(body.committed.value());
        to.setRound(body.sentAt);
        to.setAcknowledged(body.acknowledged.value());
    }

    void operator()(const AppendReply& body)
    {
        auto to = message.initAppendReply();
        to.setAccepted(body.accepted);
        to.setMatched(body.matched.value());
        to.setRound(body.sentAt);
    }

    void operator()(const SnapshotChunk& body)
    {
        auto to = message.initSnapshotChunk();
        to.setLastIndex(body.lastIndex.value());
        to.setLastTerm(body.lastTerm.value());
        write(to.initMembership(), body.membership);
        to.setOffset(body.offset);
        to.setBytes(toData(body.bytes));
        to.setIsLast(body.isLast);
        to.setRound(body.sentAt);
    }

    void operator()(const SnapshotReply& body)
    {
        auto to = message.initSnapshotReply();
        to.setLastIndex(body.lastIndex.value());
        to.setReceived(body.received);
        to.setRound(body.sentAt);
    }

    void operator()(const LeadRelease& body) { write(message.initLeadRelease().initSuccessor(), body.successor); }
};

VoteRequest readBody(wire::VoteRequest::Reader from)
{
    return { from.getIsPreVote(), LogIndex(from.getLastIndex()), AgreementTerm(from.getLastTerm()) };
}

VoteReply readBody(wire::VoteReply::Reader from)
{
    return { from.getIsPreVote(), from.getGranted() };
}

AppendRequest readBody(wire::AppendRequest::Reader from)
{
    AppendRequest body { LogIndex(from.getPreviousIndex()), AgreementTerm(from.getPreviousTerm()), {}, LogIndex(from.getCommitted()), from.getRound(), LogIndex(from.getAcknowledged()) };
    for (wire::LogEntry::Reader entry : from.getEntries())
        body.entries.push_back(read(entry));
    return body;
}

AppendReply readBody(wire::AppendReply::Reader from)
{
    return { from.getAccepted(), LogIndex(from.getMatched()), from.getRound() };
}

SnapshotChunk readBody(wire::SnapshotChunk::Reader from)
{
    return { LogIndex(from.getLastIndex()), AgreementTerm(from.getLastTerm()), read(from.getMembership()), from.getOffset(),
        fromData(from.getBytes()), from.getIsLast(), from.getRound() };
}

SnapshotReply readBody(wire::SnapshotReply::Reader from)
{
    return { LogIndex(from.getLastIndex()), from.getReceived(), from.getRound() };
}

AgreementBody readUnion(wire::AgreementMessage::Reader from)
{
    switch (from.which()) {
    case wire::AgreementMessage::VOTE_REQUEST:
        return readBody(from.getVoteRequest());
    case wire::AgreementMessage::VOTE_REPLY:
        return readBody(from.getVoteReply());
    case wire::AgreementMessage::APPEND_REQUEST:
        return readBody(from.getAppendRequest());
    case wire::AgreementMessage::APPEND_REPLY:
        return readBody(from.getAppendReply());
    case wire::AgreementMessage::SNAPSHOT_CHUNK:
        return readBody(from.getSnapshotChunk());
    case wire::AgreementMessage::SNAPSHOT_REPLY:
        return readBody(from.getSnapshotReply());
    case wire::AgreementMessage::LEAD_RELEASE:
        return LeadRelease { read(from.getLeadRelease().getSuccessor()) };
    }
    KJ_FAIL_REQUIRE("unknown kind of message");
}

} // namespace

ByteString encodeMessage(const AgreementMessage& message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<wire::AgreementMessage>();
    write(root.initFrom(), message.from);
    write(root.initTo(), message.to);
    root.setTerm(message.term.value());
    std::visit(BodyWriter { root }, message.body);
    return flatten(builder);
}

Result<AgreementMessage, AgreementErrorCode> decodeMessage(std::string_view bytes)
{
    return parse<wire::AgreementMessage>(bytes, [](wire::AgreementMessage::Reader root) {
        return AgreementMessage { read(root.getFrom()), read(root.getTo()), AgreementTerm(root.getTerm()), readUnion(root) };
    });
}

ByteString encodeMembership(const Membership& membership)
{
    capnp::MallocMessageBuilder builder;
    write(builder.initRoot<wire::Membership>(), membership);
    return flatten(builder);
}

Result<Membership, AgreementErrorCode> decodeMembership(std::string_view bytes)
{
    return parse<wire::Membership>(bytes, [](wire::Membership::Reader root) { return read(root); });
}

ByteString encodeEntry(const LogEntry& entry)
{
    capnp::MallocMessageBuilder builder;
    write(builder.initRoot<wire::LogEntry>(), entry);
    return flatten(builder);
}

Result<LogEntry, AgreementErrorCode> decodeEntry(std::string_view bytes)
{
    return parse<wire::LogEntry>(bytes, [](wire::LogEntry::Reader root) { return read(root); });
}

} // namespace hemlockchute
