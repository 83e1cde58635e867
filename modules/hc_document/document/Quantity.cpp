#include "document/Quantity.h"

#include <charconv>
#include <limits>
#include <span>

namespace hemlockchute {
namespace {

struct UnitName {
    std::string_view suffix;
    std::int64_t factor;
};

constexpr UnitName timeUnits[] = {
    { "us", 1'000 }, { "ms", 1'000'000 }, { "s", 1'000'000'000 }, { "m", 60'000'000'000 }, { "h", 3'600'000'000'000 }
};
constexpr UnitName sizeUnits[] = {
    { "KiB", 1LL << 10U }, { "MiB", 1LL << 20U }, { "GiB", 1LL << 30U }, { "TiB", 1LL << 40U }, { "B", 1 }
};

std::optional<std::int64_t> parseQuantity(std::string_view text, std::span<const UnitName> units)
{
    std::int64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || number < 0)
        return {};
    std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const UnitName& unit : units) {
        if (suffix == unit.suffix && number <= std::numeric_limits<std::int64_t>::max() / unit.factor)
            return number * unit.factor;
    }
    return {};
}

} // namespace

std::optional<std::int64_t> parseTimeQuantity(std::string_view text)
{
    return parseQuantity(text, timeUnits);
}

std::optional<std::int64_t> parseSizeQuantity(std::string_view text)
{
    return parseQuantity(text, sizeUnits);
}

} // namespace hemlockchute
