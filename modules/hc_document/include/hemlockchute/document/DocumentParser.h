#pragma once

#include "hemlockchute/document/Document.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace hemlockchute {

/** One validation error of a document. */
struct DocumentFault {
    /** Line of the whole document's text, counted from 1; 0 when the fault belongs to no line. */
    unsigned line = 0;
    TeamName team;
    std::string message;

    /** The fault as one line of text: "line 12: team counter: message". */
    std::string text() const;

    friend auto operator<=>(const DocumentFault&, const DocumentFault&) = default;
};

using DocumentFaults = std::vector<DocumentFault>;

//==============================================================================
/**
    Parses and validates a TOML document.

    The text holds one table [team.NAME] per section, with ranks, models, adapters, services,
    data_centres, drains and limits below it (docs/PROTOCOLS.md lists every key). All faults are
    reported, not only the first. Unknown keys are faults, since a mistyped key would otherwise be
    ignored silently. Thread safety: any thread.
*/
tl::expected<Document, DocumentFaults> parseDocument(std::string_view text, DocumentVersion);

/** The text of a document: its sections by team name. parseDocument() reads it back. */
std::string documentText(const std::map<TeamName, std::string>& sections);

/** The teams whose sections differ between two documents. */
std::vector<TeamName> changedTeams(const Document& before, const Document& after);

} // namespace hemlockchute
