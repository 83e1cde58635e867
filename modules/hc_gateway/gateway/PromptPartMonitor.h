#pragma once

#include "hemlockchute/fleet/FleetMessages.h"
#include "hemlockchute/fleet/PromptPartQuarantine.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    This gateway's view of requests and prompt parts that crash servers: collects evidence for the coordinators, and
    applies their verdicts to requests.

    A broken connection counts as evidence only once its server has been seen to have ended. While no
    leader is in contact, this gateway decides by its own evidence and keeps the last verdicts.
    Thread safety: one thread at a time.

    @see PromptPartQuarantine
*/
class PromptPartMonitor {
public:
    struct Options {
        PromptPartQuarantine::Options quarantine;
        /** How long a broken connection waits to be explained by the end of its server. */
        Duration suspicionLifetime = 10s;
        /** The same, if the server accepted another connection afterwards. */
        Duration acceptedSuspicionLifetime = 2s;
        /** How long a permitted trial may wait for a request. */
        Duration trialLifetime = 1s;
        /** Without contact with a leader for this time, this gateway decides alone. */
        Duration leaderTimeout = 2500ms;
        /** Bound on the records that wait for the next report. */
        std::size_t maximumRecords = 1024;
    };

    /** Whether a request may be sent. */
    struct Decision {
        /** True if it, or a part of its prompt, is quarantined. */
        bool isRefused = false;
        /** True if the request itself is quarantined. */
        bool isOfRequest = false;
        /** True if it is let through as the trial of its quarantined parts; it must not be resent. */
        bool isTrial = false;
        /** True if it is refused but could be a trial now, if the leader leaves the trial to this gateway. */
        bool isTrialDue = false;
        /** Time until the next trial, if it is refused. */
        Duration retryAfter {};
    };

    explicit PromptPartMonitor(Options options)
        : m_options(options)
        , m_own(options.quarantine)
    {
    }

    //==============================================================================
    /** Decides about a request that is about to be sent for the first time. A permitted trial is used up. */
    Decision decide(const std::vector<PromptPartKey>&, Instant now);
    /** True if a request with these parts must not be sent to another server after a crash. */
    bool isSuspect(const std::vector<PromptPartKey>&) const;

    //==============================================================================
    /** Records that a connection broke, or fell silent, before the answer to a request had begun. */
    void noteBroken(ServerCrash);
    /** Records that the server has ended; returns the parts that are quarantined here because of it. */
    std::vector<PromptPartKey> noteEnded(const ServerIncarnation&, Instant now);
    /** Records that the server still accepts connections. */
    void noteAccepting(const ServerIncarnation&, Instant now);
    /** Records that an answer to a request with these parts was begun. */
    void noteProgress(const std::vector<PromptPartKey>&, Instant now);
    /** True for a while after a server has crashed under a request, or while a part is suspect but not quarantined. */
    bool expectsVerdict(Instant now) const;
    /** Treats servers as ended for which `isListed` is false, and drops outdated records. */
    void update(const std::function<bool(const ServerIncarnation&)>& isListed, Instant now);

    //==============================================================================
    /** Takes the records for the next report. */
    PromptPartReport takeReport(Instant now);
    /** Returns a report that did not reach a leader. */
    void restoreReport(PromptPartReport);
    /** Applies the leader's verdicts, and the trials that it leaves to this gateway. */
    void applyVerdicts(const std::vector<SuspectPart>&, const std::vector<PromptPartKey>& trials, Instant now);

private:
    struct Suspicion {
        ServerCrash crash;
        Instant expires {};
    };

    bool isAlone(Instant now) const { return now - m_lastVerdicts > m_options.leaderTimeout; }
    bool isQuarantined(PromptPartKey, Instant now) const;
    bool takeTrial(const std::vector<PromptPartKey>&, Instant now);

    Options m_options;
    /** Decides by this gateway's own evidence. */
    PromptPartQuarantine m_own;
    std::vector<Suspicion> m_suspicions;
    std::map<PromptPartKey, SuspectPart> m_verdicts;
    /** When the verdicts were received; the epoch of the clock before the first. */
    Instant m_lastVerdicts {};
    std::optional<Instant> m_lastCrash;
    /** Until when a trial of the part may be used. */
    std::map<PromptPartKey, Instant> m_trials;
    std::vector<ServerCrash> m_crashes;
    std::map<PromptPartKey, Instant> m_progress;
    std::set<std::vector<PromptPartKey>> m_refused;
};

} // namespace hemlockchute
