#pragma once

#include "hemlockchute/backend/BackendProtocol.h"
#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"

#include <cstdint>
#include <optional>

namespace hemlockchute {

/** Whether a refused request may have run. */
enum class RefusalOutcome {
    /** It has not run and will not. */
    NotRun,
    /** It may have run. */
    Unknown
};

/** The action that an event of a request's lifecycle requires. */
struct LifecycleDecision {
    enum class Kind {
        /** The event has no effect: the request has ended, or the event belongs to another attempt. */
        Ignore,
        /** Start another attempt. */
        Retry,
        /** The answer is complete. */
        Complete,
        /** Refuse the request, with the status and outcome given. */
        Refuse,
        /** The caller has disconnected; send no answer. */
        Drop
    };

    Kind kind = Kind::Ignore;
    unsigned status = 0;
    RefusalOutcome outcome = RefusalOutcome::NotRun;

    friend bool operator==(const LifecycleDecision&, const LifecycleDecision&) = default;
};

//==============================================================================
/**
    State machine of one request: which attempts may be made, which of their events count, how it ends.

    It ends exactly once. A non-idempotent request is retried only when no earlier attempt can have
    run; a refusal says "not run" only when no attempt may have run. After the first token an attempt
    must resume the stream. Thread safety: one thread at a time.

    @see BackendProtocol
*/
class RequestLifecycle {
public:
    /** Properties and limits of the request. */
    struct Options {
        bool isRepeatable = true;
        /** Time by which the first token or a service's answer must arrive. */
        Instant deadline;
        /** Maximum number of attempts that may have run. */
        unsigned maximumAttempts = 4;
        /** Maximum number of attempts that lose their server before the first token. The request may crash each server that begins to answer it, and must not go on to the next. */
        unsigned maximumLostBeforeToken = 2;
        /** Maximum number of attempts that certainly have not run. */
        unsigned maximumNotRun = 200;

        Options withRepeatable(bool) const;
        Options withDeadline(Instant) const;
        Options withMaximumAttempts(unsigned) const;
    };

    explicit RequestLifecycle(Options);

    //==============================================================================
    /** Starts an attempt; when it returns false, nothing may be sent. */
    bool begin(const AttemptId&, Instant now);
    /** True when the token is the current attempt's next one and must be forwarded. */
    bool acceptToken(const AttemptId&, std::uint64_t index);
    /** The attempt's answer is complete. */
    LifecycleDecision complete(const AttemptId&);
    /** The attempt failed; `mayRetry` is whether the retry budget permits retrying work that may have run. */
    LifecycleDecision fail(const AttemptId&, BackendErrorCode, bool mayRetry, Instant now);
    /** Refuses the request when its deadline has passed; the deadline is ignored once a token was forwarded. */
    LifecycleDecision expire(Instant now);
    /** No backend server is available. */
    LifecycleDecision refuse(unsigned status);
    LifecycleDecision noteCallerDisconnect();

    //==============================================================================
    bool hasEnded() const { return m_ended; }
    /** True when the current attempt, which may have run, could be replaced by another one. */
    bool mayReplaceAttempt(Instant now) const;
    /** True when any attempt may have reached a backend server and run there. */
    bool mayHaveRun() const { return m_mayHaveRun; }
    std::uint64_t tokenCount() const { return m_tokens; }
    unsigned attemptCount() const { return m_attempts; }

private:
    bool mayBegin(Instant now) const;
    bool isCurrent(const AttemptId&) const;
    LifecycleDecision end(LifecycleDecision::Kind, unsigned status = 0);

    Options m_options;
    std::optional<AttemptId> m_current;
    unsigned m_attempts = 0;
    unsigned m_notRun = 0;
    unsigned m_lostBeforeToken = 0;
    std::uint64_t m_tokens = 0;
    bool m_mayHaveRun = false;
    bool m_ended = false;
};

} // namespace hemlockchute
