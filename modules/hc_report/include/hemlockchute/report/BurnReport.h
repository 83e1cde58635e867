#pragma once

#include "hemlockchute/document/Document.h"
#include "hemlockchute/report/BurnRecorder.h"

#include <array>
#include <string>
#include <vector>

namespace hemlockchute {

/** Requests of one window against the number that may be outside their targets. */
struct BurnWindow {
    std::chrono::minutes length {};
    BurnTally tally;
    /** Requests that may be outside their targets, by the objectives. */
    double allowed = 0;

    /** How many times faster than sustainable the budget is spent; 0 when nothing was asked for. */
    double burnRate() const;
};

/** A short and a long window; both above the threshold raise an alarm. */
struct BurnPair {
    std::string_view name;
    std::chrono::minutes shortWindow;
    std::chrono::minutes longWindow;
    double threshold;
};

/** The pairs that are watched, the most pressing first. */
inline constexpr std::array burnPairs {
    BurnPair { "5m/1h", 5min, 60min, 14.4 },
    BurnPair { "30m/6h", 30min, 360min, 6.0 },
    BurnPair { "6h/3d", 360min, 4320min, 1.0 },
};

/** Something that burns budget, with its share in the last six hours. */
struct BurnContributor {
    std::string name;
    BurnTally tally;
};

/** The burn of one rank, or of the models of one team. */
struct BurnSubject {
    std::string name;
    /** The team that owns a rank; empty for a team itself. */
    std::string team;
    /** A short and a long window for each of burnPairs. */
    std::array<std::array<BurnWindow, 2>, burnPairs.size()> windows;
    /** Share of the three days' budget that is left; negative when overspent. */
    double budgetLeft = 1;
    std::vector<BurnContributor> worstModels;
    std::vector<BurnContributor> worstDataCentres;
    /** Burn rate of each five minutes of the last six hours, oldest first. */
    std::vector<double> history;

    /** True when both windows of that pair are above its threshold. */
    bool isAlarmed(std::size_t pair) const;
};

//==============================================================================
/**
    How fast each rank and team spends its budget of requests outside their targets.

    Thread safety: immutable once made.

    @see makeBurnReport
*/
struct BurnReport {
    WallTime when;
    DocumentVersion version;
    std::vector<BurnSubject> ranks;
    std::vector<BurnSubject> teams;

    /** A table for people. */
    std::string text() const;
    std::string json() const;
    /** One page that needs nothing else, with plots. */
    std::string html() const;
};

/** Compares counts with the document's objectives; ranks by urgency, teams by name. Thread safety: any thread. */
BurnReport makeBurnReport(const Document&, const BurnCounts&, WallTime now);

} // namespace hemlockchute
