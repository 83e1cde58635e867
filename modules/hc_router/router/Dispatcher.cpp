#include "router/Dispatcher.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hemlockchute {

namespace asio = boost::asio;

/** A coroutine that waits for a place. Its result is guarded by the dispatcher's lock. */
struct Dispatcher::Waiter : std::enable_shared_from_this<Dispatcher::Waiter> {
    explicit Waiter(const asio::any_io_executor& executor)
        : timer(executor)
    {
    }

    asio::steady_timer timer;
    std::optional<Placing> result;
};

Dispatcher::Dispatcher(DispatchTable::Options options, std::uint64_t seed)
    : m_table(std::move(options))
    , m_random(seed)
{
}

asio::awaitable<Placing> Dispatcher::place(QueuedRequest request, CallerWatch& watch)
{
    auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
    waiter->timer.expires_at(request.deadline);
    Waiters woken;
    bool isCold = false;
    {
        std::lock_guard guard(m_lock);
        if (auto refusal = m_table.add(request, currentTime()))
            co_return Placing { std::nullopt, refusal };
        isCold = !m_table.isLoaded(request.model, request.adapter);
        m_waiters.emplace(request.ticket, waiter);
        assignAll(woken);
    }
    wake(woken);
    if (isCold && m_cold)
        m_cold();
    auto result = takeResult(*waiter);
    bool mayWait = !watch.hasLeft();
    if (!result && mayWait) {
        watch.whenLeft([&] { waiter->timer.cancel(); });
        boost::system::error_code ignored;
        co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        watch.clear();
    }
    if (!result)
        result = giveUp(*waiter, request.ticket);
    if (watch.hasLeft() && result->server) {
        change([&](DispatchTable& table) { table.noteEnd(result->server->name, AttemptEnd::Unused, currentTime()); });
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

void Dispatcher::change(const std::function<void(DispatchTable&)>& apply)
{
    changeRefusing([&](DispatchTable& table) {
        apply(table);
        return std::vector<Refusal>();
    });
}

void Dispatcher::changeRefusing(const std::function<std::vector<Refusal>(DispatchTable&)>& apply)
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
    changeRefusing([](DispatchTable& table) { return table.expire(currentTime()); });
}

//==============================================================================
void Dispatcher::assignAll(Waiters& woken)
{
    while (auto assignment = m_table.assignNext(currentTime(), m_random())) {
        auto waiter = m_waiters.extract(assignment->request.ticket);
        waiter.mapped()->result = Placing { std::move(assignment->server), std::nullopt };
        woken.push_back(std::move(waiter.mapped()));
    }
}

void Dispatcher::refuseAll(const std::vector<Refusal>& refusals, Waiters& woken)
{
    for (const Refusal& refusal : refusals) {
        auto waiter = m_waiters.extract(refusal.ticket);
        waiter.mapped()->result = Placing { std::nullopt, refusal };
        woken.push_back(std::move(waiter.mapped()));
    }
}

void Dispatcher::wake(const Waiters& woken)
{
    for (const auto& waiter : woken)
        asio::post(waiter->timer.get_executor(), [waiter] { waiter->timer.cancel(); });
}

std::optional<Placing> Dispatcher::takeResult(Waiter& waiter)
{
    std::lock_guard guard(m_lock);
    return waiter.result;
}

Placing Dispatcher::giveUp(Waiter& waiter, QueueTicket ticket)
{
    std::lock_guard guard(m_lock);
    if (waiter.result)
        return *waiter.result;
    m_table.remove(ticket);
    m_waiters.erase(ticket);
    return { std::nullopt, Refusal { ticket, RefusalReason::DeadlinePassed, 1s } };
}

} // namespace hemlockchute
