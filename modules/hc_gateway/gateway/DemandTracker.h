#pragma once

#include "hemlockchute/fleet/FleetMessages.h"

#include <map>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Counts the demand for each model and adapter, for the reports to the coordinator.

    Thread safety: one thread at a time.
*/
class DemandTracker {
public:
    void noteArrival(const ModelKey&, unsigned rank);
    void noteRefused(const ModelKey&);
    void addWaiting(const ModelKey& key, int change)
    {
        add(m_entries[key].waiting, change);
        add(m_waiting, change);
    }
    void addActive(const ModelKey& key, int change) { add(m_entries[key].active, change); }

    /** True while any request waits for a model. */
    bool isWaiting() const { return m_waiting > 0; }
    /** Returns the counts since the last call, and drops models without waiting or active requests. */
    std::vector<ModelDemandReport> takeReports();

private:
    struct Entry {
        unsigned waiting = 0;
        unsigned active = 0;
        unsigned arrivals = 0;
        unsigned refused = 0;
        unsigned rank = 0;
    };

    static void add(unsigned& count, int change) { count = static_cast<unsigned>(static_cast<int>(count) + change); }

    std::map<ModelKey, Entry> m_entries;
    /** Waiting requests for all models together. */
    unsigned m_waiting = 0;
};

} // namespace hemlockchute
