#include "document/EntryReader.h"

#include "document/Quantity.h"

#include <algorithm>

namespace hemlockchute {
namespace {

constexpr std::size_t maximumNameLength = 100;
constexpr std::size_t maximumTextBytes = 1000;
constexpr Duration maximumDuration = 24h;
constexpr std::int64_t maximumByteCount = 1LL << 50U;

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

} // namespace

unsigned SectionContext::lineOf(const toml::node& node) const
{
    return text.documentLine(node.source().begin.line);
}

void SectionContext::addFault(unsigned line, std::string message) const
{
    faults.push_back({ line, team, std::move(message) });
}

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= maximumNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
}

//==============================================================================
EntryReader::EntryReader(const SectionContext& context, const toml::table& table, std::string kind)
    : m_context(context)
    , m_table(table)
    , m_kind(std::move(kind))
    , m_line(context.lineOf(table))
{
}

const toml::node* EntryReader::find(std::string_view key)
{
    m_readKeys.emplace(key);
    return m_table.get(key);
}

template <typename T>
std::optional<T> EntryReader::value(std::string_view key, std::string_view expected)
{
    const toml::node* node = find(key);
    if (!node)
        return {};
    auto found = node->value_exact<T>();
    if (!found)
        addFault(key, "must be " + std::string(expected));
    return found;
}

std::string EntryReader::name(std::string_view key)
{
    constexpr std::string_view expected = "a name of 1 to 100 characters of a-z A-Z 0-9 . _ -";
    if (!find(key)) {
        addFault(key, "is missing; it must be " + std::string(expected));
        return {};
    }
    auto found = value<std::string>(key, expected);
    if (!found)
        return {};
    if (isValidName(*found))
        return *found;
    addFault(key, "must be " + std::string(expected));
    return {};
}

void EntryReader::number(std::string_view key, unsigned& target, unsigned least, unsigned most)
{
    auto found = value<std::int64_t>(key, "a whole number");
    if (!found)
        return;
    if (*found >= least && *found <= most)
        target = static_cast<unsigned>(*found);
    else
        addFault(key, "is " + std::to_string(*found) + ", but must lie from " + std::to_string(least) + " to " + std::to_string(most));
}

void EntryReader::duration(std::string_view key, Duration& target)
{
    constexpr std::string_view expected = "a time above zero and up to \"24h\", such as \"250ms\", \"5s\", \"2m\" or \"1h\"";
    auto found = value<std::string>(key, expected);
    if (!found)
        return;
    auto nanoseconds = parseTimeQuantity(*found);
    if (nanoseconds && *nanoseconds > 0 && Duration(*nanoseconds) <= maximumDuration)
        target = Duration(*nanoseconds);
    else
        addFault(key, "must be " + std::string(expected));
}

void EntryReader::bytes(std::string_view key, ByteCount& target, bool isRequired)
{
    constexpr std::string_view expected = "a size above zero and up to \"1024TiB\", such as \"64KiB\", \"8MiB\" or \"2GiB\"";
    if (isRequired && !find(key)) {
        addFault(key, "is missing; it must be " + std::string(expected));
        return;
    }
    auto found = value<std::string>(key, expected);
    if (!found)
        return;
    auto count = parseSizeQuantity(*found);
    if (count && *count > 0 && *count <= maximumByteCount)
        target = ByteCount(static_cast<std::uint64_t>(*count));
    else
        addFault(key, "must be " + std::string(expected));
}

void EntryReader::text(std::string_view key, std::string& target)
{
    auto found = value<std::string>(key, "a text");
    if (!found)
        return;
    if (found->size() <= maximumTextBytes)
        target = *found;
    else
        addFault(key, "must be at most " + std::to_string(maximumTextBytes) + " bytes long");
}

void EntryReader::flag(std::string_view key, bool& target)
{
    target = value<bool>(key, "true or false").value_or(target);
}

void EntryReader::finish()
{
    for (const auto& [key, node] : m_table) {
        if (!m_readKeys.contains(key.str()))
            addFault(key.str(), "is not a known key");
    }
}

void EntryReader::addFault(std::string_view key, const std::string& message)
{
    const toml::node* node = m_table.get(key);
    m_context.addFault(node ? m_context.lineOf(*node) : m_line, m_kind + ": " + std::string(key) + ": " + message);
}

} // namespace hemlockchute
