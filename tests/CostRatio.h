#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <ctime>
#include <limits>

namespace hemlockchute {

/**
    Compares the processor time of the same work on two sizes of input, so that a test of how the
    cost grows depends neither on the machine nor on what else runs there.

    Only the calling thread's time counts, and the least of several runs.
*/
class CostRatio {
public:
    CostRatio(std::size_t small, std::size_t large)
        : m_small(small)
        , m_large(large)
    {
    }

    /** How many times as much the work takes for the large size. `work` is called with a size. */
    template <typename Work>
    double measure(Work work) const
    {
        return leastTime(work, m_large) / std::max(leastTime(work, m_small), 1.0);
    }

    /** Half-way, in orders of magnitude, between a cost in proportion to the size and one in proportion to its square. */
    double limit() const { return std::pow(static_cast<double>(m_large) / static_cast<double>(m_small), 1.5); }

private:
    static constexpr int runs = 5;

    static double processorNanoseconds()
    {
        std::timespec time {};
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) * 1e9 + static_cast<double>(time.tv_nsec);
    }

    template <typename Work>
    static double leastTime(Work& work, std::size_t size)
    {
        double least = std::numeric_limits<double>::infinity();
        for (int i = 0; i < runs; ++i) {
            double begin = processorNanoseconds();
            work(size);
            least = std::min(least, processorNanoseconds() - begin);
        }
        return least;
    }

    std::size_t m_small;
    std::size_t m_large;
};

} // namespace hemlockchute
