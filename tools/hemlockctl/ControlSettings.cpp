#include "ControlSettings.h"

#include <fstream>

namespace hemlockchute {
namespace {

std::string firstLine(const std::filesystem::path& path)
{
    std::ifstream stream(path);
    std::string line;
    std::getline(stream, line);
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    return line;
}

std::vector<Endpoint> readEndpoints(const SettingsTable& table, std::string_view key)
{
    std::vector<Endpoint> endpoints;
    for (const std::string& text : table.texts(key)) {
        auto endpoint = parseEndpoint(text);
        if (endpoint)
            endpoints.push_back(*endpoint);
        else
            table.addFault(key, "holds \"" + text + "\", which is not an IP number and port such as \"127.0.0.1:7104\"");
    }
    return endpoints;
}

} // namespace

tl::expected<ControlSettings, std::vector<std::string>> ControlSettings::load(const std::filesystem::path& path)
{
    SettingsFile file = SettingsFile::load(path);
    SettingsTable root = file.root();
    ControlSettings settings;
    settings.keepers = readEndpoints(root, "keepers");
    settings.routers = readEndpoints(root, "routers");
    if (settings.keepers.empty())
        root.addFault("keepers", "must list at least one keeper's operator address");
    std::string tokenFile = root.text("token_file");
    if (!tokenFile.empty())
        settings.token = firstLine(path.parent_path() / tokenFile);
    if (!tokenFile.empty() && settings.token.empty())
        root.addFault("token_file", "names a file whose first line must hold the token");
    std::vector<std::string> faults = file.faults();
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return settings;
}

} // namespace hemlockchute
