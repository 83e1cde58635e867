#pragma once

#include "document/EntryReader.h"

namespace hemlockchute {

//==============================================================================
/**
    Reads sections one after another into a document, and validates constraints across sections.

    Thread safety: one thread at a time.

    @see parseDocument
*/
class SectionReader {
public:
    SectionReader(Document&, DocumentFaults&);

    /** Reads one team's section. */
    void read(const TeamName&, const SectionText&);
    /** Validates references between sections. Call once, after the last section. */
    void finish();

private:
    using ReadEntry = void (SectionReader::*)(EntryReader&, const TeamName&);

    /** One of the arrays of tables that a section may hold. */
    struct Kind {
        std::string_view key;
        std::string_view singular;
        ReadEntry read;
    };

    static const Kind kinds[];

    void readTable(const SectionContext&, const toml::table& section);
    void readKind(const SectionContext&, const toml::table& section, const Kind&);
    void readLimits(const SectionContext&, const toml::node&);
    void readRank(EntryReader&, const TeamName&);
    void readModel(EntryReader&, const TeamName&);
    void readAdapter(EntryReader&, const TeamName&);
    void readService(EntryReader&, const TeamName&);
    void readDataCentre(EntryReader&, const TeamName&);
    void readDrain(EntryReader&, const TeamName&);
    void checkRank(EntryReader&, const RankSpec&);

    template <typename Name, typename Spec>
    bool insert(EntryReader&, std::string_view key, std::map<Name, Spec>&, const Name&, Spec);

    Document& m_document;
    DocumentFaults& m_faults;
    std::map<unsigned, RankName> m_rankByOrder;
    unsigned m_floorSum = 0;
    bool m_hasLimits = false;
    std::map<AdapterName, unsigned> m_adapterLines;
};

} // namespace hemlockchute
