#include "hemlockchute/core/Kernel.h"

#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/core/PluginRegistry.h"
#include "hemlockchute/core/RoleService.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <map>
#include <thread>

namespace hemlockchute {
namespace {

constexpr int exitClean = 0;
constexpr int exitNotStarted = 1;
constexpr int exitFaultySettings = 2;

std::string usage(const std::string& role)
{
    return "hemlock-" + role + "\n\nUsage:\n  hemlock-" + role + " --settings=FILE [--check]\n  hemlock-" + role
        + " (-h | --help)\n\nOptions:\n  --settings=FILE  The daemon's settings, in TOML.\n"
          "  --check          Check the settings, print every fault, and exit.\n  -h --help        Show this.\n";
}

/**
    Blocks or unblocks the daemon's signals in the calling thread and in those that it creates.

    A signal that is sent while it is blocked is delivered afterwards. Signals are handled only while the
    role runs: at any other time their default action would end the process.
*/
void maskSignals(int how)
{
    sigset_t signals;
    ::sigemptyset(&signals);
    for (int signal : { SIGTERM, SIGINT, SIGHUP })
        ::sigaddset(&signals, signal);
    ::pthread_sigmask(how, &signals, nullptr);
}

/** Before other static objects are made, as the time until main() is some of the time in which a signal ends the process. */
[[gnu::constructor(101)]] void blockSignalsAtStart()
{
    maskSignals(SIG_BLOCK);
}

int printFaults(const std::vector<std::string>& faults)
{
    for (const std::string& fault : faults)
        std::cerr << fault << '\n';
    return exitFaultySettings;
}

/** Runs a role with its signal handling and thread pool. */
class RunningRole {
public:
    RunningRole(boost::asio::io_context& context, RoleService& service, std::filesystem::path settingsFile, std::string roleName)
        : m_context(context)
        , m_service(service)
        , m_settingsFile(std::move(settingsFile))
        , m_roleName(std::move(roleName))
        , m_work(boost::asio::make_work_guard(m_context))
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    {
    }

    int run()
    {
        if (auto started = m_service.start(m_context); !started) {
            logEvent(EventId::DaemonFailed, { { "role", m_roleName }, { "reason", started.error().detail } });
            return exitNotStarted;
        }
        logEvent(EventId::DaemonStarted, { { "role", m_roleName } });
        awaitSignal();
        // The threads of the role never take a signal, so none is left to end the process once its handlers are removed.
        maskSignals(SIG_UNBLOCK);
        runThreads();
        maskSignals(SIG_BLOCK);
        logEvent(EventId::DaemonStopped, { { "role", m_roleName } });
        return exitClean;
    }

private:
    void runThreads()
    {
        std::vector<std::thread> threads;
        for (unsigned i = 1; i < m_service.threadCount(); ++i)
            threads.emplace_back([this] { runHandlers(); });
        runHandlers();
        for (std::thread& thread : threads)
            thread.join();
    }

    /** An exception that leaves a handler concerns its own work; the requests of others go on. */
    void runHandlers()
    {
        while (true) {
            try {
                m_context.run();
                return;
            } catch (const std::exception& error) {
                logEvent(EventId::DaemonHandlerFailed, { { "role", m_roleName }, { "reason", error.what() } });
            }
        }
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code& error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                reload();
            else
                stop();
        });
    }

    void reload()
    {
        maskSignals(SIG_BLOCK);
        std::vector<std::string> faults = m_service.reload(m_settingsFile);
        maskSignals(SIG_UNBLOCK);
        for (const std::string& fault : faults)
            logEvent(EventId::DaemonFailed, { { "role", m_roleName }, { "reason", fault } });
        if (faults.empty())
            logEvent(EventId::DaemonReloaded, { { "role", m_roleName } });
        awaitSignal();
    }

    void stop()
    {
        logEvent(EventId::DaemonStopping, { { "role", m_roleName } });
        m_service.stop([this] {
            boost::asio::post(m_context, [this] {
                m_work.reset();
                m_context.stop();
            });
        });
    }

    boost::asio::io_context& m_context;
    RoleService& m_service;
    std::filesystem::path m_settingsFile;
    std::string m_roleName;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::signal_set m_signals;
};

} // namespace

Kernel::Kernel(std::string roleName)
    : m_roleName(std::move(roleName))
{
}

int Kernel::run(int argc, const char* const* argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usage(m_roleName), { argv + 1, argv + argc }, true, false);
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage(m_roleName);
        return exitClean;
    } catch (const std::runtime_error& error) {
        std::cerr << error.what() << '\n'
                  << usage(m_roleName);
        return exitFaultySettings;
    }
    std::filesystem::path settingsFile = arguments["--settings"].asString();

    // Declared before the service, whose timers and sockets must be destroyed first.
    boost::asio::io_context context;
    std::unique_ptr<RoleService> service = PluginRegistry<RoleService>::instance().create(m_roleName);
    if (!service) {
        std::cerr << "no role named " << m_roleName << " is linked into this program\n";
        return exitNotStarted;
    }
    if (auto faults = service->configure(settingsFile); !faults.empty())
        return printFaults(faults);
    if (arguments["--check"].asBool()) {
        std::cout << settingsFile.string() << ": no faults\n";
        return exitClean;
    }
    configureLog(service->logOptions());
    int exitCode = RunningRole(context, *service, settingsFile, m_roleName).run();
    closeLog();
    return exitCode;
}

} // namespace hemlockchute
