#include "document/SectionSplitter.h"

#include <algorithm>
#include <cassert>
#include <optional>

namespace hemlockchute {
namespace {

constexpr std::string_view whitespace = " \t\r";
constexpr std::string_view rootKey = "team";

std::string_view trimmed(std::string_view text)
{
    std::size_t begin = text.find_first_not_of(whitespace);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(whitespace) - begin + 1);
}

bool isBlank(std::string_view line) { return trimmed(line).empty(); }
bool isComment(std::string_view line) { return trimmed(line).starts_with('#'); }

/** Removes the first part of a dotted key from the text and returns it; no value when it is malformed. */
std::optional<std::string> consumeKeyPart(std::string_view& text)
{
    text = trimmed(text);
    if (text.empty())
        return {};
    std::string_view part;
    std::size_t used = 0;
    if (text.front() == '"' || text.front() == '\'') {
        std::size_t end = text.find(text.front(), 1);
        if (end == std::string_view::npos)
            return {};
        part = text.substr(1, end - 1);
        used = end + 1;
    } else {
        used = std::min(text.find_first_of(". \t]"), text.size());
        part = text.substr(0, used);
    }
    text = trimmed(text.substr(used));
    return std::string(part);
}

/** The team that a header line names; no value when it is not a team's header. */
std::optional<TeamName> headerTeam(std::string_view line)
{
    std::string_view rest = trimmed(line);
    rest.remove_prefix(rest.starts_with("[[") ? 2 : 1);
    auto root = consumeKeyPart(rest);
    if (root != std::string(rootKey) || !rest.starts_with('.'))
        return {};
    rest.remove_prefix(1);
    auto name = consumeKeyPart(rest);
    bool isEnded = rest.starts_with('.') || rest.starts_with(']');
    if (!name || name->empty() || !isEnded)
        return {};
    return TeamName(*name);
}

} // namespace

unsigned SectionText::documentLine(unsigned sectionLine) const
{
    if (lines.empty())
        return 0;
    std::size_t index = sectionLine == 0 ? 0 : sectionLine - 1;
    return lines[std::min(index, lines.size() - 1)];
}

//==============================================================================
SectionSplitter::SectionSplitter(std::string_view text)
{
    unsigned number = 0;
    while (!text.empty()) {
        std::size_t end = std::min(text.find('\n'), text.size());
        processLine({ text.substr(0, end), ++number });
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    flushPendingLines();
}

void SectionSplitter::processLine(Line line)
{
    std::string_view content = trimmed(line.text);
    bool startsWithBracket = m_openString == OpenString::None && content.starts_with('[');
    // A team's header cannot be an element of an array, so it ends an array that was left unclosed.
    if (startsWithBracket && (m_bracketDepth == 0 || headerTeam(content))) {
        m_bracketDepth = 0;
        processHeader(line);
        return;
    }
    bool wasInsideString = m_openString != OpenString::None;
    scan(line.text);
    bool isCode = wasInsideString || (!content.empty() && !content.starts_with('#'));
    if (m_isOutsideSections && isCode)
        m_faults.push_back({ line.number, {}, "stands outside any team's section" });
    m_pendingLines.push_back(line);
}

void SectionSplitter::processHeader(Line line)
{
    auto team = headerTeam(line.text);
    if (!team || m_isOutsideSections || *team != m_team) {
        std::vector<Line> above;
        while (!m_pendingLines.empty() && isComment(m_pendingLines.back().text)) {
            above.push_back(m_pendingLines.back());
            m_pendingLines.pop_back();
        }
        std::reverse(above.begin(), above.end());
        flushPendingLines();
        m_pendingLines.insert(m_pendingLines.end(), above.begin(), above.end());
    }
    m_isOutsideSections = !team;
    m_team = team.value_or(TeamName());
    m_pendingLines.push_back(line);
    if (!team)
        m_faults.push_back({ line.number, {}, "is not a header of a team's section, such as [team.NAME]" });
}

void SectionSplitter::flushPendingLines()
{
    std::vector<Line> lines = std::move(m_pendingLines);
    m_pendingLines.clear();
    if (m_isOutsideSections) {
        // Comments outside of any section are kept with the section that follows.
        std::erase_if(lines, [](const Line& line) { return !isComment(line.text); });
        m_pendingLines = std::move(lines);
        return;
    }
    while (!lines.empty() && isBlank(lines.back().text))
        lines.pop_back();
    SectionText& section = m_sections[m_team];
    if (!section.text.empty()) {
        section.text += '\n';
        section.lines.push_back(lines.front().number);
    }
    for (const Line& line : lines) {
        section.text += line.text;
        section.text += '\n';
        section.lines.push_back(line.number);
    }
}

//==============================================================================
void SectionSplitter::scan(std::string_view line)
{
    std::size_t at = 0;
    if (m_openString != OpenString::None)
        at = findMultilineStringEnd(line, 0);
    while (at < line.size()) {
        char c = line[at];
        if (c == '#')
            return;
        if (c == '"' || c == '\'') {
            at = scanString(line, at);
            continue;
        }
        if (c == '[' || c == '{')
            ++m_bracketDepth;
        if ((c == ']' || c == '}') && m_bracketDepth > 0)
            --m_bracketDepth;
        ++at;
    }
}

std::size_t SectionSplitter::scanString(std::string_view line, std::size_t at)
{
    char quote = line[at];
    if (line.substr(at).starts_with(std::string(3, quote))) {
        m_openString = quote == '"' ? OpenString::BasicString : OpenString::LiteralString;
        return findMultilineStringEnd(line, at + 3);
    }
    for (++at; at < line.size() && line[at] != quote; ++at) {
        if (quote == '"' && line[at] == '\\')
            ++at;
    }
    return at + 1;
}

std::size_t SectionSplitter::findMultilineStringEnd(std::string_view line, std::size_t from)
{
    assert(m_openString != OpenString::None);
    char quote = m_openString == OpenString::BasicString ? '"' : '\'';
    std::string end(3, quote);
    for (std::size_t at = from; at < line.size(); ++at) {
        if (quote == '"' && line[at] == '\\') {
            ++at;
            continue;
        }
        if (!line.substr(at).starts_with(end))
            continue;
        m_openString = OpenString::None;
        at += end.size();
        while (at < line.size() && line[at] == quote)
            ++at;
        return at;
    }
    return line.size();
}

} // namespace hemlockchute
