#include "hemlockchute/http/WatchdogTimer.h"

#include <boost/asio/steady_timer.hpp>
#include <optional>

namespace hemlockchute {

struct WatchdogTimer::State : std::enable_shared_from_this<State> {
    State(const boost::asio::any_io_executor& executor, std::function<void()> function)
        : timer(executor)
        , expired(std::move(function))
    {
    }

    void arm(Instant time)
    {
        armedFor = time;
        timer.expires_at(time);
        timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error)
                self->check();
        });
    }

    void check()
    {
        armedFor = std::nullopt;
        if (!due)
            return;
        if (std::chrono::steady_clock::now() < *due) {
            arm(*due);
            return;
        }
        due = std::nullopt;
        expired();
    }

    boost::asio::steady_timer timer;
    std::function<void()> expired;
    std::optional<Instant> due;
    /** When the timer expires next; it may be earlier than `due`, not later. */
    std::optional<Instant> armedFor;
};

WatchdogTimer::WatchdogTimer(const boost::asio::any_io_executor& executor, std::function<void()> expired)
    : m_state(std::make_shared<State>(executor, std::move(expired)))
{
}

WatchdogTimer::~WatchdogTimer()
{
    stop();
    m_state->timer.cancel();
}

void WatchdogTimer::restart(Instant due)
{
    m_state->due = due;
    if (!m_state->armedFor || due < *m_state->armedFor)
        m_state->arm(due);
}

void WatchdogTimer::stop()
{
    m_state->due = std::nullopt;
}

} // namespace hemlockchute
