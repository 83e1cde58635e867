#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockchute {

//==============================================================================
/**
    A 128-bit hash that tells contents apart. It is not cryptographic: collisions can be forged.

    Thread safety: an immutable value.
*/
class Digest {
public:
    constexpr Digest() = default;
    constexpr Digest(std::uint64_t high, std::uint64_t low)
        : m_high(high)
        , m_low(low)
    {
    }

    /** The digest of the given bytes (XXH3, 128 bits). */
    static Digest of(std::string_view bytes);

    constexpr std::uint64_t high() const { return m_high; }
    constexpr std::uint64_t low() const { return m_low; }
    /** 32 lower-case hexadecimal digits. */
    std::string text() const;

    friend constexpr auto operator<=>(Digest, Digest) = default;

private:
    std::uint64_t m_high = 0;
    std::uint64_t m_low = 0;
};

} // namespace hemlockchute
