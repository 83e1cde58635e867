#include "gateway/PromptPartMonitor.h"

#include "hemlockchute/fleet/FollowIntervals.h"

#include <algorithm>

namespace hemlockchute {

PromptPartMonitor::Decision PromptPartMonitor::decide(const std::vector<PromptPartKey>& parts, Instant now)
{
    Decision decision;
    std::vector<PromptPartKey> quarantined;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(quarantined), [&](PromptPartKey part) { return isQuarantined(part, now); });
    if (quarantined.empty())
        return decision;
    if (m_refused.size() < m_options.maximumRecords)
        m_refused.insert(quarantined);
    decision.isOfRequest = std::any_of(quarantined.begin(), quarantined.end(), isRequestKey);
    decision.isTrial = takeTrial(quarantined, now);
    decision.isRefused = !decision.isTrial;
    for (PromptPartKey part : quarantined) {
        auto verdict = m_verdicts.find(part);
        auto next = m_own.nextTrial(part);
        if (isAlone(now) && next)
            decision.retryAfter = std::max<Duration>(decision.retryAfter, *next - now);
        else if (verdict != m_verdicts.end())
            decision.retryAfter = std::max(decision.retryAfter, m_lastVerdicts + verdict->second.untilTrial - now);
    }
    decision.retryAfter += m_options.quarantine.jointTrialDelay * (quarantined.size() - 1);
    decision.isTrialDue = decision.isRefused && quarantined.size() == 1 && decision.retryAfter == Duration::zero() && !isAlone(now);
    return decision;
}

bool PromptPartMonitor::isSuspect(const std::vector<PromptPartKey>& parts) const
{
    return std::any_of(parts.begin(), parts.end(), [&](PromptPartKey part) { return m_verdicts.contains(part) || m_own.isSuspect(part); });
}

bool PromptPartMonitor::isQuarantined(PromptPartKey part, Instant now) const
{
    auto verdict = m_verdicts.find(part);
    bool isByLeader = verdict != m_verdicts.end() && verdict->second.isQuarantined;
    return isByLeader || (isAlone(now) && m_own.isQuarantined(part));
}

bool PromptPartMonitor::takeTrial(const std::vector<PromptPartKey>& parts, Instant now)
{
    bool isPermitted = std::all_of(parts.begin(), parts.end(), [&](PromptPartKey part) {
        auto permitted = m_trials.find(part);
        return permitted != m_trials.end() && now < permitted->second;
    });
    if (!isPermitted)
        return isAlone(now) && m_own.takeTrial(parts, now);
    for (PromptPartKey part : parts)
        m_trials.erase(part);
    return true;
}

//==============================================================================
void PromptPartMonitor::noteBroken(ServerCrash crash)
{
    if (crash.parts.empty() || m_suspicions.size() >= m_options.maximumRecords)
        return;
    Instant expires = crash.ended + m_options.suspicionLifetime;
    m_suspicions.push_back({ std::move(crash), expires });
}

std::vector<PromptPartKey> PromptPartMonitor::noteEnded(const ServerIncarnation& server, Instant now)
{
    std::vector<PromptPartKey> quarantined;
    for (Suspicion& suspicion : m_suspicions) {
        if (suspicion.crash.server != server)
            continue;
        m_lastCrash = now;
        std::vector<PromptPartKey> more = m_own.noteCrash(suspicion.crash, now);
        quarantined.insert(quarantined.end(), more.begin(), more.end());
        if (m_crashes.size() < m_options.maximumRecords)
            m_crashes.push_back(std::move(suspicion.crash));
        suspicion.expires = Instant::min();
    }
    std::erase_if(m_suspicions, [](const Suspicion& suspicion) { return suspicion.expires == Instant::min(); });
    return quarantined;
}

void PromptPartMonitor::noteAccepting(const ServerIncarnation& server, Instant now)
{
    for (Suspicion& suspicion : m_suspicions) {
        if (suspicion.crash.server == server)
            suspicion.expires = std::min(suspicion.expires, now + m_options.acceptedSuspicionLifetime);
    }
}

void PromptPartMonitor::noteProgress(const std::vector<PromptPartKey>& parts, Instant now)
{
    for (PromptPartKey part : parts) {
        // Requests that nobody has seen crash a server are too many to report.
        if (isRequestKey(part) && !m_verdicts.contains(part) && !m_own.isAccused(part))
            continue;
        m_own.noteProgress({ part, now }, now);
        if (isAlone(now))
            m_verdicts.erase(part);
        if (m_progress.size() < m_options.maximumRecords || m_progress.contains(part))
            m_progress[part] = now;
    }
}

bool PromptPartMonitor::expectsVerdict(Instant now) const
{
    bool hasCrashed = m_lastCrash && now - *m_lastCrash < verdictExpectationTime;
    return hasCrashed || std::any_of(m_verdicts.begin(), m_verdicts.end(), [](const auto& item) { return !item.second.isQuarantined; });
}

void PromptPartMonitor::update(const std::function<bool(const ServerIncarnation&)>& isListed, Instant now)
{
    std::erase_if(m_suspicions, [&](const Suspicion& suspicion) { return now >= suspicion.expires; });
    std::set<ServerIncarnation> ended;
    for (const Suspicion& suspicion : m_suspicions) {
        if (!isListed(suspicion.crash.server))
            ended.insert(suspicion.crash.server);
    }
    for (const ServerIncarnation& server : ended)
        noteEnded(server, now);
    m_own.expire(now);
    if (isAlone(now)) {
        for (const auto& [part, verdict] : m_verdicts) {
            // Of the others, each gateway that is alone would crash servers with trials of its own.
            if (verdict.isQuarantined && verdict.failedTrials == 0)
                m_own.adopt(verdict, now);
        }
        for (const SuspectPart& suspect : m_own.suspects(now))
            m_verdicts.insert_or_assign(suspect.part, suspect);
    }
    std::erase_if(m_trials, [&](const auto& item) { return now >= item.second; });
}

//==============================================================================
PromptPartReport PromptPartMonitor::takeReport(Instant now)
{
    PromptPartReport report;
    report.crashes = std::exchange(m_crashes, {});
    for (const auto& [part, at] : std::exchange(m_progress, {}))
        report.progress.push_back({ part, at });
    std::set<std::vector<PromptPartKey>> refused = std::exchange(m_refused, {});
    report.refused.assign(refused.begin(), refused.end());
    for (const auto& [part, verdict] : m_verdicts) {
        if (!verdict.isQuarantined)
            continue;
        report.quarantined.push_back(verdict);
        Instant trial = m_lastVerdicts + verdict.untilTrial;
        report.quarantined.back().untilTrial = std::max<Duration>(trial - now, Duration::zero());
    }
    return report;
}

void PromptPartMonitor::restoreReport(PromptPartReport report)
{
    report.crashes.insert(report.crashes.end(), std::make_move_iterator(m_crashes.begin()), std::make_move_iterator(m_crashes.end()));
    m_crashes = std::move(report.crashes);
    if (m_crashes.size() > m_options.maximumRecords)
        m_crashes.resize(m_options.maximumRecords);
    for (const PartProgress& progress : report.progress)
        m_progress.try_emplace(progress.part, progress.at);
}

void PromptPartMonitor::applyVerdicts(const std::vector<SuspectPart>& suspects, const std::vector<PromptPartKey>& trials, Instant now)
{
    m_lastVerdicts = now;
    m_verdicts.clear();
    for (const SuspectPart& suspect : suspects)
        m_verdicts.emplace(suspect.part, suspect);
    for (PromptPartKey part : trials)
        m_trials[part] = now + m_options.trialLifetime;
}

} // namespace hemlockchute
