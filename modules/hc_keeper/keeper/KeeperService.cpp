#include "hemlockchute/core/PluginRegistry.h"
#include "hemlockchute/core/RoleService.h"
#include "keeper/Keeper.h"

#include <random>

namespace hemlockchute {
namespace {

/** Random, so that it differs from every other incarnation of any keeper; never 0. */
IncarnationId generateIncarnation()
{
    std::random_device device;
    constexpr unsigned halfBits = 32;
    return IncarnationId((std::uint64_t(device()) << halfBits) | device() | 1U);
}

//==============================================================================
/** The plug-in for the role "keeper". */
class KeeperService : public RoleService {
public:
    std::vector<std::string> configure(const std::filesystem::path& settingsFile) override
    {
        std::vector<std::string> faults;
        m_settings = KeeperSettings::read(settingsFile, faults);
        return faults;
    }

    LogOptions logOptions() const override { return m_settings.host.log; }
    unsigned threadCount() const override { return m_settings.threads; }

    Result<void, RoleErrorCode> start(boost::asio::io_context& context) override
    {
        auto disk = KeeperDisk::open(FileSystem::system(), m_settings.dataFolder, generateIncarnation());
        if (!disk)
            return failureBecause(RoleErrorCode::StateUnusable, disk.error());
        m_keeper = std::make_unique<Keeper>(context, m_settings, std::move(*disk), generateIncarnation());
        return m_keeper->start();
    }

    /** Applies only the keepers' addresses, the operators' tokens and the log options; other settings need a restart. */
    std::vector<std::string> reload(const std::filesystem::path& settingsFile) override
    {
        std::vector<std::string> faults;
        KeeperSettings settings = KeeperSettings::read(settingsFile, faults);
        if (!faults.empty())
            return faults;
        configureLog(settings.host.log);
        m_keeper->reload(settings);
        return {};
    }

    void stop(std::function<void()> done) override { m_keeper->stop(std::move(done)); }

private:
    KeeperSettings m_settings;
    std::unique_ptr<Keeper> m_keeper;
};

const ScopedPluginRegistration<RoleService, KeeperService> registration("keeper");

} // namespace
} // namespace hemlockchute
