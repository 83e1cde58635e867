#include "coordinator/Coordinator.h"
#include "hemlockchute/core/PluginRegistry.h"
#include "hemlockchute/core/RoleService.h"

#include <algorithm>
#include <random>

namespace hemlockchute {
namespace {

/** A random incarnation, unique across all coordinators; the `| 2` keeps it distinct from the founding incarnation 1. */
IncarnationId drawIncarnation()
{
    std::random_device device;
    constexpr unsigned halfBits = 32;
    return IncarnationId((std::uint64_t(device()) << halfBits) | device() | 2U);
}

//==============================================================================
/** The plug-in for the role "coordinator". */
class CoordinatorService : public RoleService {
public:
    std::vector<std::string> configure(const std::filesystem::path& settingsFile) override
    {
        std::vector<std::string> faults;
        m_settings = CoordinatorSettings::read(settingsFile, faults);
        m_platform = PluginRegistry<FleetPlatform>::instance().create(m_settings.platform);
        if (faults.empty() && !m_platform)
            faults.push_back(settingsFile.string() + ": platform.plugin: no platform named " + m_settings.platform + " is linked into this program");
        return faults;
    }

    LogOptions logOptions() const override { return m_settings.log; }
    unsigned threadCount() const override { return 1; }

    Result<void, RoleErrorCode> start(boost::asio::io_context& context) override
    {
        bool isSeed = std::find(m_settings.seeds.begin(), m_settings.seeds.end(), m_settings.peers) != m_settings.seeds.end();
        IncarnationId incarnation = m_settings.isFirstStart && isSeed ? Coordinator::foundingIncarnation() : drawIncarnation();
        auto openDisk = [folder = m_settings.dataFolder, incarnation] { return KeeperDisk::open(FileSystem::system(), folder, incarnation); };
        auto disk = openDisk();
        if (!disk)
            return failureBecause(RoleErrorCode::StateUnusable, disk.error());
        m_coordinator = std::make_unique<Coordinator>(context, m_settings, *m_platform, std::move(*disk), drawIncarnation(), openDisk);
        return m_coordinator->start();
    }

    /** Applies changed seeds and log options; other settings need a restart. */
    std::vector<std::string> reload(const std::filesystem::path& settingsFile) override
    {
        std::vector<std::string> faults;
        CoordinatorSettings settings = CoordinatorSettings::read(settingsFile, faults);
        if (!faults.empty())
            return faults;
        configureLog(settings.log);
        m_coordinator->reload(settings);
        return {};
    }

    void stop(std::function<void()> done) override { m_coordinator->stop(std::move(done)); }

private:
    CoordinatorSettings m_settings;
    std::unique_ptr<FleetPlatform> m_platform;
    std::unique_ptr<Coordinator> m_coordinator;
};

const ScopedPluginRegistration<RoleService, CoordinatorService> registration("coordinator");

} // namespace
} // namespace hemlockchute
