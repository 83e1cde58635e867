#include "keeper/MemberChanger.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

constexpr Duration pollInterval = 20ms;
constexpr Duration statusTimeout = 1s;

std::vector<ReplicaId> incarnationsOf(KeeperId keeper, const Membership& membership)
{
    std::vector<ReplicaId> incarnations;
    auto collect = [&](const ReplicaId& id) {
        if (id.keeper == keeper)
            incarnations.push_back(id);
    };
    std::for_each(membership.voters.begin(), membership.voters.end(), collect);
    std::for_each(membership.learners.begin(), membership.learners.end(), collect);
    return incarnations;
}

} // namespace

MemberChanger::MemberChanger(AgreementGroup& group, KeeperPeers& peers, PeerClient& client, const Clock& clock)
    : m_group(group)
    , m_peers(peers)
    , m_client(client)
    , m_clock(clock)
{
}

asio::awaitable<Result<void, AgreementErrorCode>> MemberChanger::change(ForwardedMemberChange wanted)
{
    Instant deadline = m_clock.now() + wanted.timeout;
    std::optional<ReplicaId> added;
    if (wanted.add) {
        std::vector<KeeperAddress> addresses(1, *wanted.add);
        m_peers.setAddresses(addresses);
        auto found = co_await findAddedKeeper(*wanted.add, deadline);
        if (!found)
            co_return tl::unexpected(found.error());
        added = *found;
        Done learns = co_await addLearner(*added, deadline);
        if (!learns)
            co_return learns;
    }
    if (wanted.remove) {
        Done removed = co_await removeIncarnations(*wanted.remove, added, deadline);
        if (!removed)
            co_return removed;
    }
    if (added)
        co_return co_await promote(*added, deadline);
    co_return Done();
}

//==============================================================================
asio::awaitable<Result<ReplicaId, AgreementErrorCode>> MemberChanger::findAddedKeeper(const KeeperAddress& keeper, Instant deadline)
{
    if (keeper.id == m_group.status().self)
        co_return ReplicaId { keeper.id, m_group.identity().incarnation };
    std::string detail = "no time was left to ask";
    while (m_clock.now() < deadline) {
        auto bytes = co_await m_client.call(keeper.peer, PeerMethod::ReadStatus, ByteString(), statusTimeout);
        if (bytes) {
            auto report = decodeKeeperReport(*bytes);
            if (!report)
                co_return tl::unexpected(report.error());
            if (report->status.self != keeper.id)
                co_return failure(AgreementErrorCode::ChangeRefused, "the keeper at " + formatEndpoint(keeper.peer) + " has another id");
            co_return ReplicaId { keeper.id, report->identity.incarnation };
        }
        detail = bytes.error().detail;
        co_await pause();
    }
    co_return failure(AgreementErrorCode::ChangeRefused, "the keeper at " + formatEndpoint(keeper.peer) + " does not answer: " + detail);
}

asio::awaitable<MemberChanger::Done> MemberChanger::addLearner(const ReplicaId& id, Instant deadline)
{
    Membership membership = m_group.membership();
    if (membership.voters.contains(id))
        co_return Done();
    if (!membership.learners.contains(id)) {
        membership.learners.insert(id);
        Done added = co_await commitMembership(membership, deadline);
        if (!added)
            co_return added;
    }
    while (!m_group.isCaughtUp(id)) {
        if (!m_group.isLeader())
            co_return failure(AgreementErrorCode::NotLeader, "leadership was lost while the new keeper caught up");
        if (m_clock.now() >= deadline)
            co_return timedOut("the new keeper to catch up");
        co_await pause();
    }
    co_return Done();
}

asio::awaitable<MemberChanger::Done> MemberChanger::removeIncarnations(KeeperId keeper, std::optional<ReplicaId> except, Instant deadline)
{
    for (const ReplicaId& id : incarnationsOf(keeper, m_group.membership())) {
        if (id == except)
            continue;
        Membership membership = m_group.membership();
        membership.voters.erase(id);
        membership.learners.erase(id);
        Done removed = co_await commitMembership(membership, deadline);
        if (!removed)
            co_return removed;
    }
    co_return Done();
}

/** Retries refused promotions: the log grows meanwhile, so that the learner may be a few entries behind at any moment. */
asio::awaitable<MemberChanger::Done> MemberChanger::promote(const ReplicaId& id, Instant deadline)
{
    Done promoted = timedOut("the new keeper to be promoted");
    while (m_clock.now() < deadline) {
        Membership membership = m_group.membership();
        if (membership.voters.contains(id))
            co_return Done();
        membership.learners.erase(id);
        membership.voters.insert(id);
        promoted = co_await commitMembership(membership, deadline);
        if (promoted || promoted.error().code != AgreementErrorCode::ChangeRefused)
            co_return promoted;
        co_await pause();
    }
    co_return promoted;
}

//==============================================================================
asio::awaitable<MemberChanger::Done> MemberChanger::commitMembership(Membership membership, Instant deadline)
{
    auto index = m_group.changeMembership(membership);
    if (!index)
        co_return tl::unexpected(index.error());
    while (m_group.status().committed < *index) {
        bool leads = m_group.isLeader();
        if (!leads && !m_group.isMembershipCommitted())
            co_return failure(AgreementErrorCode::NotLeader, "leadership was lost before the change was agreed on");
        if (m_clock.now() >= deadline)
            co_return timedOut("the change to be agreed on");
        co_await pause();
    }
    if (m_group.membership() != membership)
        co_return failure(AgreementErrorCode::NotLeader, "another leader's change was agreed on instead");
    co_return Done();
}

asio::awaitable<void> MemberChanger::pause()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(pollInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

MemberChanger::Done MemberChanger::timedOut(const char* waitedFor) const
{
    return failure(AgreementErrorCode::ChangeRefused, std::string("no time is left to wait for ") + waitedFor);
}

} // namespace hemlockchute
