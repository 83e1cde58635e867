#pragma once

#include "hemlockchute/http/HttpServer.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    Detects that a request's caller has disconnected and interrupts the work done for it.

    Thread safety: use only on the executor of the exchange.
*/
class CallerWatch {
public:
    explicit CallerWatch(HttpExchange& exchange)
    {
        exchange.onCallerDisconnect([state = m_state] { state->disconnect(); });
    }
    ~CallerWatch() { clear(); }
    CallerWatch(const CallerWatch&) = delete;
    CallerWatch& operator=(const CallerWatch&) = delete;

    bool isCallerDisconnected() const { return m_state->isDisconnected; }
    /** Sets the action to run when the caller disconnects; it runs at once when that has happened. */
    void onCallerDisconnect(std::function<void()> action)
    {
        m_state->action = std::move(action);
        if (m_state->isDisconnected)
            m_state->disconnect();
    }
    void clear() { m_state->action = nullptr; }
    /** Interrupts the work in progress for a reason other than the caller. */
    void interrupt()
    {
        if (auto pending = std::exchange(m_state->action, nullptr))
            pending();
    }

    /** Runs a task and cancels it when the caller disconnects or interrupt() is called; returns nothing when it was cancelled. */
    template <typename T>
    boost::asio::awaitable<std::optional<T>> run(boost::asio::awaitable<T> task)
    {
        boost::asio::cancellation_signal signal;
        onCallerDisconnect([&] { signal.emit(boost::asio::cancellation_type::terminal); });
        auto executor = co_await boost::asio::this_coro::executor;
        std::optional<T> result;
        try {
            result.emplace(co_await boost::asio::co_spawn(executor, std::move(task), boost::asio::bind_cancellation_slot(signal.slot(), boost::asio::use_awaitable)));
        } catch (const boost::system::system_error&) {
            result.reset();
        }
        clear();
        co_return result;
    }

private:
    struct State {
        void disconnect()
        {
            isDisconnected = true;
            if (auto pending = std::exchange(action, nullptr))
                pending();
        }

        bool isDisconnected = false;
        std::function<void()> action;
    };

    std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace hemlockchute
