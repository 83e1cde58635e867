#include "gateway/DemandTracker.h"

#include <algorithm>

namespace hemlockchute {

void DemandTracker::noteArrival(const ModelKey& key, unsigned rank)
{
    Entry& entry = m_entries[key];
    bool isFirst = entry.waiting == 0 && entry.active == 0 && entry.arrivals == 0;
    entry.rank = isFirst ? rank : std::min(entry.rank, rank);
    ++entry.arrivals;
}

void DemandTracker::noteRefused(const ModelKey& key)
{
    ++m_entries[key].refused;
}

std::vector<ModelDemandReport> DemandTracker::takeReports()
{
    std::vector<ModelDemandReport> reports;
    for (auto& [key, entry] : m_entries) {
        reports.push_back({ key, entry.waiting, entry.active, entry.arrivals, entry.refused, entry.rank });
        entry.arrivals = 0;
        entry.refused = 0;
    }
    std::erase_if(m_entries, [](const auto& item) { return item.second.waiting == 0 && item.second.active == 0; });
    return reports;
}

} // namespace hemlockchute
