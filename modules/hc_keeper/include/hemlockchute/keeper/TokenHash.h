#pragma once

#include <string>
#include <string_view>

namespace hemlockchute {

/** The shortest operator's token that is taken; a token is random, so that one round of hashing is enough. */
constexpr std::size_t minimumOperatorTokenLength = 24;

//==============================================================================
/**
    An operator's token as it stands in the settings: a random salt and the SHA-256 of salt and
    token, both in hexadecimal. Thread safety: as std::string.
*/
struct TokenHash {
    std::string salt;
    std::string hash;

    /** Hashes a token with a new random salt. Thread safety: any thread. */
    static TokenHash of(std::string_view token);

    /** True for salt and hash of the right form. */
    bool isWellFormed() const;
    /** Compares in constant time. Precondition: isWellFormed(). */
    bool matches(std::string_view token) const;
};

} // namespace hemlockchute
