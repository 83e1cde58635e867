#pragma once

#include "hemlockchute/document/DocumentParser.h"

#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    What one version of the document changes against another, by section.

    @see sectionDelta, applyDelta
*/
struct SectionDelta {
    DocumentVersion baseVersion;
    DocumentVersion version;
    /** The digest of the document that results. */
    Digest digest;
    /** The new text of each changed section; none where the section is gone. */
    std::map<TeamName, std::optional<std::string>> sections;
};

/** What leads from one document to another. Thread safety: any thread. */
SectionDelta sectionDelta(const Document& before, const Document& after);

/** The document that a delta makes of its base; faults when the base or the digest does not match. Thread safety: any thread. */
tl::expected<Document, DocumentFaults> applyDelta(const Document& base, const SectionDelta&);

} // namespace hemlockchute
