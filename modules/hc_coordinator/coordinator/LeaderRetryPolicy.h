#pragma once

#include "hemlockchute/agreement/ReplicatedGroup.h"

#include <optional>
#include <set>

namespace hemlockchute {

//==============================================================================
/**
    Decides to which leader an operator's call is sent, and when it is retried.

    Keeps calls from stalling while the leader is frozen, partitioned or blocked on its disk: a call
    is also sent to a newly elected leader instead of waiting only for the first one. Each leader gets
    the call once per term, and again a delay after each failed attempt. Commands must be idempotent.
    Thread safety: one thread at a time.

    @see Coordinator
*/
class LeaderRetryPolicy {
public:
    /** Time bounds. */
    struct Options {
        /** For the whole call; operators try another host after 1 s. */
        Duration timeout = 900ms;
        /** Between a failed attempt and the next one at the same coordinator. */
        Duration retryDelay = 50ms;

        Options withTimeout(Duration) const;
        Options withRetryDelay(Duration) const;
    };

    /** A coordinator and the term in which it leads. */
    struct Target {
        KeeperId leader;
        AgreementTerm term;

        friend auto operator<=>(const Target&, const Target&) = default;
    };

    LeaderRetryPolicy(Options, Instant begin);

    /** The target to send the call to now, given the currently known leader; counts as an attempt that is pending. */
    std::optional<Target> nextTarget(std::optional<KeeperId> leader, AgreementTerm term, Instant now);
    /** Records that the target could not handle the call or could not be reached. */
    void noteFailed(const Target&, Instant now);

    Instant deadline() const { return m_deadline; }
    bool hasExpired(Instant now) const { return now >= m_deadline; }
    /** Attempts made in all, and those without a result so far. */
    unsigned attemptCount() const { return m_attemptCount; }
    std::size_t pendingAttempts() const { return m_pending.size(); }

private:
    Options m_options;
    Instant m_deadline;
    Instant m_nextAttempt;
    std::optional<Target> m_lastFailed;
    std::set<Target> m_pending;
    unsigned m_attemptCount = 0;
};

} // namespace hemlockchute
