#include "hemlockchute/report/BurnReport.h"

#include <algorithm>
#include <ctime>
#include <sstream>

namespace hemlockchute {
namespace {

constexpr int plotWidth = 640;
constexpr int plotHeight = 120;
constexpr int plotMargin = 36;
constexpr double minimumScale = 2;

constexpr std::string_view style = R"(
body { font: 15px/1.45 system-ui, sans-serif; max-width: 52rem; margin: 2rem auto; padding: 0 1rem; color: #1d2327; background: #fff; }
h1 { font-size: 1.4rem; margin-bottom: 0; } h2 { font-size: 1.1rem; margin-top: 2rem; } h3 { font-size: 1rem; margin-bottom: .3rem; }
table { border-collapse: collapse; width: 100%; } th, td { padding: .25rem .6rem; text-align: right; border-bottom: 1px solid #dde1e4; }
th:first-child, td:first-child { text-align: left; } th { font-weight: 600; }
.note { color: #5b656d; } .alarm { color: #a3161b; font-weight: 600; } .ok { color: #1a6b3c; }
svg { width: 100%; height: auto; } svg text { font-size: 11px; fill: #5b656d; }
)";

std::string escaped(const std::string& text)
{
    std::string result;
    for (char character : text) {
        if (character == '<')
            result += "&lt;";
        else if (character == '>')
            result += "&gt;";
        else if (character == '&')
            result += "&amp;";
        else if (character == '"')
            result += "&quot;";
        else
            result += character;
    }
    return result;
}

std::string number(double value, int decimals)
{
    std::ostringstream stream;
    stream.setf(std::ios::fixed);
    stream.precision(decimals);
    stream << value;
    return stream.str();
}

std::string timeText(WallTime when)
{
    std::time_t seconds = std::chrono::system_clock::to_time_t(when);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text {};
    std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M UTC", &parts);
    return text.data();
}

//==============================================================================
int plotY(double value, double scale)
{
    return plotMargin / 2 + static_cast<int>(plotHeight * (1 - value / scale));
}

void writePlot(std::ostream& page, const BurnSubject& subject)
{
    double highest = subject.history.empty() ? 0 : *std::max_element(subject.history.begin(), subject.history.end());
    double scale = std::max(minimumScale, highest * 1.1);
    int right = plotMargin + plotWidth;
    int bottom = plotY(0, scale);
    page << "<svg viewBox=\"0 0 " << right + plotMargin / 2 << ' ' << bottom + 20 << "\" role=\"img\" aria-label=\"Burn rate of "
         << escaped(subject.name) << " over the last six hours\">\n";
    page << "<line x1=\"" << plotMargin << "\" y1=\"" << bottom << "\" x2=\"" << right << "\" y2=\"" << bottom << "\" stroke=\"#98a2a9\"/>\n";
    for (double mark : { 0.0, 1.0, scale }) {
        page << "<text x=\"" << plotMargin - 5 << "\" y=\"" << plotY(mark, scale) + 4 << "\" text-anchor=\"end\">" << number(mark, mark == scale ? 1 : 0) << "</text>\n";
    }
    page << "<line x1=\"" << plotMargin << "\" y1=\"" << plotY(1, scale) << "\" x2=\"" << right << "\" y2=\"" << plotY(1, scale)
         << "\" stroke=\"#c0392b\" stroke-dasharray=\"4 3\"/>\n<polyline fill=\"none\" stroke=\"#1f6fb2\" stroke-width=\"2\" points=\"";
    auto last = static_cast<double>(std::max<std::size_t>(2, subject.history.size()) - 1);
    for (std::size_t index = 0; index < subject.history.size(); ++index)
        page << plotMargin + static_cast<int>(plotWidth * static_cast<double>(index) / last) << ',' << plotY(subject.history[index], scale) << ' ';
    page << "\"/>\n<text x=\"" << plotMargin << "\" y=\"" << bottom + 15 << "\">6 hours ago</text>\n<text x=\"" << right << "\" y=\"" << bottom + 15
         << "\" text-anchor=\"end\">now</text>\n</svg>\n";
}

void writeTable(std::ostream& page, const std::string& kind, const std::vector<BurnSubject>& subjects)
{
    page << "<table>\n<tr><th>" << kind << "</th>";
    for (const BurnPair& pair : burnPairs)
        page << "<th>" << pair.name << "</th>";
    page << "<th>budget left</th></tr>\n";
    for (const BurnSubject& subject : subjects) {
        page << "<tr><td>" << escaped(subject.name) << (subject.team.empty() ? "" : " <span class=\"note\">(" + escaped(subject.team) + ")</span>") << "</td>";
        for (std::size_t pair = 0; pair < burnPairs.size(); ++pair) {
            const auto& windows = subject.windows.at(pair);
            page << "<td class=\"" << (subject.isAlarmed(pair) ? "alarm" : "ok") << "\">" << number(windows.at(0).burnRate(), 2) << " / " << number(windows.at(1).burnRate(), 2) << "</td>";
        }
        page << "<td" << (subject.budgetLeft < 0 ? " class=\"alarm\"" : "") << '>' << number(100 * subject.budgetLeft, 1) << "%</td></tr>\n";
    }
    page << "</table>\n";
}

void writeContributors(std::ostream& page, const char* kind, const std::vector<BurnContributor>& contributors)
{
    if (contributors.empty())
        return;
    page << "<p class=\"note\">Worst " << kind << ": ";
    for (std::size_t index = 0; index < contributors.size(); ++index) {
        const BurnContributor& contributor = contributors[index];
        page << (index == 0 ? "" : ", ") << escaped(contributor.name) << " (" << contributor.tally.bad << " of " << contributor.tally.total << ')';
    }
    page << "</p>\n";
}

} // namespace

std::string BurnReport::html() const
{
    std::ostringstream page;
    page << "<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n<meta name=\"viewport\" content=\"width=device-width\">\n"
         << "<title>Service-level burn</title>\n<style>" << style << "</style>\n</head>\n<body>\n<h1>Service-level burn</h1>\n"
         << "<p class=\"note\">" << timeText(when) << ", document version " << version.value()
         << ". A burn rate of 1 spends exactly the budget; red where both windows of a pair are above 14.4, 6 or 1.</p>\n";
    page << "<h2>Ranks</h2>\n";
    writeTable(page, "rank", ranks);
    page << "<h2>Teams</h2>\n";
    writeTable(page, "team", teams);
    page << "<h2>The last six hours</h2>\n";
    for (const BurnSubject& subject : ranks) {
        page << "<h3>" << escaped(subject.name) << "</h3>\n";
        writePlot(page, subject);
        writeContributors(page, "models", subject.worstModels);
        writeContributors(page, "data centres", subject.worstDataCentres);
    }
    page << "</body>\n</html>\n";
    return page.str();
}

} // namespace hemlockchute
