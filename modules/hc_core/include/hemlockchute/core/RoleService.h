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
    What a daemon does: the router, the controller and the keeper are each one of these.

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

    /** Begins to serve on the shared pool. Precondition: configure() succeeded. */
    virtual Result<void, RoleErrorCode> start(boost::asio::io_context&) = 0;

    /** Reads the settings again and applies what can change while running; returns the faults, which change nothing. */
    virtual std::vector<std::string> reload(const std::filesystem::path& settingsFile) = 0;

    /** Takes no new work, finishes what runs, then calls `done` once. Precondition: start() succeeded. */
    virtual void stop(std::function<void()> done) = 0;
};

} // namespace hemlockchute
