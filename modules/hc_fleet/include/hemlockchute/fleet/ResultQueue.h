#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <memory>
#include <optional>

#include "hemlockchute/core/Clock.h"

namespace hemlockchute {

//==============================================================================
/**
    A FIFO queue that passes results from callbacks to one coroutine.

    Thread safety: put() from any thread; take() on one coroutine of the executor.
*/
template <typename T>
class ResultQueue : public std::enable_shared_from_this<ResultQueue<T>> {
public:
    explicit ResultQueue(const boost::asio::any_io_executor& executor)
        : m_timer(executor)
    {
    }

    void put(T value)
    {
        boost::asio::post(m_timer.get_executor(), [self = this->shared_from_this(), value = std::move(value)]() mutable {
            self->m_values.push_back(std::move(value));
            self->m_timer.cancel();
        });
    }

    /** The next value, or nothing if none has arrived by the deadline. */
    boost::asio::awaitable<std::optional<T>> take(Instant deadline)
    {
        auto self = this->shared_from_this();
        if (m_values.empty()) {
            m_timer.expires_at(deadline);
            boost::system::error_code ignored;
            co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        std::optional<T> value;
        if (!m_values.empty()) {
            value = std::move(m_values.front());
            m_values.pop_front();
        }
        co_return value;
    }

private:
    boost::asio::steady_timer m_timer;
    std::deque<T> m_values;
};

} // namespace hemlockchute
