#include "keeper/OperatorTokens.h"

#include <cassert>

namespace hemlockchute {
namespace {

std::optional<TokenHash> readHash(const SettingsTable& table, std::string_view saltKey, std::string_view hashKey)
{
    TokenHash hash { table.text(saltKey), table.text(hashKey) };
    if (hash.isWellFormed())
        return hash;
    if (!hash.salt.empty() && !hash.hash.empty())
        table.addFault(hashKey, "is not what \"hemlockctl token hash\" prints, together with " + std::string(saltKey));
    return {};
}

} // namespace

OperatorTokens OperatorTokens::read(const SettingsTable& operators)
{
    OperatorTokens tokens;
    if (auto hash = readHash(operators, "admin_salt", "admin_hash"))
        tokens.add({ {}, true }, *hash);
    for (const SettingsTable& team : operators.tables("teams")) {
        TeamName name(team.text("name"));
        if (auto hash = readHash(team, "salt", "hash"))
            tokens.add({ name, false }, *hash);
    }
    return tokens;
}

void OperatorTokens::add(Submitter owner, TokenHash hash)
{
    assert(hash.isWellFormed());
    m_entries.push_back({ std::move(owner), std::move(hash) });
}

std::optional<Submitter> OperatorTokens::identify(std::string_view token) const
{
    std::optional<Submitter> found;
    for (const Entry& entry : m_entries) {
        if (entry.hash.matches(token))
            found = entry.owner;
    }
    return found;
}

} // namespace hemlockchute
