#pragma once

#include <string>
#include <string_view>

namespace hemlockchute {

/** Format the keepers' JSON answers as text for a terminal; input that is not JSON is returned unchanged. Thread safety: any thread. */
std::string submitText(std::string_view json);
std::string statusText(std::string_view json);
std::string runText(std::string_view json);
std::string problemText(std::string_view json);

} // namespace hemlockchute
