#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/ServerLife.h"

#include <map>
#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    What backend servers have said of themselves in their answers: that they leave, or that they
    want nothing from this host for a while.

    Answers the loads of a planned stop and of an overload at the servers. What was said holds for
    that life of the server whatever lists arrive meanwhile, so that no older list undoes it; it
    holds for a bounded time, so that no odd word loses a server for good. Thread safety: one thread
    at a time.

    @see EjectionTable
*/
class ServerNotices {
public:
    /** Bounds on what a server can ask for. */
    struct Options {
        /** Longer pauses are cut to this; a server that asks for more is asked again after it. */
        Duration longestPause = 5min;
        /** A server that said that it leaves is gone from the platform's list long before this, or does not leave. */
        Duration leavingRetention = 10min;
        /** A pause ends later by up to this part of it, in thousandths, so that not all hosts return at once. */
        unsigned returnJitterPerMille = 200;
        Duration maximumReturnJitter = 500ms;
        /** A server counts as recovering for so long after its pause: as long as callers that were refused take to return. */
        Duration recoveryPeriod = 2s;

        Options withLongestPause(Duration) const;
        Options withLeavingRetention(Duration) const;
        Options withReturnJitter(unsigned perMille) const;
    };

    explicit ServerNotices(Options options)
        : m_options(options)
    {
    }

    /** Notes that the server said that it leaves; true when that is news. */
    bool noteLeaving(const ServerLife&, Instant now);
    /** Notes that the server asked for a pause, and gives its end here. `place` from 0 to 1 is this host's among those that return. */
    Instant notePause(const ServerLife&, Duration asked, double place, Instant now);

    bool isLeaving(const ServerLife&, Instant now) const;
    /** The end of the server's pause, while there is one. */
    std::optional<Instant> pausedUntil(const ServerLife&, Instant now) const;
    /** True during the server's pause and for a while after it. */
    bool isRecovering(const ServerLife&, Instant now) const;
    /** Servers of which something is remembered. */
    std::size_t size() const { return m_notices.size(); }

private:
    struct Notice {
        /** Until when the server counts as leaving, and until when it wants nothing. */
        Instant leavingUntil {};
        Instant pausedUntil {};
    };

    Notice& noticeOf(const ServerLife&, Instant now);

    Options m_options;
    std::map<ServerLife, Notice> m_notices;
};

} // namespace hemlockchute
