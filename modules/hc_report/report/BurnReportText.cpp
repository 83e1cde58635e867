#include "hemlockchute/report/BurnReport.h"

#include <boost/json.hpp>
#include <cstdio>

namespace hemlockchute {
namespace {

namespace json = boost::json;

template <typename... Arguments>
std::string format(const char* pattern, Arguments... arguments)
{
    constexpr std::size_t maximumLineLength = 256;
    std::array<char, maximumLineLength> line {};
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

std::string contributorsText(const char* title, const std::vector<BurnContributor>& contributors)
{
    std::string text;
    for (const BurnContributor& contributor : contributors)
        text += (text.empty() ? "" : ", ") + contributor.name + format(" %llu/%llu", static_cast<unsigned long long>(contributor.tally.bad), static_cast<unsigned long long>(contributor.tally.total));
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
        text += contributorsText("models", subject.worstModels);
        text += contributorsText("data centres", subject.worstDataCentres);
    }
    return text;
}

//==============================================================================
json::object windowJson(const BurnWindow& window)
{
    return { { "minutes", window.length.count() }, { "total", window.tally.total }, { "bad", window.tally.bad }, { "burn_rate", window.burnRate() } };
}

json::array contributorsJson(const std::vector<BurnContributor>& contributors)
{
    json::array rows;
    for (const BurnContributor& contributor : contributors)
        rows.push_back(json::object { { "name", contributor.name }, { "total", contributor.tally.total }, { "bad", contributor.tally.bad } });
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
            { "worst_models", contributorsJson(subject.worstModels) }, { "worst_data_centres", contributorsJson(subject.worstDataCentres) } });
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
