#include "hemlockchute/http/WatchdogTimer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace hemlockchute;
namespace asio = boost::asio;

namespace {

constexpr Duration period = 40ms;

struct Watched {
    Watched()
        : start(currentTime())
    {
        timer.emplace(context.get_executor(), [this] {
            ++calls;
            lastCall = currentTime();
        });
    }

    /** Runs a function after a while. */
    void after(Duration time, std::function<void()> function)
    {
        auto delay = std::make_shared<asio::steady_timer>(context, time);
        delay->async_wait([delay, function = std::move(function)](const boost::system::error_code&) { function(); });
    }

    asio::io_context context;
    Instant start;
    std::optional<WatchdogTimer> timer;
    unsigned calls = 0;
    Instant lastCall {};
};

} // namespace

BOOST_AUTO_TEST_SUITE(WatchdogTimerTests)

BOOST_AUTO_TEST_CASE(itExpiresOnceAtItsTime)
{
    Watched watched;
    watched.timer->restart(watched.start + period);
    watched.context.run();
    BOOST_TEST(watched.calls == 1U);
    BOOST_TEST((watched.lastCall >= watched.start + period));
}

BOOST_AUTO_TEST_CASE(restartingPostponesIt)
{
    Watched watched;
    watched.timer->restart(watched.start + period);
    watched.after(period / 2, [&] { watched.timer->restart(watched.start + 2 * period); });
    watched.context.run();
    BOOST_TEST(watched.calls == 1U);
    BOOST_TEST((watched.lastCall >= watched.start + 2 * period));
}

BOOST_AUTO_TEST_CASE(anEarlierTimeReplacesALaterOne)
{
    Watched watched;
    watched.timer->restart(watched.start + 100 * period);
    watched.timer->restart(watched.start + period);
    watched.context.run();
    BOOST_TEST(watched.calls == 1U);
    BOOST_TEST((watched.lastCall < watched.start + 50 * period));
}

BOOST_AUTO_TEST_CASE(aStoppedTimerDoesNotExpireAndCanBeRestarted)
{
    Watched watched;
    watched.timer->restart(watched.start + period);
    watched.timer->stop();
    watched.context.run();
    BOOST_TEST(watched.calls == 0U);
    watched.context.restart();
    watched.timer->restart(currentTime() + period);
    watched.context.run();
    BOOST_TEST(watched.calls == 1U);
}

/** Both expire at once; the one that runs first destroys the other, whose expiry is queued already. */
BOOST_AUTO_TEST_CASE(nothingIsCalledAfterItsDestruction)
{
    asio::io_context context;
    unsigned calls = 0;
    std::optional<WatchdogTimer> first;
    std::optional<WatchdogTimer> second;
    first.emplace(context.get_executor(), [&] {
        ++calls;
        second.reset();
    });
    second.emplace(context.get_executor(), [&] {
        ++calls;
        first.reset();
    });
    Instant due = currentTime();
    first->restart(due);
    second->restart(due);
    context.run();
    BOOST_TEST(calls == 1U);
}

BOOST_AUTO_TEST_CASE(theFunctionMayRestartOrDestroyIt)
{
    asio::io_context context;
    unsigned calls = 0;
    std::optional<WatchdogTimer> timer;
    timer.emplace(context.get_executor(), [&] {
        if (++calls < 3)
            timer->restart(currentTime() + 1ms);
        else
            timer.reset();
    });
    timer->restart(currentTime());
    context.run();
    BOOST_TEST(calls == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
