#pragma once

#include "hemlockchute/router/DispatchTable.h"
#include "router/CallerWatch.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <unordered_map>
#include <vector>

namespace hemlockchute {

/** The backend server assigned to a request, or why it was refused; neither when its caller disconnected. */
struct DispatchResult {
    std::optional<BackendServer> server;
    std::optional<Refusal> refusal;
};

//==============================================================================
/**
    Guards the dispatch table with a lock and suspends requests until a backend server is assigned to them.

    Thread safety: every method may be called from any thread; acquireServer() must run on its caller's strand.

    @see DispatchTable
*/
class Dispatcher {
public:
    Dispatcher(DispatchTable::Options, std::uint64_t seed);

    /** Queues the request and waits for a backend server, at most until the request's deadline. */
    boost::asio::awaitable<DispatchResult> acquireServer(QueuedRequest, CallerWatch&);
    QueueTicket nextTicket();
    std::uint64_t random();

    /** Changes the table, then assigns waiting requests to the slots that became free. */
    void update(const std::function<void(DispatchTable&)>&);
    /** Changes the table, refuses the requests that the change returns, then assigns waiting ones. */
    void updateAndRefuse(const std::function<std::vector<Refusal>(DispatchTable&)>&);
    /** Reads the table, or changes it in a way that frees no slot. */
    template <typename Read>
    auto withTable(Read read)
    {
        std::lock_guard guard(m_lock);
        return read(m_table);
    }
    /** Refuses expired requests and assigns waiting ones, since servers also become usable by the passage of time. */
    void tick();
    /** Sets the callback for a request whose model is loaded on no server. Precondition: no request has been queued. */
    void onUnloadedModelRequest(std::function<void()> callback) { m_onUnloadedModelRequest = std::move(callback); }

private:
    struct Waiter;
    using Waiters = std::vector<std::shared_ptr<Waiter>>;

    void assignAll(Waiters& woken);
    void refuseAll(const std::vector<Refusal>&, Waiters& woken);
    static void wake(const Waiters&);
    std::optional<DispatchResult> resultOf(Waiter&);
    DispatchResult cancelWait(Waiter&, QueueTicket);

    std::mutex m_lock;
    DispatchTable m_table;
    std::mt19937_64 m_random;
    std::uint64_t m_lastTicket = 0;
    std::unordered_map<QueueTicket, std::shared_ptr<Waiter>> m_waiters;
    std::function<void()> m_onUnloadedModelRequest;
};

} // namespace hemlockchute
