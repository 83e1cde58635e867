#include "hemlockchute/http/RequestBufferBudget.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;
using Grant = RequestBufferBudget::Grant;

namespace {

/** A budget of 300 bytes and a reserve of 100 for requests of at most 10; its time is set by the test. */
struct Fixture {
    RequestBufferBudget::Id begin()
    {
        auto number = std::make_shared<RequestBufferBudget::Id>();
        RequestBufferBudget::Callbacks callbacks { [this, number] { woken.push_back(*number); }, [this, number] { aborted.push_back(*number); } };
        *number = budget.begin(callbacks, now);
        return *number;
    }

    RequestBufferBudget::Id beginWith(std::size_t bytes)
    {
        auto id = begin();
        BOOST_TEST((budget.tryResize(id, bytes, now) == Grant::Granted));
        return id;
    }

    bool isGranted(RequestBufferBudget::Id id, std::size_t bytes) { return budget.tryResize(id, bytes, now) == Grant::Granted; }
    bool waits(RequestBufferBudget::Id id, std::size_t bytes) { return budget.tryResize(id, bytes, now) == Grant::Waiting; }

    /** Lets time pass in steps in which the requests given receive bytes at the minimum rate. */
    void pass(Duration time, const std::vector<RequestBufferBudget::Id>& receiving = {})
    {
        constexpr Duration step = 500ms;
        for (Duration passed {}; passed < time; passed += step) {
            now += step;
            for (auto id : receiving)
                budget.noteReceived(id, 50, now);
        }
    }

    RequestBufferBudget budget { RequestBufferBudget::Options().withTotal(400).withSmall(10).withWindow(2s).withMinimumRate(100) };
    Instant now { 1000s };
    std::vector<RequestBufferBudget::Id> woken;
    std::vector<RequestBufferBudget::Id> aborted;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestBufferBudgetTests, Fixture)

BOOST_AUTO_TEST_CASE(theBytesOfAllRequestsAreBounded)
{
    auto first = beginWith(200);
    auto second = begin();
    BOOST_TEST(waits(second, 101));
    BOOST_TEST(budget.reservedBytes() == 200U);
    BOOST_TEST(isGranted(second, 100));
    BOOST_TEST(waits(first, 201));
    BOOST_TEST(budget.reservedBytes() == 300U);
    BOOST_TEST((budget.tryResize(first, 301, now) == Grant::Impossible));
    budget.end(first);
    budget.end(second);
    BOOST_TEST(budget.reservedBytes() == 0U);
}

/** Guards against large requests that leave no room for ordinary ones, and against small ones without a bound. */
BOOST_AUTO_TEST_CASE(smallRequestsHaveABoundedReserve)
{
    beginWith(300);
    for (int i = 0; i < 10; ++i)
        beginWith(10);
    BOOST_TEST(waits(begin(), 10));
    BOOST_TEST(budget.reservedBytes() == 400U);
}

/** Guards against a large request that never gets memory, as smaller ones come before it again and again. */
BOOST_AUTO_TEST_CASE(waitingRequestsAreGrantedMemoryInOrder)
{
    auto first = beginWith(300);
    auto second = begin();
    auto third = begin();
    BOOST_TEST(waits(second, 300));
    BOOST_TEST(waits(third, 20));
    BOOST_TEST(isGranted(first, 200));
    BOOST_TEST(woken == std::vector { second });
    BOOST_TEST(waits(second, 300));
    BOOST_TEST(waits(third, 20));
    woken.clear();
    budget.end(first);
    BOOST_TEST(woken == std::vector { second });
    BOOST_TEST(isGranted(second, 270));
    BOOST_TEST(woken.back() == third);
    BOOST_TEST(isGranted(third, 20));
}

BOOST_AUTO_TEST_CASE(aRequestThatEndsWhileItWaitsLeavesTheQueue)
{
    auto first = beginWith(300);
    auto second = begin();
    auto third = begin();
    BOOST_TEST(waits(second, 300));
    BOOST_TEST(waits(third, 20));
    budget.end(second);
    budget.end(first);
    BOOST_TEST(isGranted(third, 20));
}

/** Guards against clients that hold all memory with requests that they never complete. */
BOOST_AUTO_TEST_CASE(theSlowestIncompleteRequestIsAbortedWhileAnotherWaits)
{
    auto silent = beginWith(100);
    auto slow = beginWith(100);
    auto steady = beginWith(100);
    pass(4s, { steady });
    budget.noteReceived(slow, 20, now);
    budget.abortSlow(now);
    BOOST_TEST(aborted.empty());
    auto waiting = begin();
    BOOST_TEST(waits(waiting, 50));
    budget.abortSlow(now);
    BOOST_TEST(aborted == std::vector { silent });
    // One is enough for the request that waits, also before the memory has been released.
    pass(1s, { steady });
    budget.abortSlow(now);
    BOOST_TEST(aborted.size() == 1U);
    budget.end(silent);
    BOOST_TEST(woken.back() == waiting);
    BOOST_TEST(isGranted(waiting, 50));
}

/** Guards against the refusal of clients that send at an ordinary rate, of complete requests, and of ones that have just begun. */
BOOST_AUTO_TEST_CASE(requestsThatProgressAreNotAborted)
{
    auto steady = beginWith(100);
    auto complete = beginWith(100);
    budget.complete(complete);
    pass(10s, { steady });
    beginWith(100);
    BOOST_TEST(waits(begin(), 50));
    pass(1s, { steady });
    budget.abortSlow(now);
    BOOST_TEST(aborted.empty());
    BOOST_TEST(budget.reservedBytes() == 300U);
}

/** Guards against the refusal of a client that was not read from for want of memory. */
BOOST_AUTO_TEST_CASE(theTimeForWhichARequestWaitsForMemoryDoesNotCount)
{
    auto first = beginWith(200);
    auto second = beginWith(100);
    BOOST_TEST(waits(second, 150));
    pass(10s, { first });
    budget.abortSlow(now);
    BOOST_TEST(aborted.empty());
    budget.end(first);
    BOOST_TEST(isGranted(second, 300));
    BOOST_TEST(waits(begin(), 50));
    budget.abortSlow(now);
    BOOST_TEST(aborted.empty());
}

/** Guards against growing requests that wait for each other's memory without end. */
BOOST_AUTO_TEST_CASE(theLastOfRequestsThatAllWaitIsAborted)
{
    auto first = beginWith(150);
    auto second = beginWith(150);
    BOOST_TEST(waits(second, 200));
    budget.abortSlow(now);
    BOOST_TEST(aborted.empty());
    BOOST_TEST(waits(first, 200));
    pass(500ms);
    budget.abortSlow(now);
    BOOST_TEST(aborted == std::vector { first });
    BOOST_TEST(!budget.spare(first, now));
    budget.end(first);
    BOOST_TEST(isGranted(second, 200));
}

/** Guards against the refusal of fast requests by a process that was suspended, and against requests that are spared again and again. */
BOOST_AUTO_TEST_CASE(anAbortedRequestIsSparedOnce)
{
    auto first = beginWith(300);
    BOOST_TEST(waits(begin(), 50));
    pass(3s);
    budget.abortSlow(now);
    BOOST_TEST(aborted == std::vector { first });
    BOOST_TEST(budget.spare(first, now));
    pass(1s);
    budget.abortSlow(now);
    BOOST_TEST(aborted.size() == 1U);
    pass(2s);
    budget.abortSlow(now);
    BOOST_TEST(aborted.size() == 2U);
    BOOST_TEST(!budget.spare(first, now));
}

BOOST_AUTO_TEST_CASE(refusalsAreCountedByCause)
{
    budget.countRefusal(RequestRefusal::TooSlow);
    budget.countRefusal(RequestRefusal::TooSlow);
    budget.countRefusal(RequestRefusal::IdleClosed);
    auto counts = budget.refusals();
    BOOST_TEST(counts.at(static_cast<std::size_t>(RequestRefusal::TooSlow)) == 2U);
    BOOST_TEST(counts.at(static_cast<std::size_t>(RequestRefusal::IdleClosed)) == 1U);
    BOOST_TEST(counts.at(static_cast<std::size_t>(RequestRefusal::NoMemory)) == 0U);
    BOOST_TEST(RequestBufferBudget::defaultTotal() >= 16U << 20U);
}

BOOST_AUTO_TEST_SUITE_END()
