#pragma once

#include "document/SectionSplitter.h"

#include <set>
#include <toml++/toml.h>

namespace hemlockchute {

/** The section that is being read, and the list that its faults are added to. */
struct SectionContext {
    TeamName team;
    const SectionText& text;
    DocumentFaults& faults;

    unsigned lineOf(const toml::node&) const;
    void addFault(unsigned line, std::string message) const;
};

/** True when the text is allowed as a name in a document. Thread safety: any thread. */
bool isValidName(std::string_view);

//==============================================================================
/**
    Reads the keys of one entry of a section; each invalid value is a fault.

    Each method leaves its target unchanged when the key is missing or its value is invalid. Keys
    that were not read become faults in finish(). Thread safety: one thread at a time.
*/
class EntryReader {
public:
    EntryReader(const SectionContext&, const toml::table&, std::string kind);

    unsigned line() const { return m_line; }

    /** Reads a required name. Adds a fault and returns an empty name when it is missing or invalid. */
    std::string name(std::string_view key);
    void number(std::string_view key, unsigned& target, unsigned least, unsigned most);
    void duration(std::string_view key, Duration& target);
    /** Reads a size; when required, a missing one is a fault. */
    void bytes(std::string_view key, ByteCount& target, bool isRequired);
    void text(std::string_view key, std::string& target);
    void flag(std::string_view key, bool& target);
    /** Adds a fault for each key that was not read. */
    void finish();
    void addFault(std::string_view key, const std::string& message);

private:
    const toml::node* find(std::string_view key);
    template <typename T>
    std::optional<T> value(std::string_view key, std::string_view expected);

    const SectionContext& m_context;
    const toml::table& m_table;
    std::string m_kind;
    unsigned m_line;
    std::set<std::string, std::less<>> m_readKeys;
};

} // namespace hemlockchute
