#pragma once

#include "controller/PlacementTerm.h"
#include "hemlockchute/core/RoleService.h"
#include "hemlockchute/http/HttpServer.h"

#include <functional>
#include <memory>

namespace hemlockchute {

//==============================================================================
/**
    One controller: follows the document and hands it on, seeks its data centre's term, and leads
    while it holds it.

    Thread safety: every method may be called from any thread.

    @see PlacementTerm
*/
class Controller : public std::enable_shared_from_this<Controller> {
public:
    Controller(boost::asio::io_context&, ControllerSettings, std::string lifeId);

    Result<void, RoleErrorCode> start();
    /** Gives up the term, closes what is open, then calls `done` once. */
    void stop(std::function<void()> done);

private:
    using Timer = boost::asio::steady_timer;
    using Handler = void (Controller::*)(PeerCall&);

    void serve(PeerMethod, Handler);
    void answerDemand(PeerCall&);
    void answerRecord(PeerCall&);
    void answerOrders(PeerCall&);
    void answerPromise(PeerCall&);
    void answerShares(PeerCall&);

    boost::asio::awaitable<void> keepLease();
    void tendLease();
    boost::asio::awaitable<void> propose(LeaseKeeper::KeeperCommand);
    void askPromises(const LeaseKeeper::PromiseRound&);
    void beginOrEndTerm();
    void endTerm();
    boost::asio::awaitable<void> giveUpTerm();
    boost::asio::awaitable<void> finish(std::function<void()> done);

    boost::asio::awaitable<void> answerOperator(HttpExchange&);
    HttpResponse metrics() const;
    HttpResponse readiness() const;

    std::shared_ptr<ControllerContext> m_context;
    PeerServer m_server;
    HttpServer m_operators;
    DocumentFollower m_follower;
    Timer m_tick;
    std::shared_ptr<PlacementTerm> m_term;
    /** The last leader's orders, kept for its successor. */
    OrderRecord m_held;
    bool m_isStopping = false;
};

} // namespace hemlockchute
