#include "keeper/KeeperMessages.h"

#include "keeper/Keeper.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>

namespace hemlockchute {
namespace {

ByteString flatten(capnp::MessageBuilder& message)
{
    kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    return { words.asChars().begin(), words.asChars().size() };
}

template <typename Root, typename Decode>
auto parse(std::string_view bytes, Decode decode) -> decltype(decode(std::declval<typename Root::Reader>()))
{
    try {
        auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
        std::copy_n(bytes.data(), words.asBytes().size(), words.asChars().begin());
        capnp::FlatArrayMessageReader reader(words);
        return decode(reader.getRoot<Root>());
    } catch (const kj::Exception& exception) {
        return failure(AgreementErrorCode::Malformed, exception.getDescription().cStr());
    }
}

std::string text(capnp::Text::Reader reader)
{
    return { reader.begin(), reader.size() };
}

void writeMembers(keeperwire::KeeperReport::Builder to, const std::vector<KeeperStatus>& members)
{
    auto list = to.initMembers(static_cast<unsigned>(members.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setKeeper(members[i].id.value());
        list[i].setIncarnation(members[i].incarnation.value());
        list[i].setIsVoter(members[i].isVoter);
        list[i].setMatched(members[i].matched.value());
    }
}

void writeInForce(keeperwire::KeeperReport::Builder to, const std::map<HostName, DocumentVersion>& inForce)
{
    auto list = to.initInForce(static_cast<unsigned>(inForce.size()));
    unsigned position = 0;
    for (const auto& [host, version] : inForce) {
        list[position].setHost(host.text());
        list[position++].setVersion(version.value());
    }
}

void writeTerms(keeperwire::KeeperReport::Builder to, const std::map<DataCentreName, TermAnswer>& terms)
{
    auto list = to.initTerms(static_cast<unsigned>(terms.size()));
    unsigned position = 0;
    for (const auto& [dataCentre, term] : terms) {
        auto item = list[position++];
        item.setDataCentre(dataCentre.text());
        item.setGranted(term.granted);
        item.setFencing(term.fencing.value());
        item.setHolder(term.holder.text());
        item.setLeaseNanoseconds(term.lease.count());
    }
}

SystemStatus readStatus(keeperwire::KeeperReport::Reader from)
{
    SystemStatus status;
    status.self = KeeperId(from.getKeeper());
    if (from.getLeader() != 0)
        status.leader = KeeperId(from.getLeader());
    status.term = AgreementTerm(from.getTerm());
    status.committed = LogIndex(from.getCommitted());
    status.version = DocumentVersion(from.getVersion());
    for (auto member : from.getMembers())
        status.keepers.push_back({ KeeperId(member.getKeeper()), IncarnationId(member.getIncarnation()), member.getIsVoter(), LogIndex(member.getMatched()) });
    for (auto host : from.getInForce())
        status.inForce[HostName(text(host.getHost()))] = DocumentVersion(host.getVersion());
    for (auto term : from.getTerms())
        status.terms[DataCentreName(text(term.getDataCentre()))] = { term.getGranted(), FencingNumber(term.getFencing()), HostName(text(term.getHolder())), Duration(term.getLeaseNanoseconds()) };
    return status;
}

} // namespace

//==============================================================================
ByteString encodeKeeperReport(const KeeperReport& report)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<keeperwire::KeeperReport>();
    ByteString identity = encodeIdentity(report.identity);
    root.setKeeper(report.status.self.value());
    root.setIdentity({ reinterpret_cast<const kj::byte*>(identity.data()), identity.size() });
    root.setLeader(report.status.leader.value_or(KeeperId()).value());
    root.setTerm(report.status.term.value());
    root.setCommitted(report.status.committed.value());
    root.setVersion(report.status.version.value());
    writeMembers(root, report.status.keepers);
    writeInForce(root, report.status.inForce);
    writeTerms(root, report.status.terms);
    return flatten(builder);
}

Result<KeeperReport, AgreementErrorCode> decodeKeeperReport(std::string_view bytes)
{
    return parse<keeperwire::KeeperReport>(bytes, [](keeperwire::KeeperReport::Reader root) -> Result<KeeperReport, AgreementErrorCode> {
        capnp::Data::Reader data = root.getIdentity();
        auto identity = decodeIdentity({ data.asChars().begin(), data.size() });
        if (!identity)
            return tl::unexpected(identity.error());
        return KeeperReport { *identity, readStatus(root) };
    });
}

ByteString encodeMemberChange(const ForwardedMemberChange& change)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<keeperwire::MemberChange>();
    root.setRemove(change.remove.value_or(KeeperId()).value());
    if (change.add) {
        root.setAdd(change.add->id.value());
        root.setAddHost(change.add->host.text());
        root.setAddDataCentre(change.add->dataCentre.text());
        root.setAddPeer(formatEndpoint(change.add->peer));
    }
    root.setTimeoutNanoseconds(change.timeout.count());
    return flatten(builder);
}

Result<ForwardedMemberChange, AgreementErrorCode> decodeMemberChange(std::string_view bytes)
{
    return parse<keeperwire::MemberChange>(bytes, [](keeperwire::MemberChange::Reader root) -> Result<ForwardedMemberChange, AgreementErrorCode> {
        ForwardedMemberChange change;
        if (root.getRemove() != 0)
            change.remove = KeeperId(root.getRemove());
        if (root.getAdd() != 0) {
            std::optional<Endpoint> peer = parseEndpoint(text(root.getAddPeer()));
            if (!peer)
                return failure(AgreementErrorCode::Malformed, "the keeper to be added has no address");
            change.add = KeeperAddress { KeeperId(root.getAdd()), HostName(text(root.getAddHost())), DataCentreName(text(root.getAddDataCentre())), *peer };
        }
        change.timeout = Duration(root.getTimeoutNanoseconds());
        return change;
    });
}

ByteString encodeMemberChangeReply(const Result<void, AgreementErrorCode>& result)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<keeperwire::MemberChangeReply>();
    root.setDone(result.has_value());
    if (!result) {
        root.setCode(static_cast<std::uint8_t>(result.error().code));
        root.setDetail(result.error().detail);
    }
    return flatten(builder);
}

Result<void, AgreementErrorCode> decodeMemberChangeReply(std::string_view bytes)
{
    return parse<keeperwire::MemberChangeReply>(bytes, [](keeperwire::MemberChangeReply::Reader root) -> Result<void, AgreementErrorCode> {
        if (root.getDone())
            return {};
        return failure(static_cast<AgreementErrorCode>(root.getCode()), text(root.getDetail()));
    });
}

} // namespace hemlockchute
