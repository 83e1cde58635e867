#include "hemlockchute/report/BurnReport.h"

#include <algorithm>
#include <functional>

namespace hemlockchute {
namespace {

constexpr double wholePerMille = 1000;
/** Burn rate shown when requests missed their targets and the objective allows none to. */
constexpr double unboundedBurn = 1000;
constexpr std::size_t maximumContributors = 5;
constexpr std::chrono::minutes contributorWindow { 360 };
constexpr std::chrono::minutes historyStep { 5 };
constexpr int historySteps = 72;

using Keys = std::vector<BurnKey>;

double allowedShare(const Document& document, const BurnKey& key)
{
    auto rank = document.ranks.find(key.rank);
    return rank == document.ranks.end() ? 0 : (wholePerMille - rank->second.objectivePerMille) / wholePerMille;
}

BurnWindow makeWindow(const Document& document, const BurnCounts& counts, const Keys& keys, std::chrono::minutes length, WallTime now)
{
    BurnWindow window;
    window.length = length;
    for (const BurnKey& key : keys) {
        BurnTally tally = counts.tally(key, length, now);
        window.tally += tally;
        window.allowed += allowedShare(document, key) * static_cast<double>(tally.total);
    }
    return window;
}

std::vector<double> makeHistory(const Document& document, const BurnCounts& counts, const Keys& keys, WallTime now)
{
    std::vector<double> history;
    auto end = std::chrono::floor<std::chrono::minutes>(now) + std::chrono::minutes(1);
    for (int step = historySteps; step > 0; --step) {
        BurnWindow window;
        for (const BurnKey& key : keys) {
            BurnTally tally = counts.between(key, end - step * historyStep, end - (step - 1) * historyStep);
            window.tally += tally;
            window.allowed += allowedShare(document, key) * static_cast<double>(tally.total);
        }
        history.push_back(window.burnRate());
    }
    return history;
}

std::vector<BurnContributor> findWorst(const BurnCounts& counts, const Keys& keys, WallTime now, const std::function<std::string(const BurnKey&)>& nameOf)
{
    std::map<std::string, BurnTally> tallies;
    for (const BurnKey& key : keys)
        tallies[nameOf(key)] += counts.tally(key, contributorWindow, now);
    std::vector<BurnContributor> worst;
    for (const auto& [name, tally] : tallies) {
        if (tally.bad > 0)
            worst.push_back({ name, tally });
    }
    std::stable_sort(worst.begin(), worst.end(), [](const BurnContributor& a, const BurnContributor& b) { return a.tally.bad > b.tally.bad; });
    worst.resize(std::min(worst.size(), maximumContributors));
    return worst;
}

BurnSubject makeSubject(const Document& document, const BurnCounts& counts, const Keys& keys, WallTime now)
{
    BurnSubject subject;
    for (std::size_t pair = 0; pair < burnPairs.size(); ++pair) {
        subject.windows.at(pair).at(0) = makeWindow(document, counts, keys, burnPairs.at(pair).shortWindow, now);
        subject.windows.at(pair).at(1) = makeWindow(document, counts, keys, burnPairs.at(pair).longWindow, now);
    }
    subject.budgetLeft = 1 - subject.windows.back().at(1).burnRate();
    subject.worstModels = findWorst(counts, keys, now, [](const BurnKey& key) { return key.model.text(); });
    subject.worstDataCentres = findWorst(counts, keys, now, [](const BurnKey& key) { return key.dataCentre.text(); });
    subject.history = makeHistory(document, counts, keys, now);
    return subject;
}

TeamName teamOf(const Document& document, const BurnKey& key)
{
    auto model = document.models.find(key.model);
    return model == document.models.end() ? TeamName() : model->second.team;
}

} // namespace

double BurnWindow::burnRate() const
{
    if (tally.bad == 0)
        return 0;
    return allowed > 0 ? static_cast<double>(tally.bad) / allowed : unboundedBurn;
}

bool BurnSubject::isAlarmed(std::size_t pair) const
{
    double threshold = burnPairs.at(pair).threshold;
    return windows.at(pair).at(0).burnRate() > threshold && windows.at(pair).at(1).burnRate() > threshold;
}

BurnReport makeBurnReport(const Document& document, const BurnCounts& counts, WallTime now)
{
    std::map<unsigned, RankSpec> byUrgency;
    for (const auto& [name, spec] : document.ranks)
        byUrgency[spec.order] = spec;
    std::map<RankName, Keys> keysOfRank;
    std::map<TeamName, Keys> keysOfTeam;
    for (const BurnKey& key : counts.keys()) {
        if (!document.ranks.contains(key.rank))
            continue;
        keysOfRank[key.rank].push_back(key);
        if (TeamName team = teamOf(document, key); !team.isEmpty())
            keysOfTeam[team].push_back(key);
    }

    BurnReport report { now, document.version, {}, {} };
    for (const auto& [order, spec] : byUrgency) {
        BurnSubject subject = makeSubject(document, counts, keysOfRank[spec.name], now);
        subject.name = spec.name.text();
        subject.team = spec.team.text();
        report.ranks.push_back(std::move(subject));
    }
    for (const auto& [team, keys] : keysOfTeam) {
        BurnSubject subject = makeSubject(document, counts, keys, now);
        subject.name = team.text();
        report.teams.push_back(std::move(subject));
    }
    return report;
}

} // namespace hemlockchute
