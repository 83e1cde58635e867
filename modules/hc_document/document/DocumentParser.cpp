#include "hemlockchute/document/DocumentParser.h"

#include "document/SectionReader.h"

#include <algorithm>

namespace hemlockchute {
namespace {

constexpr std::size_t maximumDocumentBytes = 4U << 20U;

} // namespace

std::string DocumentFault::text() const
{
    std::string place = line ? "line " + std::to_string(line) + ": " : std::string();
    if (!team.isEmpty())
        place += "team " + team.text() + ": ";
    return place + message;
}

tl::expected<Document, DocumentFaults> parseDocument(std::string_view text, DocumentVersion version)
{
    if (text.size() > maximumDocumentBytes)
        return tl::unexpected(DocumentFaults { { 0, {}, "the document is longer than 4 MiB" } });
    SectionSplitter splitter(text);
    DocumentFaults faults = splitter.faults();
    Document document;
    document.version = version;
    SectionReader reader(document, faults);
    for (const auto& [team, section] : splitter.sections()) {
        reader.read(team, section);
        document.sections.emplace(team, section.text);
    }
    reader.finish();
    if (!faults.empty()) {
        std::sort(faults.begin(), faults.end());
        return tl::unexpected(std::move(faults));
    }
    document.digest = Digest::of(documentText(document.sections));
    return document;
}

std::string documentText(const std::map<TeamName, std::string>& sections)
{
    std::string text;
    for (const auto& [team, section] : sections) {
        // The blank line keeps a comment at the end of one section from becoming part of the next.
        if (!text.empty())
            text += '\n';
        text += section;
    }
    return text;
}

std::vector<TeamName> changedTeams(const Document& before, const Document& after)
{
    std::vector<TeamName> teams;
    for (const auto& [team, section] : before.sections) {
        auto found = after.sections.find(team);
        if (found == after.sections.end() || found->second != section)
            teams.push_back(team);
    }
    for (const auto& [team, section] : after.sections) {
        if (!before.sections.contains(team))
            teams.push_back(team);
    }
    std::sort(teams.begin(), teams.end());
    return teams;
}

} // namespace hemlockchute
