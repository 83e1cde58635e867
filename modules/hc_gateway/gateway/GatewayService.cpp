#include "gateway/Gateway.h"
#include "hemlockchute/core/PluginRegistry.h"
#include "hemlockchute/core/RoleService.h"

namespace hemlockchute {
namespace {

//==============================================================================
/** The role "gateway". */
class GatewayService : public RoleService {
public:
    std::vector<std::string> configure(const std::filesystem::path& settingsFile) override
    {
        std::vector<std::string> faults;
        m_settings = GatewaySettings::read(settingsFile, faults);
        m_platform = PluginRegistry<FleetPlatform>::instance().create(m_settings.platform);
        if (faults.empty() && !m_platform)
            faults.push_back(settingsFile.string() + ": platform.plugin: no platform named " + m_settings.platform + " is linked into this program");
        return faults;
    }

    LogOptions logOptions() const override { return m_settings.log; }
    unsigned threadCount() const override { return 1; }

    Result<void, RoleErrorCode> start(boost::asio::io_context& context) override
    {
        m_gateway = std::make_unique<Gateway>(context, m_settings, *m_platform);
        return m_gateway->start();
    }

    /** Applies the seeds, the grace time and the log options; other settings need a restart. */
    std::vector<std::string> reload(const std::filesystem::path& settingsFile) override
    {
        std::vector<std::string> faults;
        GatewaySettings settings = GatewaySettings::read(settingsFile, faults);
        if (!faults.empty())
            return faults;
        configureLog(settings.log);
        m_gateway->reload(settings);
        return {};
    }

    void stop(std::function<void()> done) override { m_gateway->stop(std::move(done)); }

private:
    GatewaySettings m_settings;
    std::unique_ptr<FleetPlatform> m_platform;
    std::unique_ptr<Gateway> m_gateway;
};

const ScopedPluginRegistration<RoleService, GatewayService> registration("gateway");

} // namespace
} // namespace hemlockchute
