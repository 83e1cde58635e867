#pragma once

#include "hemlockchute/core/Clock.h"

#include <cstdint>

namespace hemlockchute {

//==============================================================================
/**
    A token bucket that limits retries to a share of the successes, so that retries do not amplify
    an overload.

    Thread safety: one thread at a time.
*/
class RetryBudget {
public:
    /** How the bucket fills, and the bounds of the back-off. */
    struct Options {
        /** Tokens that each success adds, in thousandths; a retry costs one token. */
        unsigned retriesPerSuccessPerMille = 100;
        /** Capacity of the bucket. It starts full. */
        unsigned maximumTokens = 10;
        Duration firstBackoff = 10ms;
        Duration longestBackoff = 1s;

        Options withRetriesPerSuccessPerMille(unsigned) const;
        Options withMaximumTokens(unsigned) const;
    };

    explicit RetryBudget(Options);

    void noteSuccess();
    /** Spends one token; false when there is none. */
    bool tryTake();
    /** The back-off before a retry, numbered from 1: exponential, with full jitter drawn from 64 random bits. */
    Duration backoff(unsigned retry, std::uint64_t random) const;

private:
    Options m_options;
    std::uint64_t m_tokensPerMille = 0;
};

} // namespace hemlockchute
