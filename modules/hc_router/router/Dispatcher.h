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

/** What became of a request that asked for a place: a server, a refusal, or neither when its caller left. */
struct DispatchResult {
    std::optional<BackendServer> server;
    std::optional<Refusal> refusal;
};

//==============================================================================
/**
    The dispatch table under its lock, and the coroutines that wait for it.

    Thread safety: every method may be called from any thread; place() runs on its caller's strand.

    @see DispatchTable
*/
class Dispatcher {
public:
    Dispatcher(DispatchTable::Options, std::uint64_t seed);

    /** Waits for a place, at most until the request's deadline. */
    boost::asio::awaitable<DispatchResult> acquireServer(QueuedRequest, CallerWatch&);
    /** A ticket for the next request. */
    QueueTicket nextTicket();
    /** Any 64 random bits. */
    std::uint64_t random();

    /** Changes the table, then hands out every place that this opened. */
    void update(const std::function<void(DispatchTable&)>&);
    /** Changes the table by requests refused on the way, then hands out places. */
    void updateAndRefuse(const std::function<std::vector<Refusal>(DispatchTable&)>&);
    /** Looks something up in the table, or changes it without opening a place. */
    template <typename Read>
    auto withTable(Read read)
    {
        std::lock_guard guard(m_lock);
        return read(m_table);
    }
    /** Refuses what is late and hands out places, as time alone may open them. */
    void tick();
    /** Calls back when a request comes in whose model is loaded nowhere. Precondition: no request yet. */
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
