#pragma once

#include "hemlockchute/document/DocumentParser.h"

namespace hemlockchute {

/** One team's part of a document's text. */
struct SectionText {
    std::string text;
    /** The line of the whole document that each line of the text came from. */
    std::vector<unsigned> lines;

    /** The line of the whole document, for a line of this text counted from 1. */
    unsigned documentLine(unsigned sectionLine) const;
};

//==============================================================================
/**
    Cuts a document's text into its teams' sections, by the headers [team.NAME…] and [[team.NAME…]].

    A section keeps its own text, comments included; a comment directly above a header goes with
    that header. Blank lines at the ends of a section do not count, so that a section's text is the
    same wherever it stands. What belongs to no team is a fault. Thread safety: one thread at a
    time.
*/
class SectionSplitter {
public:
    explicit SectionSplitter(std::string_view text);

    const std::map<TeamName, SectionText>& sections() const { return m_sections; }
    const DocumentFaults& faults() const { return m_faults; }

private:
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
    /** The lines since the last header of another team. */
    std::vector<Line> m_pendingLines;
    TeamName m_team;
    bool m_isOutsideSections = true;
    OpenString m_openString = OpenString::None;
    /** Open brackets of an array or inline table. */
    unsigned m_bracketDepth = 0;
};

} // namespace hemlockchute
