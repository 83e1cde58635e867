#pragma once

#include "hemlockchute/document/DocumentParser.h"

#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    The sections that differ between two versions of the document.

    @see sectionDelta, applyDelta
*/
struct SectionDelta {
    DocumentVersion baseVersion;
    DocumentVersion version;
    /** The digest of the resulting document. */
    Digest digest;
    /** The new text of each changed section; no value where the section was removed. */
    std::map<TeamName, std::optional<std::string>> sections;
};

/** The delta from one document to another. Thread safety: any thread. */
SectionDelta sectionDelta(const Document& before, const Document& after);

/** Applies a delta to its base document; fails when the base version or the resulting digest does not match. Thread safety: any thread. */
tl::expected<Document, DocumentFaults> applyDelta(const Document& base, const SectionDelta&);

} // namespace hemlockchute
