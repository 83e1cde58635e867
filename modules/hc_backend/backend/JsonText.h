#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string_view>

namespace hemlockchute {

/** Parses JSON of bounded depth; nothing when the text is malformed. Thread safety: any thread. */
std::optional<boost::json::value> parseJson(std::string_view text);

} // namespace hemlockchute
