#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace hemlockchute {

//==============================================================================
/**
    An error of one layer: a code from that layer's own enumeration and a text for people.

    A layer converts errors of the layer below to its own with failureBecause(). Thread safety: as std::string.
*/
template <typename Code>
struct Error {
    Code code {};
    std::string detail;

    /** The same error with "outer: " before its detail. */
    Error within(const std::string& outer) const { return { code, outer + ": " + detail }; }
};

/** Either a T or an Error<Code>. */
template <typename T, typename Code>
using Result = tl::expected<T, Error<Code>>;

/** Makes the failing side of a Result. */
template <typename Code>
tl::unexpected<Error<Code>> failure(Code code, std::string detail)
{
    return tl::unexpected<Error<Code>>({ code, std::move(detail) });
}

/** Turns an error of the layer below into one of this layer. */
template <typename Code, typename LowerCode>
tl::unexpected<Error<Code>> failureBecause(Code code, const Error<LowerCode>& lower)
{
    return tl::unexpected<Error<Code>>({ code, lower.detail });
}

} // namespace hemlockchute
