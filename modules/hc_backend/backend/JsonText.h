#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string_view>

namespace hemlockchute {

/** Parses a text of JSON, of bounded depth; nothing when it is none. Thread safety: any thread. */
std::optional<boost::json::value> parseJson(std::string_view text);

} // namespace hemlockchute
