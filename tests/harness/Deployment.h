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

/** Size of one data centre in a scenario. */
struct DataCentreOptions {
    std::string name;
    int hosts = 2;
    int keepers = 1;
};

/** Configuration of one fake backend server in a scenario: an engine or a plain service. */
struct BackendServerOptions {
    std::string name;
    std::string dataCentre;
    bool isEngine = true;
    std::vector<std::string> extraArguments;
};

//==============================================================================
/**
    Runs the system of a scenario as real processes on loopback addresses: writes the settings
    files, starts the daemons and the fake external systems, and connects the data centres through
    relays that can inject network faults.

    Thread safety: one thread at a time; the relays run on a separate thread.
*/
class Deployment {
public:
    /** `programs` contains the daemons; settings, data and logs go to `folder`, whose previous content is deleted. */
    Deployment(std::filesystem::path programs, std::filesystem::path folder);
    ~Deployment();

    //==============================================================================
    void addDataCentre(DataCentreOptions);
    void addBackend(BackendServerOptions);
    void setDelay(Duration oneWay) { m_delay = oneWay; }
    /** Sets the maximum number of requests queued at one router. */
    void setMaximumWaiting(int count) { m_maximumWaiting = count; }
    /** Writes all settings files, then starts the fake external systems and the daemons. */
    void startAll();
    /** Stops every daemon with SIGTERM and returns the names of those that did not exit with 0. */
    std::vector<std::string> stopAll();

    //==============================================================================
    /** Starts or restarts one process; `name` is, for example, "tallinn-1 keeper" or the name of a backend server. */
    void start(const std::string& name);
    Process& process(const std::string& name);
    /** Removes a keeper's data folder. */
    void eraseData(const std::string& host);

    /** Partitions a data centre from the others. */
    void cut(const std::string& dataCentre);
    /** Ends the partition of a data centre. */
    void heal(const std::string& dataCentre);
    /** Makes the open connections of a data centre drop all data; new connections work. */
    void silence(const std::string& dataCentre);
    /** Lists a backend server as leaving in the host list of every data centre. */
    void setLeaving(const std::string& backend);

    //==============================================================================
    Endpoint callerEndpoint(const std::string& host) const;
    Endpoint operatorEndpoint(const std::string& host, const std::string& role) const;
    Endpoint backendEndpoint(const std::string& backend) const;
    std::vector<std::string> backendNames(bool engines) const;
    std::string dataCentreOf(const std::string& backendOrHost) const;
    std::vector<std::string> hostNames() const;
    std::vector<std::string> processNames() const;
    /** Returns the id and the peer address of a host's keeper. */
    std::pair<int, std::string> keeperOf(const std::string& host) const;
    /** Settings file for hemlockctl, with every keeper and router. */
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
    /** A relay, the two data centres that it connects, and the address on which it listens. */
    struct RelayEntry {
        std::string from;
        std::string to;
        std::string address;
        std::unique_ptr<Relay> relay;
    };
    std::map<std::pair<std::string, std::string>, RelayEntry> m_relays;
};

} // namespace hemlockchute::harness
