#pragma once

#include "hemlockchute/core/Clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

namespace hemlockchute {

//==============================================================================
/**
    Calls a function once nothing has happened for a while.

    Restarting it is cheap, so that it can be done for each piece of an answer: the timer is set again
    only when it expires. Thread safety: one thread, or one strand.
*/
class WatchdogTimer {
public:
    /** The function runs on the executor, never within a call to this object, and not after its destruction. It may restart the timer. */
    WatchdogTimer(const boost::asio::any_io_executor&, std::function<void()> expired);
    ~WatchdogTimer();
    WatchdogTimer(const WatchdogTimer&) = delete;
    WatchdogTimer& operator=(const WatchdogTimer&) = delete;

    /** Sets the time at which the function is called, in place of an earlier one. */
    void restart(Instant due);
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace hemlockchute
