#pragma once

#include <string>
#include <string_view>

namespace hemlockchute {

/** Every line that differs, removed ones with "-" before them and added ones with "+". Thread safety: any thread. */
std::string lineDiff(std::string_view before, std::string_view after);

} // namespace hemlockchute
