#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hemlockchute {

/** Returns the section with a drain plan added. Thread safety: any thread. */
std::string withDrain(std::string_view section, const std::string& team, const std::string& backendServer, const std::string& reason);

/** Returns the section without the drain plan of a server, or nothing if its text has no such plan in an editable form. Thread safety: any thread. */
std::optional<std::string> withoutDrain(std::string_view section, const std::string& team, const std::string& backendServer);

} // namespace hemlockchute
