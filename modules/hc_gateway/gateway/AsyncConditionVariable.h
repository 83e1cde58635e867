#pragma once

#include "hemlockchute/core/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>

namespace hemlockchute {

//==============================================================================
/**
    Where requests wait until something changes that they wait for.

    Thread safety: one thread.
*/
class AsyncConditionVariable {
public:
    /** Comes back after notifyAll(), or at the deadline. */
    boost::asio::awaitable<void> wait(Instant deadline);
    /** Lets everyone who waits look again. */
    void notifyAll();

private:
    std::list<boost::asio::steady_timer*> m_timers;
};

} // namespace hemlockchute
