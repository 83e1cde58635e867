#include "gateway/AsyncConditionVariable.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockchute {

boost::asio::awaitable<void> AsyncConditionVariable::wait(Instant deadline)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_at(deadline);
    auto position = m_timers.insert(m_timers.end(), &timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    m_timers.erase(position);
}

void AsyncConditionVariable::notifyAll()
{
    for (boost::asio::steady_timer* timer : m_timers)
        timer->cancel();
}

} // namespace hemlockchute
