#include "keeper/KeeperSettings.h"

#include <algorithm>

namespace hemlockchute {
namespace {

constexpr std::int64_t maximumKeeperId = 1'000'000;
constexpr std::int64_t maximumEntriesBetweenSnapshots = 1'000'000;
constexpr std::int64_t maximumThreads = 64;
/** One or two lost heartbeats must not start an election. */
constexpr int minimumHeartbeatsPerElectionTimeout = 3;

void readKeeper(const SettingsTable& table, const std::filesystem::path& path, KeeperSettings& settings)
{
    settings.id = KeeperId(static_cast<std::uint64_t>(table.integer("id", 0, 1, maximumKeeperId)));
    settings.dataFolder = path.parent_path() / table.text("data_folder");
    settings.heartbeatInterval = table.duration("heartbeat_interval", settings.heartbeatInterval);
    settings.electionTimeout = table.duration("election_timeout", settings.electionTimeout);
    settings.entriesBetweenSnapshots = static_cast<std::uint64_t>(table.integer("entries_between_snapshots", 1000, 1, maximumEntriesBetweenSnapshots));
    if (settings.electionTimeout < minimumHeartbeatsPerElectionTimeout * settings.heartbeatInterval)
        table.addFault("election_timeout", "must be at least three heartbeat intervals");
    auto isSelf = [&](const KeeperAddress& keeper) { return keeper.id == settings.id; };
    bool isListed = std::any_of(settings.host.keepers.begin(), settings.host.keepers.end(), isSelf);
    if (!isListed)
        table.addFault("id", "must be listed in cluster.keepers");
}

} // namespace

KeeperSettings KeeperSettings::read(const std::filesystem::path& path, std::vector<std::string>& faults)
{
    SettingsFile file = SettingsFile::load(path);
    KeeperSettings settings;
    settings.host = HostSettings::read(file, path);
    readKeeper(file.root().table("keeper"), path, settings);
    SettingsTable listen = file.root().table("listen");
    settings.peers = listen.endpoint("peers");
    settings.operators = listen.endpoint("operators");
    settings.tokens = OperatorTokens::read(file.root().table("operators"));
    settings.threads = static_cast<unsigned>(file.root().table("threads").integer("count", 2, 1, maximumThreads));
    faults = file.faults();
    return settings;
}

} // namespace hemlockchute
