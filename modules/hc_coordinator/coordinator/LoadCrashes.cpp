#include "coordinator/LoadCrashes.h"

#include <algorithm>

namespace hemlockchute {

bool LoadCrashes::noteCrash(const ModelName& model, Instant ordered, Instant now)
{
    auto [found, isNew] = m_records.try_emplace(model);
    Record& record = found->second;
    if (!isNew && ordered < record.lastCrash)
        return false;
    record.lastCrash = now;
    return ++record.consecutiveCrashes >= m_options.crashesUntilPause;
}

std::optional<Instant> LoadCrashes::postponedUntil(const ModelName& model, Instant now) const
{
    auto found = m_records.find(model);
    if (found == m_records.end() || found->second.consecutiveCrashes < m_options.crashesUntilPause)
        return std::nullopt;
    Instant end = found->second.lastCrash + pauseAfter(found->second.consecutiveCrashes);
    return now < end ? std::optional(end) : std::nullopt;
}

void LoadCrashes::expire(Instant now)
{
    std::erase_if(m_records, [&](const auto& item) { return now - item.second.lastCrash > m_options.lifetime; });
}

Duration LoadCrashes::pauseAfter(unsigned crashes) const
{
    Duration pause = m_options.firstPause;
    for (unsigned i = m_options.crashesUntilPause; i < crashes && pause < m_options.maximumPause; ++i)
        pause *= 2;
    return std::min(pause, m_options.maximumPause);
}

} // namespace hemlockchute
