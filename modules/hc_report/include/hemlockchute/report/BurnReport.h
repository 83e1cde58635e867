#pragma once

#include "hemlockchute/document/Document.h"
#include "hemlockchute/report/BurnRecorder.h"

#include <array>
#include <string>
#include <vector>

namespace hemlockchute {

/** The requests of one window, and its error budget. */
struct BurnWindow {
    std::chrono::minutes length {};
    BurnTally tally;
    /** Number of requests that may miss their targets under the objectives: the error budget. */
    double allowed = 0;

    /** Ratio of missed requests to the error budget; 1 spends exactly the budget, 0 means that none missed. */
    double burnRate() const;
};

/** A short and a long window; an alarm is raised when the burn rates of both exceed the threshold. */
struct BurnPair {
    std::string_view name;
    std::chrono::minutes shortWindow;
    std::chrono::minutes longWindow;
    double threshold;
};

/** The window pairs that are evaluated, the most urgent first. */
inline constexpr std::array burnPairs {
    BurnPair { "5m/1h", 5min, 60min, 14.4 },
    BurnPair { "30m/6h", 30min, 360min, 6.0 },
    BurnPair { "6h/3d", 360min, 4320min, 1.0 },
};

/** A model or data centre that spent budget, with its tally of the last six hours. */
struct BurnContributor {
    std::string name;
    BurnTally tally;
};

/** The burn rates of one rank, or of the models of one team. */
struct BurnSubject {
    std::string name;
    /** The team that owns a rank; empty for a team itself. */
    std::string team;
    /** A short and a long window for each of burnPairs. */
    std::array<std::array<BurnWindow, 2>, burnPairs.size()> windows;
    /** Remaining share of the three days' error budget; negative when overspent. */
    double budgetLeft = 1;
    std::vector<BurnContributor> worstModels;
    std::vector<BurnContributor> worstDataCentres;
    /** Burn rate per five minutes over the last six hours, oldest first. */
    std::vector<double> history;

    /** True when both windows of that pair are above its threshold. */
    bool isAlarmed(std::size_t pair) const;
};

//==============================================================================
/**
    How fast each rank and team spends its error budget: the requests that may miss their targets.

    Thread safety: immutable once made.

    @see makeBurnReport
*/
struct BurnReport {
    WallTime when;
    DocumentVersion version;
    std::vector<BurnSubject> ranks;
    std::vector<BurnSubject> teams;

    /** A plain-text table. */
    std::string text() const;
    std::string json() const;
    /** A self-contained HTML page with plots. */
    std::string html() const;
};

/** Compares counts with the document's objectives; ranks are sorted by urgency, teams by name. Thread safety: any thread. */
BurnReport makeBurnReport(const Document&, const BurnCounts&, WallTime now);

} // namespace hemlockchute
