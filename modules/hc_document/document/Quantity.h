#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace hemlockchute {

/** Nanoseconds of a time such as "250ms", "5s", "2m" or "1h". Thread safety: any thread. */
std::optional<std::int64_t> parseTimeQuantity(std::string_view);
/** Bytes of a size such as "64KiB", "8MiB" or "2GiB". Thread safety: any thread. */
std::optional<std::int64_t> parseSizeQuantity(std::string_view);

} // namespace hemlockchute
