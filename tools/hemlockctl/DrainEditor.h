#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hemlockchute {

/** A section with a drain plan added. Thread safety: any thread. */
std::string withDrain(std::string_view section, const std::string& team, const std::string& backendServer, const std::string& reason);

/** A section without the drain plan of a server; nothing when no such plan could be found in its text. Thread safety: any thread. */
std::optional<std::string> withoutDrain(std::string_view section, const std::string& team, const std::string& backendServer);

} // namespace hemlockchute
