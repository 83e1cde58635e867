#pragma once

#include "keeper/AgreementGroup.h"
#include "keeper/KeeperPeers.h"

#include <boost/asio/awaitable.hpp>

namespace hemlockchute {

//==============================================================================
/**
    Adds, removes or replaces a keeper at the leader, by membership changes of one member each.

    A new keeper joins as a learner and catches up first, so that the quorum does not change until
    its log is complete. Then the old keeper is removed and the new one becomes a voter.

    Thread safety: every method may be called from any thread.

    @see AgreementGroup
*/
class MemberChanger {
public:
    MemberChanger(AgreementGroup&, KeeperPeers&, PeerClient&, const Clock&);

    /** Carries out a change; fails with NotLeader when this keeper is not the leader or loses leadership. */
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
