#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>

#include "hemlockchute/core/Clock.h"

namespace hemlockchute {

//==============================================================================
/**
    A value that a callback gives and one coroutine waits for.

    Thread safety: set() from any thread; wait() once, on a coroutine of the executor.
*/
template <typename T>
class PendingResult : public std::enable_shared_from_this<PendingResult<T>> {
public:
    explicit PendingResult(const boost::asio::any_io_executor& executor)
        : m_timer(executor)
    {
    }

    /** Gives the value; only the first counts. */
    void set(T value)
    {
        boost::asio::post(m_timer.get_executor(), [self = this->shared_from_this(), value = std::move(value)]() mutable {
            if (!self->m_value)
                self->m_value = std::move(value);
            self->m_timer.cancel();
        });
    }

    /** The value, or nothing when it has not come by the deadline. */
    boost::asio::awaitable<std::optional<T>> wait(Instant deadline)
    {
        auto self = this->shared_from_this();
        if (!m_value) {
            m_timer.expires_at(deadline);
            boost::system::error_code ignored;
            co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        co_return std::move(m_value);
    }

private:
    boost::asio::steady_timer m_timer;
    std::optional<T> m_value;
};

} // namespace hemlockchute
