#pragma once

#include "controller/ControllerContext.h"
#include "controller/ControllerMessages.h"
#include "controller/FleetShares.h"
#include "controller/PermitLedger.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>

namespace hemlockchute {

//==============================================================================
/**
    What a leading controller does during one term: reads its engines' states, plans, and gives
    orders.

    Ends for good when the term does. Thread safety: only on the context's strand.

    @see LeaseKeeper, OrderBook
*/
class PlacementTerm : public std::enable_shared_from_this<PlacementTerm> {
public:
    /** Precondition: the context's lease holds the term. `held` is what this host recorded for earlier leaders. */
    PlacementTerm(std::shared_ptr<ControllerContext>, OrderRecord held);

    void start();
    /** Gives no more orders; what runs ends by itself. */
    void stop();

    FencingNumber fencing() const { return m_fencing; }
    /** Plans soon, as when requests wait for something new. */
    void planSoon();
    void setServers(const std::vector<BackendServer>&);
    void setDocument(const DocumentPointer&);
    /** What routers are told. */
    PlacementView view() const;
    /** Takes another data centre's reports on the fleet-wide limits, and answers with this one's. */
    std::vector<ShareReport> exchangeShares(const DataCentreName& from, const std::vector<ShareReport>&);

    /** The orders whose outcome is not known, for a successor. */
    OrderRecord record() { return m_book.record(); }
    /** Orders sent, and orders whose outcome is not known, for the metrics. */
    unsigned ordersSent() const { return m_ordersSent; }
    const OrderBook& book() const { return m_book; }

private:
    using Timer = boost::asio::steady_timer;

    bool isLive() const;
    bool mayOrder() const;
    boost::asio::awaitable<void> sleep(Timer&, Duration);

    boost::asio::awaitable<void> takeOver();
    boost::asio::awaitable<bool> readOrders(EntryHostAddress);

    void startPollers();
    boost::asio::awaitable<void> poll(BackendServerName);
    boost::asio::awaitable<void> readState(BackendServer);
    std::optional<BackendServer> server(const BackendServerName&) const;
    void pollSoon(const BackendServerName&);

    boost::asio::awaitable<void> planAgainAndAgain();
    void plan();
    PlannerInput plannerInput(Instant now);
    void takeStep(const PlanStep&, std::vector<RecordedOrder>& orders, Instant now);
    std::optional<OrderBook::OrderRequest> orderFor(const PlanStep&) const;

    void tendPermits(Instant now);
    void askPermits(const ModelName&, unsigned wanted, Instant now);
    void givePermitsBack(const ModelName&, unsigned kept);
    boost::asio::awaitable<void> recordAndPropose(ModelName, CommandBody);
    boost::asio::awaitable<void> proposePermits(ModelName, CommandBody);

    boost::asio::awaitable<void> sendOrders(std::vector<RecordedOrder>);
    boost::asio::awaitable<void> recordAtOthers();
    boost::asio::awaitable<void> sendOrder(RecordedOrder);

    boost::asio::awaitable<void> exchangeAgainAndAgain(DataCentreName);

    std::shared_ptr<ControllerContext> m_context;
    FencingNumber m_fencing;
    OrderBook m_book;
    PermitLedger m_permits;
    FleetShares m_shares;
    OrderRecord m_held;
    bool m_isStopped = false;
    bool m_isTakenOver = false;
    unsigned m_ordersSent = 0;
    Timer m_planTimer;
    std::map<BackendServerName, std::shared_ptr<Timer>> m_pollers;
    std::map<ModelName, Instant> m_permitsAsked;
    std::map<HostName, Instant> m_leftOutUntil;
};

} // namespace hemlockchute
