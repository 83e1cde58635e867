#include "router/Dispatcher.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hemlockchute {

namespace asio = boost::asio;

/** A coroutine that waits for a backend server. Its result is guarded by the dispatcher's lock. */
struct Dispatcher::Waiter : std::enable_shared_from_this<Dispatcher::Waiter> {
    explicit Waiter(const asio::any_io_executor& executor)
        : timer(executor)
    {
    }

    asio::steady_timer timer;
    std::optional<DispatchResult> result;
};

Dispatcher::Dispatcher(DispatchTable::Options options, std::uint64_t seed)
    : m_table(std::move(options))
    , m_random(seed)
{
}

asio::awaitable<DispatchResult> Dispatcher::acquireServer(QueuedRequest request, CallerWatch& watch)
{
    auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
    waiter->timer.expires_at(request.deadline);
    Waiters woken;
    bool isModelUnloaded = false;
    {
        std::lock_guard guard(m_lock);
        if (auto refusal = m_table.add(request, currentTime()))
            co_return DispatchResult { std::nullopt, refusal };
        isModelUnloaded = !m_table.isLoaded(request.model, request.adapter);
        m_waiters.emplace(request.ticket, waiter);
        assignAll(woken);
    }
    wake(woken);
    if (isModelUnloaded && m_onUnloadedModelRequest)
        m_onUnloadedModelRequest();
    auto result = resultOf(*waiter);
    bool mayWait = !watch.isCallerDisconnected();
    if (!result && mayWait) {
        watch.onCallerDisconnect([&] { waiter->timer.cancel(); });
        boost::system::error_code ignored;
        co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        watch.clear();
    }
    if (!result)
        result = cancelWait(*waiter, request.ticket);
    if (watch.isCallerDisconnected() && result->server) {
        update([&](DispatchTable& table) { table.recordAttemptOutcome(result->server->name, AttemptOutcome::Unused, currentTime()); });
        result->server.reset();
    }
    co_return *result;
}

QueueTicket Dispatcher::nextTicket()
{
    std::lock_guard guard(m_lock);
    return QueueTicket(++m_lastTicket);
}

std::uint64_t Dispatcher::random()
{
    std::lock_guard guard(m_lock);
    return m_random();
}

void Dispatcher::update(const std::function<void(DispatchTable&)>& apply)
{
    updateAndRefuse([&](DispatchTable& table) {
        apply(table);
        return std::vector<Refusal>();
    });
}

void Dispatcher::updateAndRefuse(const std::function<std::vector<Refusal>(DispatchTable&)>& apply)
{
    Waiters woken;
    {
        std::lock_guard guard(m_lock);
        refuseAll(apply(m_table), woken);
        assignAll(woken);
    }
    wake(woken);
}

void Dispatcher::tick()
{
    updateAndRefuse([](DispatchTable& table) { return table.expire(currentTime()); });
}

//==============================================================================
void Dispatcher::assignAll(Waiters& woken)
{
    while (auto assignment = m_table.assignNext(currentTime(), m_random())) {
        auto waiter = m_waiters.extract(assignment->request.ticket);
        waiter.mapped()->result = DispatchResult { std::move(assignment->server), std::nullopt };
        woken.push_back(std::move(waiter.mapped()));
    }
}

void Dispatcher::refuseAll(const std::vector<Refusal>& refusals, Waiters& woken)
{
    for (const Refusal& refusal : refusals) {
        auto waiter = m_waiters.extract(refusal.ticket);
        waiter.mapped()->result = DispatchResult { std::nullopt, refusal };
        woken.push_back(std::move(waiter.mapped()));
    }
}

void Dispatcher::wake(const Waiters& woken)
{
    for (const auto& waiter : woken)
        asio::post(waiter->timer.get_executor(), [waiter] { waiter->timer.cancel(); });
}

std::optional<DispatchResult> Dispatcher::resultOf(Waiter& waiter)
{
    std::lock_guard guard(m_lock);
    return waiter.result;
}

DispatchResult Dispatcher::cancelWait(Waiter& waiter, QueueTicket ticket)
{
    std::lock_guard guard(m_lock);
    if (waiter.result)
        return *waiter.result;
    m_table.remove(ticket);
    m_waiters.erase(ticket);
    return { std::nullopt, Refusal { ticket, RefusalReason::DeadlinePassed, 1s } };
}

} // namespace hemlockchute
