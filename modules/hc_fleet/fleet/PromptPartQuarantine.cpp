#include "hemlockchute/fleet/PromptPartQuarantine.h"

#include "hemlockchute/core/Digest.h"

#include <algorithm>

namespace hemlockchute {
namespace {

/** More crashes of one part tell nothing new. */
constexpr std::size_t maximumCrashes = 16;
/** Many hosts report several times a second, and expiry reads all records. */
constexpr Duration expiryInterval = 1s;

} // namespace

std::vector<PromptPartKey> sharedPartKeys(const RequestMetadata& request)
{
    std::vector<PromptPartKey> keys;
    for (std::size_t i = 0; i + 1 < request.promptParts.size(); ++i) {
        // Zero stands for no key.
        PromptPartKey key(std::max<std::uint64_t>(1, Digest::of(request.promptParts[i].id).low()));
        if (std::find(keys.begin(), keys.end(), key) == keys.end())
            keys.push_back(key);
    }
    return keys;
}

//==============================================================================
std::vector<PromptPartKey> PromptPartQuarantine::noteCrash(const ServerCrash& crash, Instant now)
{
    std::vector<PromptPartKey> quarantined;
    if (now - crash.ended > m_options.progressLifetime)
        return quarantined;
    for (PromptPartKey part : crash.parts) {
        auto progress = m_progress.find(part);
        if (progress != m_progress.end() && progress->second > crash.ended)
            continue;
        Record& record = m_records[part];
        record.lastSeen = now;
        record.lastCrash = std::max(record.lastCrash, crash.ended);
        bool isKnown = std::any_of(record.crashes.begin(), record.crashes.end(), [&](const Record::Crash& each) { return each.server == crash.server; });
        if (isKnown)
            continue;
        if (record.crashes.size() >= maximumCrashes)
            record.crashes.erase(record.crashes.begin());
        record.crashes.push_back({ crash.server, crash.sent, crash.ended });
        record.consecutiveCrashes = countConsecutive(record.crashes);
        if (record.isQuarantined)
            delayTrials(record, crash.ended);
        if (record.isQuarantined || record.consecutiveCrashes < m_options.crashesUntilQuarantine)
            continue;
        quarantine(record, now);
        quarantined.push_back(part);
    }
    limitSize();
    return quarantined;
}

/** The largest number of crashes of which each request was sent after the crash before. */
unsigned PromptPartQuarantine::countConsecutive(std::vector<Record::Crash>& crashes)
{
    std::sort(crashes.begin(), crashes.end(), [](const Record::Crash& a, const Record::Crash& b) { return a.ended < b.ended; });
    unsigned count = 0;
    Instant last = Instant::min();
    for (const Record::Crash& crash : crashes) {
        if (crash.sent < last)
            continue;
        ++count;
        last = crash.ended;
    }
    return count;
}

void PromptPartQuarantine::quarantine(Record& record, Instant now) const
{
    record.isQuarantined = true;
    record.openTrials = 0;
    record.hasFailedTrial = false;
    record.nextTrial = now + m_options.firstTrialDelay;
}

/** After a crash by a trial, or by a request that was sent before the quarantine was known everywhere. */
void PromptPartQuarantine::delayTrials(Record& record, Instant ended)
{
    bool isTrial = std::exchange(record.openTrials, 0) > 0 && ended > record.lastTrial;
    if (!isTrial) {
        record.nextTrial = std::max(record.nextTrial, ended + m_options.firstTrialDelay);
        return;
    }
    if (std::exchange(record.hasFailedTrial, true))
        ++m_failedTrials;
    record.nextTrial = ended + trialInterval();
    m_nextRepeatedTrial = std::max(m_nextRepeatedTrial, record.nextTrial);
}

Duration PromptPartQuarantine::trialInterval() const
{
    return doubled(m_options.trialInterval, m_failedTrials, m_options.maximumTrialInterval);
}

Duration PromptPartQuarantine::doubled(Duration duration, unsigned times, Duration maximum)
{
    for (unsigned i = 0; i < times && duration < maximum; ++i)
        duration *= 2;
    return std::min(duration, maximum);
}

bool PromptPartQuarantine::noteProgress(const PartProgress& progress, Instant now)
{
    Instant& last = m_progress[progress.part];
    last = std::max(last, progress.at);
    limitSize();
    auto found = m_records.find(progress.part);
    if (found == m_records.end() || progress.at <= found->second.lastCrash)
        return false;
    bool wasQuarantined = found->second.isQuarantined;
    m_records.erase(found);
    if (wasQuarantined) {
        m_failedTrials = 0;
        m_nextRepeatedTrial = std::min(m_nextRepeatedTrial, now + m_options.trialInterval);
    }
    return wasQuarantined;
}

bool PromptPartQuarantine::adopt(PromptPartKey part, Instant now)
{
    if (m_progress.contains(part))
        return false;
    Record& record = m_records[part];
    record.lastSeen = now;
    if (record.isQuarantined)
        return false;
    quarantine(record, now);
    // As far as this host knows, a trial has just failed.
    record.hasFailedTrial = true;
    record.nextTrial = now + trialInterval();
    limitSize();
    return true;
}

bool PromptPartQuarantine::isQuarantined(PromptPartKey part) const
{
    auto found = m_records.find(part);
    return found != m_records.end() && found->second.isQuarantined;
}

bool PromptPartQuarantine::isSuspect(PromptPartKey part) const
{
    auto found = m_records.find(part);
    return found != m_records.end() && (found->second.isQuarantined || found->second.consecutiveCrashes >= m_options.crashesUntilSuspect);
}

std::vector<SuspectPart> PromptPartQuarantine::suspects(Instant now) const
{
    std::vector<SuspectPart> all;
    for (const auto& [part, record] : m_records) {
        if (isSuspect(part))
            all.push_back({ part, record.isQuarantined, std::max<Duration>(nextTrial(part).value_or(now) - now, Duration::zero()) });
    }
    return all;
}

bool PromptPartQuarantine::takeTrial(PromptPartKey part, Instant now)
{
    auto found = m_records.find(part);
    if (found == m_records.end() || !found->second.isQuarantined)
        return false;
    Record& record = found->second;
    record.lastSeen = now;
    if (now < *nextTrial(part))
        return false;
    record.lastTrial = now;
    record.nextTrial = now + doubled(m_options.openTrialInterval, record.openTrials++, m_options.maximumTrialInterval);
    if (record.hasFailedTrial)
        m_nextRepeatedTrial = std::max(m_nextRepeatedTrial, record.nextTrial);
    return true;
}

std::optional<Instant> PromptPartQuarantine::nextTrial(PromptPartKey part) const
{
    auto found = m_records.find(part);
    if (found == m_records.end() || !found->second.isQuarantined)
        return std::nullopt;
    return found->second.hasFailedTrial ? std::max(found->second.nextTrial, m_nextRepeatedTrial) : found->second.nextTrial;
}

void PromptPartQuarantine::expire(Instant now)
{
    if (now < m_nextExpiry)
        return;
    m_nextExpiry = now + expiryInterval;
    std::erase_if(m_progress, [&](const auto& item) { return now - item.second > m_options.progressLifetime; });
    std::erase_if(m_records, [&](const auto& item) {
        return now - item.second.lastSeen > (item.second.isQuarantined ? m_options.quarantineLifetime : m_options.evidenceLifetime);
    });
}

/** Callers can make up any number of parts. */
void PromptPartQuarantine::limitSize()
{
    while (m_progress.size() > m_options.maximumParts)
        m_progress.erase(std::min_element(m_progress.begin(), m_progress.end(), [](const auto& a, const auto& b) { return a.second < b.second; }));
    auto rank = [](const auto& item) { return std::pair(item.second.isQuarantined, item.second.lastSeen); };
    while (m_records.size() > m_options.maximumParts)
        m_records.erase(std::min_element(m_records.begin(), m_records.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); }));
}

} // namespace hemlockchute
