#pragma once

#include "hemlockchute/keeper/TokenHash.h"
#include "hemlockchute/settings/SettingsFile.h"
#include "hemlockchute/state/Commands.h"

#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    The tokens by which operators prove who they are.

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
    /** Reads the table [operators]; faults are left in the file. */
    static OperatorTokens read(const SettingsTable& operators);

    void add(Submitter, TokenHash);
    /** Whose token it is; takes as long whoever it is. */
    std::optional<Submitter> identify(std::string_view token) const;

private:
    struct Entry {
        Submitter owner;
        TokenHash hash;
    };

    std::vector<Entry> m_entries;
};

} // namespace hemlockchute
