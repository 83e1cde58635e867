#include "hemlockchute/fleet/PromptPartQuarantine.h"

#include "hemlockchute/core/Digest.h"

#include <algorithm>
#include <set>

namespace hemlockchute {
namespace {

/** More crashes of one part tell nothing new. */
constexpr std::size_t maximumCrashes = 16;
/** More failed trials delay the next one no further. */
constexpr unsigned maximumFailedTrials = 16;
/** Many hosts report several times a second, and expiry reads all records. */
constexpr Duration expiryInterval = 1s;

/** The part, 1/n, of what is remembered that is dropped at once, so that each further part does not cost a search through all of them. */
constexpr std::size_t dropDivisor = 8;

/** Once there are more items than allowed, drops those of the lowest rank. */
template <typename Value, typename Rank>
void dropLeast(std::map<PromptPartKey, Value>& items, std::size_t most, Rank rankOf)
{
    if (items.size() <= most)
        return;
    using Ranked = std::pair<decltype(rankOf(items.begin()->second)), PromptPartKey>;
    std::vector<Ranked> ranked;
    ranked.reserve(items.size());
    for (const auto& [part, value] : items)
        ranked.emplace_back(rankOf(value), part);
    auto kept = ranked.begin() + static_cast<std::ptrdiff_t>(items.size() - (most - most / dropDivisor));
    std::nth_element(ranked.begin(), kept, ranked.end());
    std::for_each(ranked.begin(), kept, [&](const Ranked& dropped) { items.erase(dropped.second); });
}

/** Set in the keys of requests, and only there. */
constexpr std::uint64_t requestKeyBit = std::uint64_t(1) << 63U;

} // namespace

RequestKey requestKeyOf(const HttpRequest& request)
{
    std::string text = request.method + '\n' + request.headers.find("Host").value_or("") + '\n' + request.target + '\n' + Digest::of(request.body).text();
    return RequestKey(Digest::of(text).low() | requestKeyBit);
}

bool isRequestKey(PromptPartKey key)
{
    return (key.value() & requestKeyBit) != 0;
}

std::vector<PromptPartKey> sharedPartKeys(const RequestMetadata& request)
{
    std::vector<PromptPartKey> keys;
    std::set<PromptPartKey> known;
    for (std::size_t i = 0; i + 1 < request.promptParts.size(); ++i) {
        // Zero stands for no key.
        PromptPartKey key(std::max<std::uint64_t>(1, Digest::of(request.promptParts[i].id).low() & ~requestKeyBit));
        if (known.insert(key).second)
            keys.push_back(key);
    }
    return keys;
}

//==============================================================================
std::vector<PromptPartKey> PromptPartQuarantine::noteCrash(const ServerCrash& crash, Instant now)
{
    if (now - crash.ended > m_options.progressLifetime)
        return {};
    auto own = std::find_if(crash.parts.begin(), crash.parts.end(), isRequestKey);
    RequestKey request = own == crash.parts.end() ? RequestKey() : *own;
    std::vector<Record*> tried;
    bool isNew = false;
    for (PromptPartKey part : crash.parts) {
        auto progress = m_progress.find(part);
        if (progress != m_progress.end() && progress->second > crash.ended)
            continue;
        Record& record = m_records[part];
        record.lastSeen = now;
        record.lastCrash = std::max(record.lastCrash, crash.ended);
        bool isKnown = std::any_of(record.crashes.begin(), record.crashes.end(), [&](const Record::Crash& each) { return each.server == crash.server && each.request == request; });
        if (isKnown)
            continue;
        isNew = true;
        if (record.crashes.size() >= maximumCrashes)
            record.crashes.erase(record.crashes.begin());
        auto isBefore = [](const Record::Crash& a, const Record::Crash& b) { return a.ended < b.ended; };
        Record::Crash added { crash.server, request, crash.sent, crash.ended };
        record.crashes.insert(std::upper_bound(record.crashes.begin(), record.crashes.end(), added, isBefore), added);
        if (record.isQuarantined && delayTrials(part, record, crash.ended))
            tried.push_back(&record);
    }
    noteFailedTrial(tried, crash.ended);
    std::vector<PromptPartKey> quarantined;
    if (isNew)
        quarantined = evaluateAll(now);
    limitSize();
    return quarantined;
}

/** Requests first, those with the most crashes before the others, since they explain crashes of the others and of parts. Returns what is newly quarantined. */
std::vector<PromptPartKey> PromptPartQuarantine::evaluateAll(Instant now)
{
    std::vector<std::pair<std::size_t, PromptPartKey>> order;
    for (const auto& [part, record] : m_records)
        order.emplace_back(isRequestKey(part) ? record.crashes.size() : 0, part);
    std::stable_sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<PromptPartKey> quarantined;
    Culprits found = culprits();
    for (const auto& [crashes, part] : order) {
        Record& record = m_records[part];
        bool wasQuarantined = record.isQuarantined;
        if (evaluate(part, record, found, now))
            quarantined.push_back(part);
        if (isRequestKey(part) && record.isQuarantined != wasQuarantined)
            found = culprits();
    }
    return quarantined;
}

/** Counts the crashes anew; true if the part is quarantined because of it. */
bool PromptPartQuarantine::evaluate(PromptPartKey part, Record& record, const Culprits& culprits, Instant now)
{
    unsigned before = std::exchange(record.consecutiveCrashes, countConsecutive(part, record.crashes, culprits));
    bool isAccused = record.consecutiveCrashes >= m_options.crashesUntilQuarantine;
    bool isExplained = record.isQuarantined && !record.hasFailedTrial && record.consecutiveCrashes < before && !isAccused;
    if (isExplained)
        record.isQuarantined = false;
    if (record.isQuarantined || !isAccused)
        return false;
    quarantine(part, record, now);
    return true;
}

PromptPartQuarantine::Culprits PromptPartQuarantine::culprits() const
{
    Culprits all;
    for (const auto& [part, record] : m_records) {
        if (!isRequestKey(part) || !record.isQuarantined)
            continue;
        for (const Record::Crash& crash : record.crashes)
            all.emplace(crash.server, std::pair(part, record.crashes.size()));
    }
    return all;
}

std::size_t PromptPartQuarantine::crashesOf(RequestKey request) const
{
    auto found = m_records.find(request);
    return found == m_records.end() ? 0 : found->second.crashes.size();
}

/** True if another request that was at the server is to blame. */
bool PromptPartQuarantine::isExplained(const Record::Crash& crash, const Culprits& culprits) const
{
    auto [first, last] = culprits.equal_range(crash.server);
    return std::any_of(first, last, [&](const auto& item) { return item.second.first != crash.request && item.second.second > crashesOf(crash.request); });
}

/** The number of crashes of which each request was sent after the crash before. Crashes under a single request do not suffice for the quarantine of a part, and are not held against it once the request is quarantined. */
unsigned PromptPartQuarantine::countConsecutive(PromptPartKey part, const std::vector<Record::Crash>& crashes, const Culprits& culprits) const
{
    unsigned count = 0;
    Instant last = Instant::min();
    std::set<RequestKey> requests;
    for (const Record::Crash& crash : crashes) {
        if (crash.sent < last || isExplained(crash, culprits))
            continue;
        ++count;
        last = crash.ended;
        requests.insert(crash.request);
    }
    bool isOfOneRequest = !isRequestKey(part) && requests.size() == 1 && !requests.begin()->isNone();
    if (!isOfOneRequest)
        return count;
    return isQuarantined(*requests.begin()) ? 0 : std::min(count, m_options.crashesUntilQuarantine - 1);
}

void PromptPartQuarantine::quarantine(PromptPartKey part, Record& record, Instant now) const
{
    record.isQuarantined = true;
    record.openTrials = 0;
    record.hasFailedTrial = false;
    record.nextTrial = now + (isRequestKey(part) ? requestTrialInterval(record) : m_options.firstTrialDelay);
}

Duration PromptPartQuarantine::requestTrialInterval(const Record& record) const
{
    Duration interval = m_options.requestTrialInterval;
    for (unsigned i = 0; i < record.failedRequestTrials && interval < m_options.maximumRequestTrialInterval; ++i)
        interval *= m_options.requestTrialFactor;
    return std::min(interval, m_options.maximumRequestTrialInterval);
}

/** After a crash by a trial, or by a request that was sent before the quarantine was known everywhere; true if it was a trial of a part. */
bool PromptPartQuarantine::delayTrials(PromptPartKey part, Record& record, Instant ended)
{
    bool isTrial = std::exchange(record.openTrials, 0) > 0 && ended > record.lastTrial;
    if (isRequestKey(part)) {
        record.failedRequestTrials += isTrial ? 1 : 0;
        record.nextTrial = std::max(record.nextTrial, ended + requestTrialInterval(record));
        return false;
    }
    if (!isTrial)
        record.nextTrial = std::max(record.nextTrial, ended + m_options.firstTrialDelay);
    return isTrial;
}

/** One request may have been the trial of several parts. */
void PromptPartQuarantine::noteFailedTrial(const std::vector<Record*>& tried, Instant ended)
{
    if (tried.empty())
        return;
    bool isRepeated = std::any_of(tried.begin(), tried.end(), [](const Record* record) { return record->hasFailedTrial; });
    if (isRepeated)
        ++m_failedTrials;
    for (Record* record : tried) {
        record->hasFailedTrial = true;
        record->nextTrial = ended + trialInterval();
        m_nextRepeatedTrial = std::max(m_nextRepeatedTrial, record->nextTrial);
    }
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
    if (found == m_records.end())
        return false;
    Record& record = found->second;
    std::size_t known = record.crashes.size();
    std::erase_if(record.crashes, [&](const Record::Crash& crash) { return crash.ended < progress.at; });
    bool isCleared = progress.at > record.lastCrash;
    if (!isCleared && record.crashes.size() == known)
        return false;
    record.consecutiveCrashes = countConsecutive(found->first, record.crashes, culprits());
    bool isReleased = record.isQuarantined && (isCleared || record.consecutiveCrashes < m_options.crashesUntilQuarantine);
    bool hadFailedTrial = record.hasFailedTrial;
    if (isReleased)
        record.isQuarantined = record.hasFailedTrial = false;
    if (isCleared)
        m_records.erase(found);
    if (isReleased && hadFailedTrial) {
        m_failedTrials = 0;
        m_nextRepeatedTrial = std::min(m_nextRepeatedTrial, now + m_options.trialInterval);
    }
    return isReleased;
}

bool PromptPartQuarantine::adopt(const SuspectPart& reported, Instant now)
{
    if (m_progress.contains(reported.part))
        return false;
    Record& record = m_records[reported.part];
    record.lastSeen = now;
    if (record.isQuarantined)
        return false;
    quarantine(reported.part, record, now);
    if (isRequestKey(reported.part)) {
        record.failedRequestTrials = reported.failedTrials;
        record.nextTrial = now + std::clamp<Duration>(reported.untilTrial, m_options.openTrialInterval, m_options.maximumRequestTrialInterval);
        limitSize();
        return true;
    }
    record.hasFailedTrial = reported.failedTrials > 0;
    if (record.hasFailedTrial)
        m_failedTrials = std::max(m_failedTrials, std::min(reported.failedTrials, maximumFailedTrials) - 1);
    // The outcome of a trial that the host was told of may be lost with the former leader.
    Duration delay = record.hasFailedTrial ? trialInterval() : m_options.openTrialInterval;
    record.nextTrial = now + std::clamp(reported.untilTrial, delay, m_options.maximumTrialInterval);
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
        if (!isSuspect(part))
            continue;
        unsigned failedPartTrials = record.hasFailedTrial ? m_failedTrials + 1 : 0;
        Duration untilTrial = std::max<Duration>(nextTrial(part).value_or(now) - now, Duration::zero());
        all.push_back({ part, record.isQuarantined, untilTrial, isRequestKey(part) ? record.failedRequestTrials : failedPartTrials });
    }
    return all;
}

bool PromptPartQuarantine::takeTrial(const std::vector<PromptPartKey>& parts, Instant now)
{
    if (parts.empty() || parts.size() > m_options.maximumJointParts || !std::all_of(parts.begin(), parts.end(), [this](PromptPartKey part) { return isQuarantined(part); }))
        return false;
    Duration delay = m_options.jointTrialDelay * (parts.size() - 1);
    bool isDue = true;
    for (PromptPartKey part : parts) {
        m_records[part].lastSeen = now;
        isDue = isDue && now >= *nextTrial(part) + delay;
    }
    if (!isDue)
        return false;
    for (PromptPartKey part : parts) {
        Record& record = m_records[part];
        record.lastTrial = now;
        record.nextTrial = now + (isRequestKey(part) ? requestTrialInterval(record) : doubled(m_options.openTrialInterval, record.openTrials, m_options.maximumTrialInterval));
        ++record.openTrials;
        if (record.hasFailedTrial)
            m_nextRepeatedTrial = std::max(m_nextRepeatedTrial, record.nextTrial);
    }
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
    dropLeast(m_progress, m_options.maximumParts, [](Instant begun) { return begun; });
    dropLeast(m_records, m_options.maximumParts, [](const Record& record) { return std::pair(record.isQuarantined, record.lastSeen); });
}

} // namespace hemlockchute
