#include "controller/ControllerSettings.h"

#include <algorithm>
#include <set>

namespace hemlockchute {

ControllerSettings ControllerSettings::read(const std::filesystem::path& path, std::vector<std::string>& faults)
{
    SettingsFile file = SettingsFile::load(path);
    ControllerSettings settings;
    settings.host = HostSettings::read(file, path);
    SettingsTable listen = file.root().table("listen");
    settings.peers = listen.endpoint("peers");
    settings.operators = listen.endpoint("operators");
    SettingsTable platform = file.root().table("platform");
    settings.platform = platform.endpoint("address");
    settings.platformInterval = platform.duration("interval", settings.platformInterval);
    settings.strategy = file.root().table("placement").choice("strategy", { "worth-per-load-time", "lru" }, "worth-per-load-time");
    auto hosts = settings.host.hostsOfDataCentre();
    bool isListed = std::any_of(hosts.begin(), hosts.end(), [&](const EntryHostAddress& host) { return host.name == settings.host.name; });
    if (!isListed)
        file.root().table("cluster").addFault("entry_hosts", "must list this host in its data centre");
    faults = file.faults();
    return settings;
}

std::vector<EntryHostAddress> ControllerSettings::otherHosts() const
{
    std::vector<EntryHostAddress> others = host.hostsOfDataCentre();
    std::erase_if(others, [&](const EntryHostAddress& other) { return other.name == host.name; });
    return others;
}

std::vector<DataCentreName> ControllerSettings::dataCentres() const
{
    std::set<DataCentreName> names;
    for (const EntryHostAddress& entry : host.entryHosts)
        names.insert(entry.dataCentre);
    return { names.begin(), names.end() };
}

/** The hosts that stand before this one follow the keepers, or one another; then the keepers themselves. */
std::vector<Endpoint> ControllerSettings::documentSources() const
{
    std::vector<Endpoint> sources;
    for (const EntryHostAddress& entry : host.hostsOfDataCentre()) {
        if (entry.name == host.name)
            break;
        sources.push_back(entry.controller);
    }
    for (const KeeperAddress& keeper : host.keepers)
        sources.push_back(keeper.peer);
    return sources;
}

} // namespace hemlockchute
