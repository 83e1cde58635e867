#pragma once

#include "hemlockchute/backend/BackendProtocol.h"
#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"

#include <cstdint>
#include <optional>

namespace hemlockchute {

/** What a refusal says of the request. */
enum class RefusalOutcome {
    /** Nothing was or will be done. */
    NotRun,
    /** It may have run. */
    Unknown
};

/** What follows from an event in a request's life. */
struct LifecycleDecision {
    enum class Kind {
        /** The event changes nothing: it is late, or belongs to another attempt. */
        Ignore,
        /** Begin another attempt. */
        Retry,
        /** The answer is whole. */
        Complete,
        /** Refuse the request, with the status and outcome given. */
        Refuse,
        /** Nobody is left to answer. */
        Drop
    };

    Kind kind = Kind::Ignore;
    unsigned status = 0;
    RefusalOutcome outcome = RefusalOutcome::NotRun;

    friend bool operator==(const LifecycleDecision&, const LifecycleDecision&) = default;
};

//==============================================================================
/**
    The life of one request: which attempts may be made, which of their events count, how it ends.

    It ends exactly once. A request that may not be repeated is sent again only when no byte of the
    attempt before can have left; a refusal says "not run" only when no attempt may have run. An
    attempt goes on after the first token only by resuming the stream. Thread safety: one thread at
    a time.

    @see BackendProtocol
*/
class RequestLifecycle {
public:
    /** What is known of the request from the start. */
    struct Options {
        bool isRepeatable = true;
        /** By when the first token, or a service's answer, must come. */
        Instant deadline;
        /** Attempts that may have run. */
        unsigned maximumAttempts = 4;
        /** Attempts of which it is certain that they have not run. */
        unsigned maximumNotRun = 200;

        Options withRepeatable(bool) const;
        Options withDeadline(Instant) const;
        Options withMaximumAttempts(unsigned) const;
    };

    explicit RequestLifecycle(Options);

    //==============================================================================
    /** Begins an attempt; false when none may be made, and nothing must be sent. */
    bool begin(const AttemptId&, Instant now);
    /** True when the token is the current attempt's next and is to be passed on. */
    bool acceptToken(const AttemptId&, std::uint64_t index);
    /** The attempt's answer is whole. */
    LifecycleDecision complete(const AttemptId&);
    /** The attempt failed; `mayRetry` is what the retry budget says of work that may have run. */
    LifecycleDecision fail(const AttemptId&, BackendErrorCode, bool mayRetry, Instant now);
    /** The deadline may have come; it no longer counts once a token was passed on. */
    LifecycleDecision expire(Instant now);
    /** No backend server can be had. */
    LifecycleDecision refuse(unsigned status);
    /** The caller has left. */
    LifecycleDecision noteCallerDisconnect();

    //==============================================================================
    bool hasEnded() const { return m_ended; }
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
    std::uint64_t m_tokens = 0;
    bool m_mayHaveRun = false;
    bool m_ended = false;
};

} // namespace hemlockchute
