#pragma once

#include "hemlockchute/backend/Placement.h"
#include "hemlockchute/document/Document.h"
#include "hemlockchute/policy/PlacementPlanner.h"

#include <map>
#include <set>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    What the routers of a data centre want, added up from their reports.

    A router's word counts for a few seconds, so that one that died wants nothing any more. Thread
    safety: one thread at a time.
*/
class DemandTable {
public:
    /** Takes a router's report in place of its last. */
    void report(const DemandReport&, Instant now);
    /** Keeps a model that is loaded when this begins from reading as never used. */
    void noteLoaded(const std::set<ModelName>&, Instant now);

    /** What is wanted of each model in use. */
    std::vector<PlannedDemand> demand(const Document&, Instant now);
    /** Models asked for a short while ago, which may still be running. */
    std::set<ModelName> recentlyUsed(Instant now) const;
    /** True when any request waits. */
    bool isAnyWaiting(Instant now) const;
    /** Models that requests wait for. */
    unsigned waitingModels(Instant now) const;
    /** Adapters that requests wait for. */
    unsigned waitingAdapters(Instant now) const;

private:
    struct Report {
        DemandReport report;
        Instant at;
    };

    struct Usage {
        Instant lastUse;
        /** Requests a second, averaged. */
        double rate = 0;
        Instant rateAt;
    };

    void noteArrivals(const ModelName&, unsigned arrivals, Instant now);
    void dropOld(Instant now);

    std::map<HostName, Report> m_reports;
    std::map<ModelName, Usage> m_usage;
};

} // namespace hemlockchute
