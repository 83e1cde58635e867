#include "gateway/GatewaySettings.h"

namespace hemlockchute {
namespace {

constexpr std::int64_t largestAllowance = 100'000;
/** Hedges beyond this would take a noticeable part of the servers' capacity. */
constexpr double largestHedgingRatio = 0.1;
constexpr std::int64_t largestPort = 65535;

} // namespace

GatewaySettings GatewaySettings::read(const std::filesystem::path& path, std::vector<std::string>& faults)
{
    SettingsFile file = SettingsFile::load(path);
    GatewaySettings settings;
    SettingsTable host = file.root().table("host");
    settings.host = HostName(host.text("name"));
    settings.dataCentre = DataCentreName(host.text("data_centre"));
    SettingsTable cluster = file.root().table("cluster");
    settings.clusterName = cluster.text("name");
    settings.clusterKey = cluster.text("key");
    auto port = static_cast<unsigned short>(cluster.integer("port", 0, 1, largestPort));
    std::vector<std::string> seeds = cluster.texts("seeds");
    for (const std::string& seed : seeds) {
        if (auto endpoint = parseEndpoint(seed))
            settings.seeds.emplace_back(endpoint->address(), port);
        else
            cluster.addFault("seeds", "holds " + seed + ", which is not an address and port");
    }
    if (seeds.empty())
        cluster.addFault("seeds", "must name a coordinator");
    SettingsTable listen = file.root().table("listen");
    settings.callers = listen.endpoint("callers");
    settings.readiness = listen.endpoint("readiness");
    settings.metrics = listen.optionalEndpoint("metrics");
    SettingsTable platform = file.root().table("platform");
    settings.platform = platform.text("plugin");
    settings.listing = platform.endpoint("list");
    settings.leavingNotice = platform.duration("leaving_notice", settings.leavingNotice);
    SettingsTable servers = file.root().table("servers");
    settings.notices = settings.notices.withLongestPause(servers.duration("longest_pause", settings.notices.longestPause));
    settings.notices = settings.notices.withLeavingRetention(servers.duration("leaving_memory", settings.notices.leavingRetention));
    SettingsTable retries = file.root().table("retries");
    settings.retries = settings.retries.withRatio(retries.number("ratio", settings.retries.ratio, 0, 1));
    settings.retries = settings.retries.withAllowance(static_cast<unsigned>(retries.integer("allowance", settings.retries.allowance, 0, largestAllowance)));
    settings.retries = settings.retries.withWindow(retries.duration("window", settings.retries.window));
    SettingsTable hedging = file.root().table("hedging");
    settings.hedging = settings.hedging.withRatio(hedging.number("ratio", settings.hedging.ratio, 0, largestHedgingRatio));
    settings.hedging = settings.hedging.withMinimumDelay(hedging.duration("minimum_delay", settings.hedging.minimumDelay));
    SettingsTable access = file.root().table("access");
    if (access.has("revocation"))
        settings.access = settings.access.withRevocation(access.duration("revocation", Duration::zero()));
    settings.grace = file.root().table("stop").duration("grace", settings.grace);
    SettingsTable requests = file.root().table("callers");
    settings.requestMemory = static_cast<std::size_t>(requests.bytes("request_memory", ByteCount(settings.requestMemory)).value());
    if (settings.requestMemory < RequestBufferBudget::minimumTotal)
        requests.addFault("request_memory", "must be at least 16MiB");
    settings.log = readLogOptions(file.root().table("log"));
    faults = file.faults();
    return settings;
}

} // namespace hemlockchute
