#include "hemlockchute/keeper/TokenHash.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace hemlockchute {
namespace {

constexpr std::size_t saltBytes = 16;
constexpr std::size_t hashBytes = 32;

std::string hexadecimal(const unsigned char* bytes, std::size_t count)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (std::size_t i = 0; i < count; ++i) {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 15U];
    }
    return text;
}

bool isHexadecimal(std::string_view text, std::size_t bytes)
{
    return text.size() == 2 * bytes && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string hashOf(std::string_view salt, std::string_view token)
{
    std::string salted(salt);
    salted += ':';
    salted += token;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    if (EVP_Digest(salted.data(), salted.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available");
    OPENSSL_cleanse(salted.data(), salted.size());
    return hexadecimal(digest.data(), size);
}

} // namespace

TokenHash TokenHash::of(std::string_view token)
{
    std::array<unsigned char, saltBytes> random {};
    if (RAND_bytes(random.data(), static_cast<int>(random.size())) != 1)
        throw std::runtime_error("there are no random bytes for a salt");
    std::string salt = hexadecimal(random.data(), random.size());
    return { salt, hashOf(salt, token) };
}

bool TokenHash::isWellFormed() const
{
    return isHexadecimal(salt, saltBytes) && isHexadecimal(hash, hashBytes);
}

bool TokenHash::matches(std::string_view token) const
{
    assert(isWellFormed());
    std::string found = hashOf(salt, token);
    return found.size() == hash.size() && CRYPTO_memcmp(found.data(), hash.data(), hash.size()) == 0;
}

} // namespace hemlockchute
