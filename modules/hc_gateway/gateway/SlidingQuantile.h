#pragma once

#include "hemlockchute/core/Clock.h"

#include <memory>
#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    Estimates a high quantile of the durations observed in a sliding window, in bounded memory.

    Several accumulators start one after another, and each observation is added to all of them. The
    oldest one answers, so that the window reaches back at least five sixths of its length. Each keeps
    the largest observations only, from which the quantile is exact.
    Thread safety: one thread at a time.
*/
class SlidingQuantile {
public:
    struct Options {
        /** At least 0.9, since the memory needed grows with the share above the quantile. */
        double share = 0.95;
        Duration window = 60s;
        /** With fewer observations in the window there is no estimate. */
        std::size_t minimumSamples = 100;
        /** The largest observations that each accumulator keeps; at the 95th percentile enough for 10,000 observations. */
        std::size_t tailSize = 512;
        /** The estimate is computed again after this time. */
        Duration refreshInterval = 100ms;
    };

    explicit SlidingQuantile(Options);
    ~SlidingQuantile();

    void add(Duration, Instant now);
    /** The quantile as of now, at most one refresh interval old; nothing with too few observations. */
    std::optional<Duration> value(Instant now);

private:
    struct Period;

    Period* current(Instant now) const;
    std::int64_t numberOf(Instant now) const;
    std::size_t maximumSamples() const;

    Options m_options;
    std::unique_ptr<Period[]> m_periods;
    std::optional<Duration> m_value;
    Instant m_computed {};
};

} // namespace hemlockchute
