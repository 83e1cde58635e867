#pragma once

#include <string>
#include <string_view>

namespace hemlockchute {

/** Minimum length of an operator's token in characters. Tokens are random, so that one round of hashing is enough. */
constexpr std::size_t minimumOperatorTokenLength = 24;

//==============================================================================
/**
    An operator's token as stored in the settings: a random salt and the SHA-256 of salt and token,
    both in hexadecimal. Thread safety: as std::string.
*/
struct TokenHash {
    std::string salt;
    std::string hash;

    /** Hashes a token with a new random salt. Thread safety: any thread. */
    static TokenHash of(std::string_view token);

    /** True when salt and hash are lower-case hexadecimal of the right length. */
    bool isWellFormed() const;
    /** Compares in constant time. Precondition: isWellFormed(). */
    bool matches(std::string_view token) const;
};

} // namespace hemlockchute
