#pragma once

#include "hemlockchute/keeper/TokenHash.h"
#include "hemlockchute/settings/SettingsFile.h"
#include "hemlockchute/state/Commands.h"

#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    The salted hashes of the operators' tokens, and the operator that each belongs to.

    @code
    [operators]
    admin_salt = "…"
    admin_hash = "…"

    [[operators.teams]]
    name = "counter"
    salt = "…"
    hash = "…"
    @endcode

    Thread safety: an immutable value.

    @see TokenHash
*/
class OperatorTokens {
public:
    /** Reads the table [operators]; errors are added to the settings file's faults. */
    static OperatorTokens read(const SettingsTable& operators);

    void add(Submitter, TokenHash);
    /** The owner of a token. Compares with every hash, so that the duration does not reveal which one matched. */
    std::optional<Submitter> identify(std::string_view token) const;

private:
    struct Entry {
        Submitter owner;
        TokenHash hash;
    };

    std::vector<Entry> m_entries;
};

} // namespace hemlockchute
