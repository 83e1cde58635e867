#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/ServerIncarnation.h"

#include <map>
#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    Notices that backend servers attach to their responses: that they are leaving, or that this
    host must not send requests for a while.

    Servers send them before a planned stop and under overload. A notice applies to one incarnation
    of the server and takes precedence over server lists, which may be older. It expires after a
    bounded time, so that a faulty notice does not exclude a server for good. Thread safety: one
    thread at a time.

    @see EjectionTable
*/
class ServerNotices {
public:
    /** Bounds on what a server can ask for. */
    struct Options {
        /** Longer pauses are cut to this; the server can ask again in its next response. */
        Duration longestPause = 5min;
        /** Lifetime of a leaving notice. A server that really leaves is off the platform's list long before it ends. */
        Duration leavingRetention = 10min;
        /** Jitter added to a pause, as a part of it in thousandths, so that hosts do not return all at once. */
        unsigned returnJitterPerMille = 200;
        Duration maximumReturnJitter = 500ms;
        /** A server counts as recovering for this time after its pause, in which refused callers retry. */
        Duration recoveryPeriod = 2s;

        Options withLongestPause(Duration) const;
        Options withLeavingRetention(Duration) const;
        Options withReturnJitter(unsigned perMille) const;
    };

    explicit ServerNotices(Options options)
        : m_options(options)
    {
    }

    /** Records a leaving notice; true when none was in force. */
    bool noteLeaving(const ServerIncarnation&, Instant now);
    /** Records a requested pause and returns its end for this host. `jitter`, from 0 to 1, selects the point within the return jitter. */
    Instant notePause(const ServerIncarnation&, Duration requested, double jitter, Instant now);

    bool isLeaving(const ServerIncarnation&, Instant now) const;
    /** The end of the server's pause; nothing when it is not paused. */
    std::optional<Instant> pausedUntil(const ServerIncarnation&, Instant now) const;
    /** True during the server's pause and the recovery period after it. */
    bool isRecovering(const ServerIncarnation&, Instant now) const;
    /** The number of server incarnations with a notice. */
    std::size_t size() const { return m_notices.size(); }

private:
    struct Notice {
        Instant leavingUntil {};
        Instant pausedUntil {};
    };

    Notice& noticeOf(const ServerIncarnation&, Instant now);

    Options m_options;
    std::map<ServerIncarnation, Notice> m_notices;
};

} // namespace hemlockchute
