#include "hemlockchute/settings/HostSettings.h"

#include <fstream>
#include <set>
#include <sstream>

namespace hemlockchute {
namespace {

constexpr std::size_t minimumClusterKeyLength = 16;
constexpr std::int64_t maximumKeepers = 7;
/** With fewer lines per second the log cannot explain a failure. */
constexpr std::int64_t minimumLogLinesPerSecond = 10;
constexpr std::int64_t maximumLogLinesPerSecond = 1'000'000;

std::string readClusterKey(const SettingsTable& cluster, const std::filesystem::path& settingsFile)
{
    std::string name = cluster.text("key_file");
    if (name.empty())
        return {};
    std::filesystem::path path = settingsFile.parent_path() / name;
    std::ifstream stream(path);
    std::string key;
    std::getline(stream, key);
    if (key.size() < minimumClusterKeyLength)
        cluster.addFault("key_file", "names " + path.string() + ", whose first line must hold at least 16 characters");
    return key;
}

std::vector<EntryHostAddress> readEntryHosts(const SettingsTable& cluster)
{
    std::vector<EntryHostAddress> hosts;
    std::set<HostName> names;
    for (const SettingsTable& table : cluster.tables("entry_hosts")) {
        EntryHostAddress host { HostName(table.text("name")), DataCentreName(table.text("data_centre")), table.endpoint("router"), table.endpoint("controller") };
        if (!names.insert(host.name).second)
            table.addFault("name", "stands twice");
        hosts.push_back(std::move(host));
    }
    return hosts;
}

std::vector<KeeperAddress> readKeepers(const SettingsTable& cluster)
{
    std::vector<KeeperAddress> keepers;
    std::set<KeeperId> ids;
    for (const SettingsTable& table : cluster.tables("keepers")) {
        auto id = KeeperId(static_cast<std::uint64_t>(table.integer("id", 1, 1, std::numeric_limits<std::int32_t>::max())));
        keepers.push_back({ id, HostName(table.text("host")), DataCentreName(table.text("data_centre")), table.endpoint("peer") });
        if (!ids.insert(id).second)
            table.addFault("id", "stands twice");
    }
    if (keepers.empty() || keepers.size() > maximumKeepers)
        cluster.addFault("keepers", "must list 1 to 7 keepers");
    return keepers;
}

} // namespace

LogOptions readLogOptions(const SettingsTable& log)
{
    const std::vector<std::string> levels { "debug", "info", "warning", "error" };
    std::string level = log.choice("level", levels, "info");
    auto severity = static_cast<Severity>(std::find(levels.begin(), levels.end(), level) - levels.begin());
    LogQueue::Options bounds;
    bounds.linesPerSecond = static_cast<unsigned>(log.integer("lines_per_second", bounds.linesPerSecond, minimumLogLinesPerSecond, maximumLogLinesPerSecond));
    bounds.maximumPendingBytes = static_cast<std::size_t>(log.bytes("most_waiting", ByteCount(bounds.maximumPendingBytes)).value());
    bool json = log.choice("format", { "key-value", "json" }, "key-value") == "json";
    return LogOptions()
        .withLevel(severity)
        .withFormat(json ? LogOptions::Format::Json : LogOptions::Format::KeyValue)
        .withFile(log.text("file", ""))
        .withBounds(bounds);
}

HostSettings HostSettings::read(const SettingsFile& file, const std::filesystem::path& settingsFile)
{
    HostSettings settings;
    SettingsTable host = file.root().table("host");
    settings.name = HostName(host.text("name"));
    settings.dataCentre = DataCentreName(host.text("data_centre"));
    SettingsTable cluster = file.root().table("cluster");
    settings.clusterName = cluster.text("name");
    settings.clusterKey = readClusterKey(cluster, settingsFile);
    settings.entryHosts = readEntryHosts(cluster);
    settings.keepers = readKeepers(cluster);
    settings.log = readLogOptions(file.root().table("log"));
    return settings;
}

std::vector<EntryHostAddress> HostSettings::hostsOfDataCentre() const
{
    std::vector<EntryHostAddress> hosts;
    for (const EntryHostAddress& host : entryHosts) {
        if (host.dataCentre == dataCentre)
            hosts.push_back(host);
    }
    return hosts;
}

} // namespace hemlockchute
