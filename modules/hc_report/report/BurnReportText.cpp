#include "hemlockchute/report/BurnReport.h"

#include <boost/json.hpp>
#include <cstdio>

namespace hemlockchute {
namespace {

namespace json = boost::json;

template <typename... Arguments>
std::string format(const char* pattern, Arguments... arguments)
{
    constexpr std::size_t longestLine = 256;
    std::array<char, longestLine> line {};
    std::snprintf(line.data(), line.size(), pattern, arguments...);
    return line.data();
}

std::string alarmText(const BurnSubject& subject)
{
    for (std::size_t pair = 0; pair < burnPairs.size(); ++pair) {
        if (subject.isAlarmed(pair))
            return "ALARM " + std::string(burnPairs.at(pair).name);
    }
    return "ok";
}

std::string culpritsText(const char* title, const std::vector<BurnContributor>& culprits)
{
    std::string text;
    for (const BurnContributor& culprit : culprits)
        text += (text.empty() ? "" : ", ") + culprit.name + format(" %llu/%llu", static_cast<unsigned long long>(culprit.tally.bad), static_cast<unsigned long long>(culprit.tally.total));
    return text.empty() ? text : std::string("    worst ") + title + ": " + text + '\n';
}

std::string subjectsText(const char* title, const std::vector<BurnSubject>& subjects)
{
    std::string text = format("%-20s %8s %8s %8s %8s %8s %8s %9s  %s\n", title, "5m", "1h", "30m", "6h", "6h", "3d", "left", "state");
    for (const BurnSubject& subject : subjects) {
        text += format("%-20.20s", subject.name.c_str());
        for (const auto& pair : subject.windows) {
            for (const BurnWindow& window : pair)
                text += format(" %8.2f", window.burnRate());
        }
        text += format(" %8.1f%%  ", 100 * subject.budgetLeft) + alarmText(subject) + '\n';
        text += culpritsText("models", subject.worstModels);
        text += culpritsText("data centres", subject.worstDataCentres);
    }
    return text;
}

//==============================================================================
json::object windowJson(const BurnWindow& window)
{
    return { { "minutes", window.length.count() }, { "total", window.tally.total }, { "bad", window.tally.bad }, { "burn_rate", window.burnRate() } };
}

json::array culpritsJson(const std::vector<BurnContributor>& culprits)
{
    json::array rows;
    for (const BurnContributor& culprit : culprits)
        rows.push_back(json::object { { "name", culprit.name }, { "total", culprit.tally.total }, { "bad", culprit.tally.bad } });
    return rows;
}

json::array subjectsJson(const std::vector<BurnSubject>& subjects)
{
    json::array rows;
    for (const BurnSubject& subject : subjects) {
        json::array pairs;
        for (std::size_t pair = 0; pair < burnPairs.size(); ++pair) {
            pairs.push_back(json::object { { "name", std::string(burnPairs.at(pair).name) }, { "short", windowJson(subject.windows.at(pair).at(0)) },
                { "long", windowJson(subject.windows.at(pair).at(1)) }, { "threshold", burnPairs.at(pair).threshold }, { "alarm", subject.isAlarmed(pair) } });
        }
        rows.push_back(json::object { { "name", subject.name }, { "team", subject.team }, { "windows", std::move(pairs) }, { "budget_left", subject.budgetLeft },
            { "worst_models", culpritsJson(subject.worstModels) }, { "worst_data_centres", culpritsJson(subject.worstDataCentres) } });
    }
    return rows;
}

} // namespace

std::string BurnReport::text() const
{
    std::string text = "Service-level burn, document version " + std::to_string(version.value()) + "\n\n";
    text += subjectsText("rank", ranks) + '\n' + subjectsText("team", teams);
    return text + "\nA burn rate of 1 spends exactly the budget. Alarm: both windows of a pair above 14.4, 6 or 1.\n";
}

std::string BurnReport::json() const
{
    return json::serialize(json::object { { "when_ms", when.time_since_epoch().count() }, { "document_version", version.value() },
        { "ranks", subjectsJson(ranks) }, { "teams", subjectsJson(teams) } });
}

} // namespace hemlockchute
