#pragma once

#include "hemlockchute/core/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>

namespace hemlockchute {

//==============================================================================
/**
    A condition variable for coroutines: requests wait until the state changes, then check again.

    Thread safety: one thread.
*/
class AsyncConditionVariable {
public:
    /** Completes after notifyAll(), or at the deadline. */
    boost::asio::awaitable<void> wait(Instant deadline);
    /** Resumes all waiting coroutines. */
    void notifyAll();

private:
    std::list<boost::asio::steady_timer*> m_timers;
};

} // namespace hemlockchute
