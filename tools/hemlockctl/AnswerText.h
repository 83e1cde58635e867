#pragma once

#include <string>
#include <string_view>

namespace hemlockchute {

/** The keepers' answers as people read them; text that is not JSON comes back as it is. Thread safety: any thread. */
std::string submitText(std::string_view json);
std::string statusText(std::string_view json);
std::string runText(std::string_view json);
std::string problemText(std::string_view json);

} // namespace hemlockchute
