#pragma once

#include "hemlockchute/document/DocumentParser.h"

namespace hemlockchute {

/** One team's part of a document's text. */
struct SectionText {
    std::string text;
    /** The line number in the whole document of each line of the text. */
    std::vector<unsigned> lines;

    /** The line number in the whole document of a line of this text; both count from 1. */
    unsigned documentLine(unsigned sectionLine) const;
};

//==============================================================================
/**
    Splits a document's text into its teams' sections, by the headers [team.NAME…] and [[team.NAME…]].

    A section keeps its own text, comments included; a comment directly above a header belongs to
    that header. Blank lines at the end of a section are dropped, so that a section's text does not
    depend on its position in the document. Text outside any team's section is a fault. Thread
    safety: one thread at a time.
*/
class SectionSplitter {
public:
    explicit SectionSplitter(std::string_view text);

    const std::map<TeamName, SectionText>& sections() const { return m_sections; }
    const DocumentFaults& faults() const { return m_faults; }

private:
    /** The kind of multi-line string that is open at the end of the last line. */
    enum class OpenString {
        None,
        BasicString,
        LiteralString
    };

    struct Line {
        std::string_view text;
        unsigned number = 0;
    };

    void processLine(Line);
    void processHeader(Line);
    void flushPendingLines();
    void scan(std::string_view line);
    std::size_t scanString(std::string_view line, std::size_t at);
    std::size_t findMultilineStringEnd(std::string_view line, std::size_t from);

    std::map<TeamName, SectionText> m_sections;
    DocumentFaults m_faults;
    /** Lines that are not yet added to a section: those since the team last changed. */
    std::vector<Line> m_pendingLines;
    TeamName m_team;
    bool m_isOutsideSections = true;
    OpenString m_openString = OpenString::None;
    /** Unclosed brackets of arrays and inline tables. */
    unsigned m_bracketDepth = 0;
};

} // namespace hemlockchute
