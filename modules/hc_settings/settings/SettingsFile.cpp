#include "hemlockchute/settings/SettingsFile.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace hemlockchute {
namespace {

struct Fault {
    unsigned line = 0;
    std::string text;

    friend auto operator<=>(const Fault&, const Fault&) = default;
};

struct UnitName {
    std::string_view suffix;
    std::int64_t factor;
};

constexpr UnitName durationUnits[] = {
    { "us", 1'000 }, { "ms", 1'000'000 }, { "s", 1'000'000'000 }, { "m", 60'000'000'000 }, { "h", 3'600'000'000'000 }
};
constexpr UnitName byteUnits[] = {
    { "KiB", 1LL << 10U }, { "MiB", 1LL << 20U }, { "GiB", 1LL << 30U }, { "TiB", 1LL << 40U }, { "B", 1 }
};

template <std::size_t count>
std::optional<std::int64_t> parseQuantity(std::string_view text, const UnitName (&units)[count])
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

std::string inQuotes(std::string_view text)
{
    return "\"" + std::string(text) + "\"";
}

/** The parsed file, its faults, and the nodes that were read. */
struct FileContents {
    std::string name;
    toml::table root;
    std::set<Fault> faults;
    std::set<const toml::node*> readNodes;
};

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return {};
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto [end, portError] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (portError != std::errc() || end != portText.data() + portText.size())
        return {};
    boost::system::error_code error;
    auto address = boost::asio::ip::make_address(std::string(host), error);
    if (error)
        return {};
    return Endpoint(address, port);
}

std::string formatEndpoint(const Endpoint& endpoint)
{
    std::string host = endpoint.address().to_string();
    if (endpoint.address().is_v6())
        host = "[" + host + "]";
    return host + ":" + std::to_string(endpoint.port());
}

//==============================================================================
struct SettingsFile::Impl {
    std::shared_ptr<FileContents> contents = std::make_shared<FileContents>();
};

struct SettingsTable::Impl {
    std::shared_ptr<FileContents> contents;
    const toml::table* table = nullptr;
    unsigned line = 0;
    std::string path;

    std::string pathOf(std::string_view key) const
    {
        return path.empty() ? std::string(key) : path + "." + std::string(key);
    }

    void fault(std::string_view key, const toml::node* node, std::string_view message) const
    {
        unsigned at = node ? node->source().begin.line : line;
        contents->faults.insert({ at, pathOf(key) + ": " + std::string(message) });
    }

    const toml::node* find(std::string_view key) const
    {
        const toml::node* node = table ? table->get(key) : nullptr;
        if (node)
            contents->readNodes.insert(node);
        return node;
    }

    template <typename T>
    std::optional<T> value(std::string_view key, std::string_view expected) const
    {
        const toml::node* node = find(key);
        if (!node)
            return {};
        if (auto found = node->value_exact<T>())
            return found;
        fault(key, node, "must be " + std::string(expected));
        return {};
    }

    std::string requiredText(std::string_view key, std::string_view expected) const
    {
        const toml::node* node = find(key);
        if (!node) {
            fault(key, nullptr, "is missing; it must be " + std::string(expected));
            return {};
        }
        auto text = value<std::string>(key, expected);
        if (text && text->empty())
            fault(key, node, "must not be empty");
        return text.value_or("");
    }

    std::shared_ptr<Impl> child(const toml::table* inner, std::string innerPath) const
    {
        auto impl = std::make_shared<Impl>();
        impl->contents = contents;
        impl->table = inner;
        impl->line = inner ? inner->source().begin.line : line;
        impl->path = std::move(innerPath);
        return impl;
    }
};

SettingsTable::SettingsTable(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

std::string SettingsTable::text(std::string_view key) const
{
    return m_impl->requiredText(key, "a text");
}

std::string SettingsTable::text(std::string_view key, std::string_view fallback) const
{
    return m_impl->value<std::string>(key, "a text").value_or(std::string(fallback));
}

std::string SettingsTable::choice(std::string_view key, const std::vector<std::string>& allowed, std::string_view fallback) const
{
    std::string chosen = text(key, fallback);
    if (std::find(allowed.begin(), allowed.end(), chosen) != allowed.end())
        return chosen;
    std::string list;
    for (const std::string& name : allowed)
        list += (list.empty() ? "" : ", ") + inQuotes(name);
    addFault(key, "is " + inQuotes(chosen) + ", but must be one of " + list);
    return std::string(fallback);
}

std::int64_t SettingsTable::integer(std::string_view key, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum) const
{
    auto given = m_impl->value<std::int64_t>(key, "a whole number");
    if (!given && has(key))
        return fallback;
    std::int64_t number = given.value_or(fallback);
    if (number >= minimum && number <= maximum)
        return number;
    addFault(key, given ? "is " + std::to_string(number) + ", but must lie from " + std::to_string(minimum) + " to " + std::to_string(maximum) : "is missing");
    return fallback;
}

double SettingsTable::number(std::string_view key, double fallback, double minimum, double maximum) const
{
    // Generated settings contain whole numbers without a decimal point.
    const toml::node* node = m_impl->find(key);
    bool isWhole = node && node->is_integer();
    auto given = isWhole ? node->value<double>() : m_impl->value<double>(key, "a number");
    if (!given && has(key))
        return fallback;
    double number = given.value_or(fallback);
    if (number >= minimum && number <= maximum)
        return number;
    addFault(key, given ? "is " + std::to_string(number) + ", but must lie from " + std::to_string(minimum) + " to " + std::to_string(maximum) : "is missing");
    return fallback;
}

bool SettingsTable::flag(std::string_view key, bool fallback) const
{
    return m_impl->value<bool>(key, "true or false").value_or(fallback);
}

Duration SettingsTable::duration(std::string_view key, Duration fallback) const
{
    constexpr std::string_view expected = "a time such as \"250ms\", \"5s\", \"2m\" or \"1h\"";
    auto text = m_impl->value<std::string>(key, expected);
    if (!text)
        return fallback;
    if (auto nanoseconds = parseQuantity(*text, durationUnits))
        return Duration(*nanoseconds);
    addFault(key, "must be " + std::string(expected));
    return fallback;
}

ByteCount SettingsTable::bytes(std::string_view key, ByteCount fallback) const
{
    constexpr std::string_view expected = "a size such as \"64KiB\", \"8MiB\" or \"2GiB\"";
    auto text = m_impl->value<std::string>(key, expected);
    if (!text)
        return fallback;
    if (auto count = parseQuantity(*text, byteUnits))
        return ByteCount(static_cast<std::uint64_t>(*count));
    addFault(key, "must be " + std::string(expected));
    return fallback;
}

Endpoint SettingsTable::endpoint(std::string_view key) const
{
    constexpr std::string_view expected = "an IP number and port such as \"127.0.0.1:8080\"";
    if (!has(key)) {
        m_impl->requiredText(key, expected);
        return {};
    }
    return optionalEndpoint(key).value_or(Endpoint());
}

std::optional<Endpoint> SettingsTable::optionalEndpoint(std::string_view key) const
{
    constexpr std::string_view expected = "an IP number and port such as \"127.0.0.1:8080\"";
    auto text = m_impl->value<std::string>(key, expected);
    if (!text)
        return {};
    auto endpoint = parseEndpoint(*text);
    if (!endpoint)
        addFault(key, "is " + inQuotes(*text) + ", but must be " + std::string(expected));
    return endpoint;
}

std::vector<std::string> SettingsTable::texts(std::string_view key) const
{
    const toml::node* node = m_impl->find(key);
    if (!node)
        return {};
    const toml::array* array = node->as_array();
    if (!array) {
        addFault(key, "must be an array of texts");
        return {};
    }
    std::vector<std::string> texts;
    for (const toml::node& element : *array) {
        if (auto text = element.value_exact<std::string>())
            texts.push_back(*text);
        else
            m_impl->fault(key, &element, "must hold texts only");
    }
    return texts;
}

SettingsTable SettingsTable::table(std::string_view key) const
{
    const toml::node* node = m_impl->find(key);
    const toml::table* inner = node ? node->as_table() : nullptr;
    if (node && !inner)
        addFault(key, "must be a table");
    return SettingsTable(m_impl->child(inner, m_impl->pathOf(key)));
}

std::vector<SettingsTable> SettingsTable::tables(std::string_view key) const
{
    const toml::node* node = m_impl->find(key);
    if (!node)
        return {};
    const toml::array* array = node->as_array();
    if (!array) {
        addFault(key, "must be an array of tables");
        return {};
    }
    std::vector<SettingsTable> tables;
    for (std::size_t i = 0; i < array->size(); ++i) {
        const toml::table* inner = array->get(i)->as_table();
        if (!inner) {
            m_impl->fault(key, array->get(i), "must hold tables only");
            continue;
        }
        m_impl->contents->readNodes.insert(inner);
        tables.push_back(SettingsTable(m_impl->child(inner, m_impl->pathOf(key) + "[" + std::to_string(i) + "]")));
    }
    return tables;
}

bool SettingsTable::has(std::string_view key) const
{
    return m_impl->table && m_impl->table->contains(key);
}

void SettingsTable::addFault(std::string_view key, std::string_view message) const
{
    m_impl->fault(key, m_impl->table ? m_impl->table->get(key) : nullptr, message);
}

//==============================================================================
SettingsFile::SettingsFile(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

SettingsFile::~SettingsFile() = default;
SettingsFile::SettingsFile(SettingsFile&&) noexcept = default;
SettingsFile& SettingsFile::operator=(SettingsFile&&) noexcept = default;

SettingsFile SettingsFile::load(const std::filesystem::path& path)
{
    std::ifstream stream(path);
    if (!stream) {
        auto impl = std::make_unique<Impl>();
        impl->contents->name = path.string();
        impl->contents->faults.insert({ 0, "cannot be read" });
        return SettingsFile(std::move(impl));
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parse(text.str(), path.string());
}

SettingsFile SettingsFile::parse(std::string_view text, std::string name)
{
    auto impl = std::make_unique<Impl>();
    impl->contents->name = std::move(name);
    try {
        impl->contents->root = toml::parse(text);
    } catch (const toml::parse_error& error) {
        impl->contents->faults.insert({ error.source().begin.line, std::string(error.description()) });
    }
    return SettingsFile(std::move(impl));
}

SettingsTable SettingsFile::root() const
{
    auto impl = std::make_shared<SettingsTable::Impl>();
    impl->contents = m_impl->contents;
    impl->table = &m_impl->contents->root;
    return SettingsTable(std::move(impl));
}

namespace {

void collectUnknownKeys(const FileContents& contents, const toml::table& table, const std::string& path, std::set<Fault>& faults)
{
    for (const auto& [key, node] : table) {
        std::string keyPath = path.empty() ? std::string(key.str()) : path + "." + std::string(key.str());
        if (!contents.readNodes.contains(&node)) {
            faults.insert({ node.source().begin.line, keyPath + ": is not a known setting" });
            continue;
        }
        if (const toml::table* inner = node.as_table())
            collectUnknownKeys(contents, *inner, keyPath, faults);
        const toml::array* array = node.as_array();
        for (std::size_t i = 0; array && i < array->size(); ++i) {
            if (const toml::table* inner = array->get(i)->as_table())
                collectUnknownKeys(contents, *inner, keyPath + "[" + std::to_string(i) + "]", faults);
        }
    }
}

} // namespace

std::vector<std::string> SettingsFile::faults() const
{
    std::set<Fault> faults = m_impl->contents->faults;
    collectUnknownKeys(*m_impl->contents, m_impl->contents->root, "", faults);
    std::vector<std::string> lines;
    for (const Fault& fault : faults) {
        std::string location = m_impl->contents->name + (fault.line ? ":" + std::to_string(fault.line) : "");
        lines.push_back(location + ": " + fault.text);
    }
    return lines;
}

} // namespace hemlockchute
