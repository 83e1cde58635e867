#pragma once

#include "keeper/AgreementGroup.h"
#include "keeper/KeeperPeers.h"

#include <boost/asio/awaitable.hpp>

namespace hemlockchute {

//==============================================================================
/**
    Brings a keeper in and another out, one step of the membership at a time, at the leader.

    A new keeper comes in as a learner and catches up first, so that the quorum is not touched
    until it holds everything; then the old one goes, and the new one votes. Thread safety: every
    method may be called from any thread.

    @see AgreementGroup
*/
class MemberChanger {
public:
    MemberChanger(AgreementGroup&, KeeperPeers&, PeerClient&, const Clock&);

    /** Carries out a change; NotLeader when this keeper does not lead, or leads no more. */
    boost::asio::awaitable<Result<void, AgreementErrorCode>> change(ForwardedMemberChange);

private:
    using Done = Result<void, AgreementErrorCode>;

    boost::asio::awaitable<Result<ReplicaId, AgreementErrorCode>> findAddedKeeper(const KeeperAddress&, Instant deadline);
    boost::asio::awaitable<Done> addLearner(const ReplicaId&, Instant deadline);
    boost::asio::awaitable<Done> removeIncarnations(KeeperId, std::optional<ReplicaId> except, Instant deadline);
    boost::asio::awaitable<Done> promote(const ReplicaId&, Instant deadline);
    boost::asio::awaitable<Done> commitMembership(Membership, Instant deadline);
    boost::asio::awaitable<void> pause();
    Done timedOut(const char* waitedFor) const;

    AgreementGroup& m_group;
    KeeperPeers& m_peers;
    PeerClient& m_client;
    const Clock& m_clock;
};

} // namespace hemlockchute
