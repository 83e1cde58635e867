#include "peer/Handshake.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace hemlockchute {
namespace {

constexpr std::size_t challengeBytes = 32;

/** Appends a length-prefixed part, so that no two lists of parts give the same bytes. */
void appendPart(ByteString& transcript, std::string_view part)
{
    transcript += std::to_string(part.size());
    transcript += ':';
    transcript += part;
}

} // namespace

Handshake::Handshake(const std::string& clusterKey, std::string_view cluster, std::string_view host, std::string_view role, std::string_view callerChallenge, std::string_view serverChallenge)
    : m_key(clusterKey)
{
    for (std::string_view part : { cluster, host, role, callerChallenge, serverChallenge })
        appendPart(m_transcript, part);
}

ByteString Handshake::newChallenge()
{
    ByteString bytes(challengeBytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error("the system's random number generator failed");
    return bytes;
}

bool Handshake::isChallenge(std::string_view bytes)
{
    return bytes.size() == challengeBytes;
}

ByteString Handshake::proof(Side side) const
{
    ByteString text;
    appendPart(text, side == Side::Caller ? "caller" : "server");
    text += m_transcript;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    HMAC(EVP_sha256(), m_key.data(), static_cast<int>(m_key.size()), reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &size);
    return { reinterpret_cast<const char*>(digest.data()), size };
}

bool Handshake::isProof(Side side, std::string_view bytes) const
{
    ByteString expected = proof(side);
    return bytes.size() == expected.size() && CRYPTO_memcmp(bytes.data(), expected.data(), expected.size()) == 0;
}

} // namespace hemlockchute
