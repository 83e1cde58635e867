#include "DrainEditor.h"

#include <algorithm>
#include <vector>

namespace hemlockchute {
namespace {

std::string withoutSpaces(std::string_view text)
{
    std::string kept(text);
    std::erase_if(kept, [](char c) { return c == ' ' || c == '\t' || c == '\r'; });
    return kept;
}

/** Returns a text as a quoted and escaped TOML string. */
std::string quoted(const std::string& text)
{
    std::string result = "\"";
    for (char c : text) {
        bool isControl = static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
        if (c == '"' || c == '\\')
            result += '\\';
        result += isControl ? ' ' : c;
    }
    return result + "\"";
}

std::string header(const std::string& team)
{
    bool needsQuotes = team.find('.') != std::string::npos;
    return "[[team." + (needsQuotes ? quoted(team) : team) + ".drains]]";
}

/** A TOML table header with the lines up to the next header. */
std::vector<std::string> splitBlocks(std::string_view section)
{
    std::vector<std::string> blocks(1);
    while (!section.empty()) {
        std::size_t end = std::min(section.find('\n'), section.size() - 1) + 1;
        std::string_view line = section.substr(0, end);
        if (withoutSpaces(line).starts_with("["))
            blocks.emplace_back();
        blocks.back() += line;
        section.remove_prefix(end);
    }
    return blocks;
}

bool isDrainOf(const std::string& block, const std::string& team, const std::string& backendServer)
{
    std::string compact = withoutSpaces(block);
    bool isDrain = compact.starts_with(header(team) + "\n");
    return isDrain && compact.find("\nbackend_server=" + quoted(backendServer)) != std::string::npos;
}

} // namespace

std::string withDrain(std::string_view section, const std::string& team, const std::string& backendServer, const std::string& reason)
{
    std::string plan = header(team) + "\nbackend_server = " + quoted(backendServer) + "\nreason = " + quoted(reason) + "\n";
    return std::string(section) + (section.empty() ? "" : "\n") + plan;
}

std::optional<std::string> withoutDrain(std::string_view section, const std::string& team, const std::string& backendServer)
{
    std::vector<std::string> blocks = splitBlocks(section);
    auto found = std::find_if(blocks.begin(), blocks.end(), [&](const std::string& block) { return isDrainOf(block, team, backendServer); });
    if (found == blocks.end())
        return {};
    blocks.erase(found);
    std::string text;
    for (const std::string& block : blocks)
        text += block;
    return text;
}

} // namespace hemlockchute
