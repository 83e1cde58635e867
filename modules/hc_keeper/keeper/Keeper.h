#pragma once

#include "hemlockchute/core/RoleService.h"
#include "hemlockchute/http/HttpServer.h"
#include "keeper/AgreementGroup.h"
#include "keeper/KeeperPeers.h"
#include "keeper/KeeperSettings.h"
#include "keeper/MemberChanger.h"
#include "keeper/OperatorApi.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace hemlockchute {

//==============================================================================
/**
    A running keeper: its Raft replica, the server for calls of other processes, and the HTTP
    interface for operators.

    Thread safety: every method may be called from any thread.

    @see KeeperOperations
*/
class Keeper : public KeeperOperations {
public:
    /** `nextIncarnation` replaces the data folder's incarnation when the folder turns out to have been rolled back to an older state. */
    Keeper(boost::asio::io_context&, const KeeperSettings&, std::unique_ptr<KeeperDisk>, IncarnationId nextIncarnation);
    ~Keeper() override;

    Result<void, RoleErrorCode> start();
    /** Applies the keepers' addresses and the operators' tokens of reloaded settings. */
    void reload(const KeeperSettings&);
    /** Drains the operators' requests, then stops the replica and the server; calls `done` once. */
    void stop(std::function<void()> done);

    //==============================================================================
    boost::asio::awaitable<Result<Answer, KeeperClientErrorCode>> propose(CommandBody, Duration timeout) override;
    boost::asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> readRun(IdempotencyKey, Duration timeout) override;
    DocumentSource& documents() override { return m_documents; }
    SystemStatus status() const override;
    boost::asio::awaitable<Result<void, AgreementErrorCode>> changeMembers(std::optional<KeeperId> remove, std::optional<KeeperAddress> add, Duration timeout) override;

private:
    void serveCalls();
    void serveAgreement(PeerCall);
    void servePropose(PeerCall);
    void serveReadRun(PeerCall);
    void serveStatus(PeerCall);
    void serveChangeMembers(PeerCall);
    Result<void, RoleErrorCode> listen();
    boost::asio::awaitable<Result<void, AgreementErrorCode>> changeMembersOnce(ForwardedMemberChange);
    void tick();
    void bootstrapIfPossible();
    AgreementGroupHooks hooks();

    boost::asio::io_context& m_context;
    KeeperSettings m_settings;
    SystemClock m_clock;
    PeerIdentity m_identity;
    PeerClient m_client;
    PeerServer m_server;
    KeeperClient m_keepers;
    KeeperPeers m_peers;
    DocumentSource m_documents;
    AgreementGroup m_group;
    MemberChanger m_changer;
    OperatorApi m_api;
    HttpServer m_operators;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_timer;
    Instant m_nextPoll;
    bool m_hasLoggedAwaitingMembership = false;
    std::atomic<bool> m_isStopping { false };
};

} // namespace hemlockchute
