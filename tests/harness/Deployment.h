#pragma once

#include "LoopbackNetwork.h"
#include "Process.h"
#include "Relay.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace hemlockchute::harness {

/** A data centre of a scenario. */
struct DataCentreOptions {
    std::string name;
    int hosts = 2;
    int keepers = 1;
};

/** A stand-in of a scenario: an engine or a plain service. */
struct BackendServerOptions {
    std::string name;
    std::string dataCentre;
    bool isEngine = true;
    std::vector<std::string> extraArguments;
};

//==============================================================================
/**
    The system of a scenario as real processes on loopback addresses: its settings files, its
    daemons, the stand-ins around it and the relays between its data centres.

    Thread safety: one thread at a time; relays run on a thread of their own.
*/
class Deployment {
public:
    /** `programs` holds the daemons, `folder` takes settings, data and logs. */
    Deployment(std::filesystem::path programs, std::filesystem::path folder);
    ~Deployment();

    //==============================================================================
    void addDataCentre(DataCentreOptions);
    void addBackend(BackendServerOptions);
    void setDelay(Duration oneWay) { m_delay = oneWay; }
    /** Requests that may wait at one router. */
    void setMaximumWaiting(int count) { m_maximumWaiting = count; }
    /** Writes all settings and starts everything, the stand-ins first. */
    void startAll();
    /** Ends every daemon with SIGTERM and returns the names of those that did not exit 0. */
    std::vector<std::string> stopAll();

    //==============================================================================
    /** Starts one process again; `name` is "tallinn-1 keeper" or a stand-in's name. */
    void start(const std::string& name);
    Process& process(const std::string& name);
    /** Removes a keeper's data folder. */
    void eraseData(const std::string& host);

    void cut(const std::string& dataCentre);
    void heal(const std::string& dataCentre);
    void silence(const std::string& dataCentre);
    void setLeaving(const std::string& backend);

    //==============================================================================
    Endpoint callerEndpoint(const std::string& host) const;
    Endpoint operatorEndpoint(const std::string& host, const std::string& role) const;
    Endpoint backendEndpoint(const std::string& backend) const;
    std::vector<std::string> backendNames(bool engines) const;
    std::string dataCentreOf(const std::string& backendOrHost) const;
    std::vector<std::string> hostNames() const;
    std::vector<std::string> processNames() const;
    /** Number and peer address of a host's keeper. */
    std::pair<int, std::string> keeperOf(const std::string& host) const;
    /** Settings for hemlockctl; `host` puts that host's keeper first when it has one. */
    std::filesystem::path controlSettings() const { return m_folder / "hemlockctl.toml"; }
    const std::filesystem::path& folder() const { return m_folder; }
    const std::filesystem::path& programs() const { return m_programs; }
    boost::asio::io_context& context() { return m_context; }

private:
    struct Host {
        std::string name;
        std::string dataCentre;
        std::string address;
        int keeperId = 0;
    };
    struct Command {
        std::filesystem::path program;
        std::vector<std::string> arguments;
    };

    const Host& host(const std::string& name) const;
    const BackendServerOptions& backend(const std::string& name) const;
    std::string backendAddress(const std::string& name) const;
    std::string addressSeenFrom(const std::string& dataCentre, const std::string& targetDataCentre, const std::string& address);
    std::string commonSettings(const Host&);
    static std::string operatorSettings();
    void writeSettings();
    void writeHostLists();
    boost::json::array hostList(const std::string& dataCentre);
    void writeFile(const std::string& name, const std::string& text) const;
    void addCommand(const std::string& name, const std::string& program, std::vector<std::string> arguments);
    void addStandIns();

    std::filesystem::path m_programs;
    std::filesystem::path m_folder;
    boost::asio::io_context m_context;
    LoopbackNetwork m_network;
    Duration m_delay {};
    int m_maximumWaiting = 4096;
    std::vector<DataCentreOptions> m_dataCentres;
    std::vector<Host> m_hosts;
    std::vector<BackendServerOptions> m_backends;
    std::map<std::string, Command> m_commands;
    std::vector<std::string> m_startOrder;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    std::map<std::string, bool> m_leaving;

    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
    /** By the two data centres a relay joins and the address it leads to. */
    struct RelayEntry {
        std::string from;
        std::string to;
        std::string address;
        std::unique_ptr<Relay> relay;
    };
    std::map<std::pair<std::string, std::string>, RelayEntry> m_relays;
};

} // namespace hemlockchute::harness
