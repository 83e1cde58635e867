#include "controller/Controller.h"
#include "hemlockchute/core/PluginRegistry.h"
#include "hemlockchute/core/RoleService.h"

#include <random>

namespace hemlockchute {
namespace {

constexpr unsigned halfBits = 32;

std::uint64_t randomBits()
{
    std::random_device device;
    return (std::uint64_t(device()) << halfBits) | device();
}

//==============================================================================
/** The role "controller". */
class ControllerService : public RoleService {
public:
    std::vector<std::string> configure(const std::filesystem::path& settingsFile) override
    {
        std::vector<std::string> faults;
        m_settings = ControllerSettings::read(settingsFile, faults);
        return faults;
    }

    LogOptions logOptions() const override { return m_settings.host.log; }

    Result<void, RoleErrorCode> start(boost::asio::io_context& context) override
    {
        std::string lifeId = m_settings.host.name.text() + "-" + Digest(randomBits(), randomBits()).text();
        m_controller = std::make_shared<Controller>(context, m_settings, lifeId);
        return m_controller->start();
    }

    /** Only the log can change while the controller runs. */
    std::vector<std::string> reload(const std::filesystem::path& settingsFile) override
    {
        std::vector<std::string> faults;
        ControllerSettings settings = ControllerSettings::read(settingsFile, faults);
        if (faults.empty())
            configureLog(settings.host.log);
        return faults;
    }

    void stop(std::function<void()> done) override { m_controller->stop(std::move(done)); }

private:
    ControllerSettings m_settings;
    std::shared_ptr<Controller> m_controller;
};

const ScopedPluginRegistration<RoleService, ControllerService> registration("controller");

} // namespace
} // namespace hemlockchute
