#include "coordinator/CoordinatorSettings.h"

namespace hemlockchute {
namespace {

constexpr std::int64_t largestPort = 65535;
constexpr std::int64_t mostLosses = 3;
constexpr std::int64_t mostStoreLoads = 1000;
constexpr double largestSlack = 1e9;
/** Losing one or two heartbeats must not start an election. */
constexpr int heartbeatsInElectionTimeout = 3;

void readCluster(const SettingsTable& cluster, CoordinatorSettings& settings)
{
    settings.clusterName = cluster.text("name");
    settings.clusterKey = cluster.text("key");
    auto port = static_cast<unsigned short>(cluster.integer("port", 0, 1, largestPort));
    settings.peers = { cluster.endpoint("self").address(), port };
    if (!settings.peers.address().is_v4())
        cluster.addFault("self", "must be an IPv4 address");
    for (const std::string& seed : cluster.texts("seeds")) {
        auto endpoint = parseEndpoint(seed);
        if (endpoint && endpoint->address().is_v4())
            settings.seeds.emplace_back(endpoint->address(), port);
        else
            cluster.addFault("seeds", "holds " + seed + ", which is not an IPv4 address and port");
    }
    settings.isFirstStart = cluster.flag("first_start", false);
    settings.toleratedLosses = static_cast<unsigned>(cluster.integer("tolerated_losses", settings.toleratedLosses, 0, mostLosses));
    settings.heartbeatInterval = cluster.duration("heartbeat_interval", settings.heartbeatInterval);
    settings.electionTimeout = cluster.duration("election_timeout", settings.electionTimeout);
    if (settings.electionTimeout < heartbeatsInElectionTimeout * settings.heartbeatInterval)
        cluster.addFault("election_timeout", "must be at least three heartbeat intervals");
}

} // namespace

CoordinatorSettings CoordinatorSettings::read(const std::filesystem::path& path, std::vector<std::string>& faults)
{
    SettingsFile file = SettingsFile::load(path);
    CoordinatorSettings settings;
    SettingsTable host = file.root().table("host");
    settings.host = HostName(host.text("name"));
    settings.dataCentre = DataCentreName(host.text("data_centre"));
    readCluster(file.root().table("cluster"), settings);
    SettingsTable listen = file.root().table("listen");
    settings.operators = listen.endpoint("operators");
    settings.listenPeers = listen.optionalEndpoint("peers").value_or(settings.peers);
    settings.metrics = listen.optionalEndpoint("metrics");
    settings.dataFolder = path.parent_path() / file.root().table("storage").text("data_folder");
    SettingsTable platform = file.root().table("platform");
    settings.platform = platform.text("plugin");
    settings.listing = platform.endpoint("list");
    SettingsTable placement = file.root().table("placement");
    settings.operatorTimeout = file.root().table("operators").duration("patience", settings.operatorTimeout);
    settings.orderLease = placement.duration("order_lease", settings.orderLease);
    settings.storeLoadsAtOnce = static_cast<unsigned>(placement.integer("store_loads_at_once", settings.storeLoadsAtOnce, 1, mostStoreLoads));
    SettingsTable quotas = file.root().table("quotas");
    settings.quotas = settings.quotas.withWindow(quotas.duration("window", settings.quotas.window));
    settings.quotas = settings.quotas.withOvershoot(quotas.number("overshoot", settings.quotas.overshoot, 0, 1));
    settings.quotas = settings.quotas.withSlack(quotas.number("slack", settings.quotas.slack, 0, largestSlack));
    SettingsTable requests = file.root().table("callers");
    settings.requestMemory = static_cast<std::size_t>(requests.bytes("request_memory", ByteCount(settings.requestMemory)).value());
    if (settings.requestMemory < RequestBufferBudget::minimumTotal)
        requests.addFault("request_memory", "must be at least 16MiB");
    settings.log = readLogOptions(file.root().table("log"));
    faults = file.faults();
    return settings;
}

} // namespace hemlockchute
