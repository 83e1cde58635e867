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
    Knows whether a request's caller has left, and interrupts what is done for it when it does.

    Thread safety: only on the executor of the exchange.
*/
class CallerWatch {
public:
    explicit CallerWatch(HttpExchange& exchange)
    {
        exchange.onCallerDisconnect([state = m_state] { state->leave(); });
    }
    ~CallerWatch() { clear(); }
    CallerWatch(const CallerWatch&) = delete;
    CallerWatch& operator=(const CallerWatch&) = delete;

    bool isCallerDisconnected() const { return m_state->left; }
    /** Sets what to do when the caller leaves; done at once when it has left. */
    void onCallerDisconnect(std::function<void()> action)
    {
        m_state->action = std::move(action);
        if (m_state->left)
            m_state->leave();
    }
    void clear() { m_state->action = nullptr; }

    /** Runs a task and gives it up when the caller leaves; nothing when it was given up. */
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
        void leave()
        {
            left = true;
            if (auto wanted = std::exchange(action, nullptr))
                wanted();
        }

        bool left = false;
        std::function<void()> action;
    };

    std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace hemlockchute
