#include "hemlockchute/document/SectionDelta.h"

namespace hemlockchute {
namespace {

tl::unexpected<DocumentFaults> fault(std::string message)
{
    return tl::unexpected(DocumentFaults { { 0, {}, std::move(message) } });
}

} // namespace

SectionDelta sectionDelta(const Document& before, const Document& after)
{
    SectionDelta delta { before.version, after.version, after.digest, {} };
    for (const TeamName& team : changedTeams(before, after)) {
        auto found = after.sections.find(team);
        delta.sections[team] = found == after.sections.end() ? std::nullopt : std::optional(found->second);
    }
    return delta;
}

tl::expected<Document, DocumentFaults> applyDelta(const Document& base, const SectionDelta& delta)
{
    if (base.version != delta.baseVersion)
        return fault("the delta's base is version " + std::to_string(delta.baseVersion.value()) + ", but the document has version " + std::to_string(base.version.value()));
    auto sections = base.sections;
    for (const auto& [team, text] : delta.sections) {
        if (text)
            sections[team] = *text;
        else
            sections.erase(team);
    }
    auto document = parseDocument(documentText(sections), delta.version);
    if (document && document->digest != delta.digest)
        return fault("the document that results from the delta does not match the delta's digest");
    return document;
}

} // namespace hemlockchute
