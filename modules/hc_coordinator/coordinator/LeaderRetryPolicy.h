#pragma once

#include "hemlockchute/agreement/ReplicatedGroup.h"

#include <optional>
#include <set>

namespace hemlockchute {

//==============================================================================
/**
    Decides which coordinators an operator's call is put to, and when.

    Answers the load in which the leader stands still, is cut off or has a disk that hangs while
    calls arrive: a call follows the leader that is known at each moment instead of waiting for the
    one that was asked first. A leader is asked once in a term, and once more a pause after each
    answer that says that it cannot help. Commands must be safe to apply twice. Thread safety: one
    thread at a time.

    @see Coordinator
*/
class LeaderRetryPolicy {
public:
    /** Time bounds. */
    struct Options {
        /** In all; operators turn to another host when they have waited for a second. */
        Duration timeout = 900ms;
        /** Between an answer that is of no use and the next question to the same coordinator. */
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

    /** Whom to ask now, given the leader that is known; the target counts as asked from then on. */
    std::optional<Target> nextTarget(std::optional<KeeperId> leader, AgreementTerm term, Instant now);
    /** The target said that it cannot help, or cannot be reached. */
    void noteFailed(const Target&, Instant now);

    Instant deadline() const { return m_deadline; }
    bool hasExpired(Instant now) const { return now >= m_deadline; }
    /** How many questions were put, and how many of them wait for their answers. */
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
