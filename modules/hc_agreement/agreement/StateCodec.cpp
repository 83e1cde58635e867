#include "hemlockchute/agreement/StateCodec.h"

#include "agreement/WireCodec.h"

namespace hemlockchute {

using namespace wirecodec;

ByteString encodeSnapshot(const ReplicaSnapshot& snapshot)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<wire::ReplicaSnapshot>();
    root.setLastIndex(snapshot.lastIndex.value());
    root.setLastTerm(snapshot.lastTerm.value());
    write(root.initMembership(), snapshot.membership);
    root.setState(toData(snapshot.state));
    return flatten(builder);
}

Result<ReplicaSnapshot, AgreementErrorCode> decodeSnapshot(std::string_view bytes)
{
    return parse<wire::ReplicaSnapshot>(bytes, [](wire::ReplicaSnapshot::Reader root) {
        return ReplicaSnapshot { LogIndex(root.getLastIndex()), AgreementTerm(root.getLastTerm()), read(root.getMembership()), fromData(root.getState()) };
    });
}

ByteString encodeHardState(const HardState& state)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<wire::HardState>();
    root.setTerm(state.term.value());
    root.setHasVoted(state.votedFor.has_value());
    if (state.votedFor)
        write(root.initVotedFor(), *state.votedFor);
    return flatten(builder);
}

Result<HardState, AgreementErrorCode> decodeHardState(std::string_view bytes)
{
    return parse<wire::HardState>(bytes, [](wire::HardState::Reader root) {
        HardState state { AgreementTerm(root.getTerm()), std::nullopt };
        if (root.getHasVoted())
            state.votedFor = read(root.getVotedFor());
        return state;
    });
}

ByteString encodeIdentity(const KeeperIdentity& identity)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<wire::KeeperIdentity>();
    root.setIncarnation(identity.incarnation.value());
    root.setHasBegun(identity.initialMembership.has_value());
    if (identity.initialMembership)
        write(root.initInitialMembership(), *identity.initialMembership);
    return flatten(builder);
}

Result<KeeperIdentity, AgreementErrorCode> decodeIdentity(std::string_view bytes)
{
    return parse<wire::KeeperIdentity>(bytes, [](wire::KeeperIdentity::Reader root) {
        KeeperIdentity identity { IncarnationId(root.getIncarnation()), std::nullopt };
        if (root.getHasBegun())
            identity.initialMembership = read(root.getInitialMembership());
        return identity;
    });
}

} // namespace hemlockchute
