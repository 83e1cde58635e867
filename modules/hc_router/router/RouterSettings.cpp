#include "router/RouterSettings.h"

namespace hemlockchute {
namespace {

constexpr std::int64_t maximumQueueLength = 1'000'000;
constexpr std::int64_t maximumReservedSlotsPercent = 50;
constexpr std::int64_t maximumThreads = 64;

} // namespace

RouterSettings RouterSettings::read(const std::filesystem::path& path, std::vector<std::string>& faults)
{
    SettingsFile file = SettingsFile::load(path);
    RouterSettings settings;
    settings.host = HostSettings::read(file, path);
    SettingsTable listen = file.root().table("listen");
    settings.callers = listen.endpoint("callers");
    settings.operators = listen.endpoint("operators");
    settings.peers = listen.endpoint("peers");
    SettingsTable platform = file.root().table("platform");
    settings.platform = platform.endpoint("address");
    settings.platformInterval = platform.duration("interval", settings.platformInterval);
    SettingsTable queue = file.root().table("queue");
    settings.queueStrategy = queue.choice("strategy", { "rank-fair", "fifo", "strict-priority" }, "rank-fair");
    settings.maximumWaiting = static_cast<std::size_t>(queue.integer("maximum_waiting", 4096, 1, maximumQueueLength));
    settings.reservedSlotsPercent = static_cast<unsigned>(queue.integer("kept_slots_percent", settings.reservedSlotsPercent, 0, maximumReservedSlotsPercent));
    settings.pickerStrategy = file.root().table("picker").choice("strategy", { "two-choices", "least-outstanding" }, "two-choices");
    settings.threads = static_cast<unsigned>(file.root().table("threads").integer("count", 2, 1, maximumThreads));
    SettingsTable requests = file.root().table("callers");
    settings.requestMemory = static_cast<std::size_t>(requests.bytes("request_memory", ByteCount(settings.requestMemory)).value());
    if (settings.requestMemory < RequestBufferBudget::minimumTotal)
        requests.addFault("request_memory", "must be at least 16MiB");
    faults = file.faults();
    return settings;
}

} // namespace hemlockchute
