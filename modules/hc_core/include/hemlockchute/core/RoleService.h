#pragma once

#include "hemlockchute/core/Errors.h"
#include "hemlockchute/core/EventLog.h"

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

namespace hemlockchute {

enum class RoleErrorCode {
    ListenFailed,
    StateUnusable,
    Internal
};

//==============================================================================
/**
    The work of one daemon, such as router, controller, keeper, gateway or coordinator.

    The kernel calls configure() once, then start(), then reload() for each SIGHUP, and stop() for
    SIGTERM or SIGINT. Thread safety: the kernel makes these calls one at a time.

    @see Kernel, PluginRegistry
*/
class RoleService {
public:
    virtual ~RoleService() = default;

    /** Reads the settings file. Returns every fault found, one line of text each; none means success. */
    virtual std::vector<std::string> configure(const std::filesystem::path& settingsFile) = 0;

    /** Log options from the settings. Precondition: configure() succeeded. */
    virtual LogOptions logOptions() const = 0;

    /** Threads for the shared pool. Precondition: configure() succeeded. */
    virtual unsigned threadCount() const { return 2; }

    /** Starts serving on the shared pool. Precondition: configure() succeeded. */
    virtual Result<void, RoleErrorCode> start(boost::asio::io_context&) = 0;

    /** Reads the settings again and applies what can change while running; returns the faults, in which case nothing changes. */
    virtual std::vector<std::string> reload(const std::filesystem::path& settingsFile) = 0;

    /** Stops accepting work, finishes what is in progress, then calls `done` once. Precondition: start() succeeded. */
    virtual void stop(std::function<void()> done) = 0;
};

} // namespace hemlockchute
