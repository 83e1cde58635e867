#pragma once

#include <string>
#include <string_view>

namespace hemlockchute {

/** Returns the lines that differ: removed ones prefixed with "-", added ones with "+". Thread safety: any thread. */
std::string lineDiff(std::string_view before, std::string_view after);

} // namespace hemlockchute
