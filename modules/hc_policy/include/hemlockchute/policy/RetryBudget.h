#pragma once

#include "hemlockchute/core/Clock.h"

#include <cstdint>

namespace hemlockchute {

//==============================================================================
/**
    Allows retries up to a share of recent successes, so that retries never multiply an overload.

    Thread safety: one thread at a time.
*/
class RetryBudget {
public:
    /** How the budget fills and how long the pauses are. */
    struct Options {
        /** Retries earned by a success, in thousandths. */
        unsigned retriesPerSuccessPerMille = 100;
        /** Retries that may be saved up. */
        unsigned maximumTokens = 10;
        Duration firstBackoff = 10ms;
        Duration longestBackoff = 1s;

        Options withRetriesPerSuccessPerMille(unsigned) const;
        Options withMaximumTokens(unsigned) const;
    };

    explicit RetryBudget(Options);

    void noteSuccess();
    /** Takes one retry out of the budget; false when there is none. */
    bool tryTake();
    /** The pause before the retry of that number, from 1, with full jitter from 64 random bits. */
    Duration backoff(unsigned retry, std::uint64_t random) const;

private:
    Options m_options;
    std::uint64_t m_tokensPerMille = 0;
};

} // namespace hemlockchute
