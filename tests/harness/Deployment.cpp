#include "Deployment.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <stdexcept>

namespace hemlockchute::harness {
namespace {

constexpr int callerPort = 8080;
constexpr int routerPort = 7101;
constexpr int controllerPort = 7102;
constexpr int keeperPort = 7103;
constexpr int routerOperatorPort = 7201;
constexpr int controllerOperatorPort = 7202;
constexpr int keeperOperatorPort = 7203;
constexpr int backendPort = 9001;
constexpr int platformPort = 9000;
constexpr int storePort = 9002;
constexpr int firstRelayPort = 10000;
/** The administrator's token, and its salt and hash as printed by "hemlockctl token hash". */
constexpr const char* adminToken = "demo-admin-token";
constexpr const char* adminSalt = "00112233445566778899aabbccddeeff";
constexpr const char* adminHash = "0438890589e2d2c577a6dda9c28376e87a8e9521b6d0512732f09aa73c2a5912";
constexpr auto stopTimeout = std::chrono::seconds(20);

std::string addressWithPort(const std::string& address, int port)
{
    return address + ":" + std::to_string(port);
}

Endpoint endpointOf(const std::string& text)
{
    return parseEndpoint(text).value();
}

} // namespace

Deployment::Deployment(std::filesystem::path programs, std::filesystem::path folder)
    : m_programs(std::move(programs))
    , m_folder(std::move(folder))
    , m_work(boost::asio::make_work_guard(m_context))
    , m_thread([this] { m_context.run(); })
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
}

Deployment::~Deployment()
{
    m_processes.clear();
    m_context.stop();
    m_thread.join();
}

//==============================================================================
void Deployment::addDataCentre(DataCentreOptions options)
{
    int number = static_cast<int>(m_dataCentres.size()) + 1;
    int keepers = static_cast<int>(std::count_if(m_hosts.begin(), m_hosts.end(), [](const Host& host) { return host.keeperId != 0; }));
    for (int i = 1; i <= options.hosts; ++i) {
        std::string address = m_network.prefix() + "." + std::to_string(number) + "." + std::to_string(i);
        m_hosts.push_back({ options.name + "-" + std::to_string(i), options.name, address, i <= options.keepers ? ++keepers : 0 });
    }
    m_dataCentres.push_back(std::move(options));
}

void Deployment::addBackend(BackendServerOptions options)
{
    m_backends.push_back(std::move(options));
}

std::string Deployment::backendAddress(const std::string& name) const
{
    auto found = std::find_if(m_backends.begin(), m_backends.end(), [&](const BackendServerOptions& options) { return options.name == name; });
    auto index = found - m_backends.begin() + 1;
    return addressWithPort(m_network.prefix() + ".100." + std::to_string(index), backendPort);
}

std::string Deployment::addressSeenFrom(const std::string& dataCentre, const std::string& targetDataCentre, const std::string& address)
{
    if (dataCentre == targetDataCentre)
        return address;
    auto [entry, isNew] = m_relays.try_emplace({ dataCentre, address });
    if (isNew) {
        std::string relayAddress = addressWithPort(m_network.prefix() + ".200.1", firstRelayPort + static_cast<int>(m_relays.size()));
        entry->second = { dataCentre, targetDataCentre, relayAddress, std::make_unique<Relay>(m_context, endpointOf(relayAddress), endpointOf(address), m_delay) };
    }
    return entry->second.address;
}

//==============================================================================
std::string Deployment::commonSettings(const Host& self)
{
    std::string text = "[host]\nname = \"" + self.name + "\"\ndata_centre = \"" + self.dataCentre + "\"\n\n[cluster]\nname = \"demo\"\nkey_file = \"cluster.key\"\n\n";
    for (const Host& host : m_hosts) {
        text += "[[cluster.entry_hosts]]\nname = \"" + host.name + "\"\ndata_centre = \"" + host.dataCentre + "\"\nrouter = \""
            + addressSeenFrom(self.dataCentre, host.dataCentre, addressWithPort(host.address, routerPort)) + "\"\ncontroller = \""
            + addressSeenFrom(self.dataCentre, host.dataCentre, addressWithPort(host.address, controllerPort)) + "\"\n\n";
    }
    for (const Host& host : m_hosts) {
        if (host.keeperId != 0) {
            text += "[[cluster.keepers]]\nid = " + std::to_string(host.keeperId) + "\nhost = \"" + host.name + "\"\ndata_centre = \"" + host.dataCentre
                + "\"\npeer = \"" + addressSeenFrom(self.dataCentre, host.dataCentre, addressWithPort(host.address, keeperPort)) + "\"\n\n";
        }
    }
    return text;
}

std::string Deployment::operatorSettings()
{
    return std::string("[operators]\nadmin_salt = \"") + adminSalt + "\"\nadmin_hash = \"" + adminHash + "\"\n";
}

void Deployment::writeFile(const std::string& name, const std::string& text) const
{
    std::ofstream(m_folder / name) << text;
}

void Deployment::addCommand(const std::string& name, const std::string& program, std::vector<std::string> arguments)
{
    m_commands[name] = { m_programs / program, std::move(arguments) };
    m_startOrder.push_back(name);
}

void Deployment::writeSettings()
{
    writeFile("cluster.key", "a-shared-key-for-the-demo-only\n");
    std::string keepers;
    std::string routers;
    for (const Host& host : m_hosts) {
        routers += (routers.empty() ? "\"" : ", \"") + addressWithPort(host.address, routerOperatorPort) + "\"";
        std::string common = commonSettings(host);
        std::string platform = "[platform]\naddress = \"" + m_network.prefix() + ".101." + std::to_string(1 + static_cast<int>(std::find_if(m_dataCentres.begin(), m_dataCentres.end(), [&](const DataCentreOptions& options) { return options.name == host.dataCentre; }) - m_dataCentres.begin())) + ":" + std::to_string(platformPort) + "\"\n\n";
        auto listen = [&](int peers, int operators) {
            return "[listen]\npeers = \"" + addressWithPort(host.address, peers) + "\"\noperators = \"" + addressWithPort(host.address, operators) + "\"\n";
        };
        std::string routerFile = host.name + ".router.toml";
        std::string controllerFile = host.name + ".controller.toml";
        std::string keeperFile = host.name + ".keeper.toml";
        writeFile(routerFile, common + platform + listen(routerPort, routerOperatorPort) + "callers = \"" + addressWithPort(host.address, callerPort) + "\"\n\n[queue]\nmaximum_waiting = " + std::to_string(m_maximumWaiting) + "\n");
        writeFile(controllerFile, common + platform + listen(controllerPort, controllerOperatorPort));
        if (host.keeperId != 0) {
            writeFile(keeperFile, common + "[keeper]\nid = " + std::to_string(host.keeperId) + "\ndata_folder = \"" + (m_folder / (host.name + ".data")).string() + "\"\n\n" + listen(keeperPort, keeperOperatorPort) + "\n" + operatorSettings());
            addCommand(host.name + " keeper", "hemlock-keeper", { "--settings=" + (m_folder / keeperFile).string() });
            keepers += (keepers.empty() ? "\"" : ", \"") + addressWithPort(host.address, keeperOperatorPort) + "\"";
        }
        addCommand(host.name + " controller", "hemlock-controller", { "--settings=" + (m_folder / controllerFile).string() });
        addCommand(host.name + " router", "hemlock-router", { "--settings=" + (m_folder / routerFile).string() });
    }
    writeFile("admin.token", std::string(adminToken) + "\n");
    writeFile("hemlockctl.toml", "keepers = [" + keepers + "]\nrouters = [" + routers + "]\ntoken_file = \"admin.token\"\n");
}

boost::json::array Deployment::hostList(const std::string& dataCentre)
{
    boost::json::array hosts;
    for (const BackendServerOptions& options : m_backends) {
        boost::json::object host { { "name", options.name }, { "data_centre", options.dataCentre }, { "kind", options.isEngine ? "engine" : "service" },
            { "address", addressSeenFrom(dataCentre, options.dataCentre, backendAddress(options.name)) }, { "state", m_leaving[options.name] ? "leaving" : "live" } };
        if (!options.isEngine)
            host["service"] = options.name.substr(0, options.name.find('@'));
        hosts.push_back(host);
    }
    return hosts;
}

void Deployment::writeHostLists()
{
    for (const DataCentreOptions& options : m_dataCentres)
        writeFile(options.name + ".hosts.json", boost::json::serialize(hostList(options.name)));
}

void Deployment::addStandIns()
{
    std::string store = addressWithPort(m_network.prefix() + ".102.1", storePort);
    addCommand("weight-store", "hemlock-stand-in", { "weight-store", "--listen=" + store });
    int number = 0;
    for (const DataCentreOptions& options : m_dataCentres) {
        std::string address = addressWithPort(m_network.prefix() + ".101." + std::to_string(++number), platformPort);
        addCommand("platform@" + options.name, "hemlock-stand-in", { "platform", "--listen=" + address, "--hosts=" + (m_folder / (options.name + ".hosts.json")).string() });
    }
    for (const BackendServerOptions& options : m_backends) {
        std::vector<std::string> arguments { options.isEngine ? "engine" : "service", "--listen=" + backendAddress(options.name), "--name=" + options.name };
        if (options.isEngine)
            arguments.push_back("--store=" + store);
        arguments.insert(arguments.end(), options.extraArguments.begin(), options.extraArguments.end());
        addCommand(options.name, "hemlock-stand-in", arguments);
    }
}

//==============================================================================
void Deployment::startAll()
{
    writeHostLists();
    addStandIns();
    writeSettings();
    for (const std::string& name : m_startOrder)
        start(name);
}

std::vector<std::string> Deployment::stopAll()
{
    std::vector<std::string> failed;
    auto isDaemon = [&](const std::string& name) { return m_commands.at(name).program.filename() != "hemlock-stand-in"; };
    for (const char* role : { " router", " controller", " keeper" }) {
        for (auto& [name, process] : m_processes) {
            if (isDaemon(name) && name.ends_with(role))
                process->signal(SIGTERM);
        }
        for (auto& [name, process] : m_processes) {
            if (isDaemon(name) && name.ends_with(role) && process->waitForExit(stopTimeout) != 0)
                failed.push_back(name + " (" + (process->exitCode() ? std::to_string(*process->exitCode()) : "still running") + ")");
        }
    }
    m_processes.clear();
    return failed;
}

void Deployment::start(const std::string& name)
{
    const Command& command = m_commands.at(name);
    std::string log = name + ".log";
    std::replace(log.begin(), log.end(), ' ', '.');
    m_processes.erase(name);
    m_processes[name] = std::make_unique<Process>(command.program, command.arguments, m_folder / log);
}

Process& Deployment::process(const std::string& name)
{
    auto found = m_processes.find(name);
    if (found == m_processes.end())
        throw std::runtime_error("no process named " + name + " was started");
    return *found->second;
}

void Deployment::eraseData(const std::string& hostName)
{
    std::filesystem::remove_all(m_folder / (host(hostName).name + ".data"));
}

void Deployment::cut(const std::string& dataCentre)
{
    for (auto& [key, entry] : m_relays) {
        if (entry.from == dataCentre || entry.to == dataCentre)
            entry.relay->cut();
    }
}

void Deployment::heal(const std::string& dataCentre)
{
    for (auto& [key, entry] : m_relays) {
        if (entry.from == dataCentre || entry.to == dataCentre)
            entry.relay->heal();
    }
}

void Deployment::silence(const std::string& dataCentre)
{
    for (auto& [key, entry] : m_relays) {
        if (entry.from == dataCentre || entry.to == dataCentre)
            entry.relay->silenceOpenConnections();
    }
}

void Deployment::setLeaving(const std::string& name)
{
    m_leaving[name] = true;
    writeHostLists();
    for (const DataCentreOptions& options : m_dataCentres)
        start("platform@" + options.name);
}

//==============================================================================
const Deployment::Host& Deployment::host(const std::string& name) const
{
    auto found = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const Host& host) { return host.name == name; });
    if (found == m_hosts.end())
        throw std::runtime_error("no host named " + name);
    return *found;
}

const BackendServerOptions& Deployment::backend(const std::string& name) const
{
    auto found = std::find_if(m_backends.begin(), m_backends.end(), [&](const BackendServerOptions& options) { return options.name == name; });
    if (found == m_backends.end())
        throw std::runtime_error("no backend server named " + name);
    return *found;
}

Endpoint Deployment::callerEndpoint(const std::string& hostName) const
{
    return endpointOf(addressWithPort(host(hostName).address, callerPort));
}

Endpoint Deployment::operatorEndpoint(const std::string& hostName, const std::string& role) const
{
    int port = role == "router" ? routerOperatorPort : role == "controller" ? controllerOperatorPort
                                                                            : keeperOperatorPort;
    return endpointOf(addressWithPort(host(hostName).address, port));
}

Endpoint Deployment::backendEndpoint(const std::string& name) const
{
    if (name == "weight-store")
        return endpointOf(addressWithPort(m_network.prefix() + ".102.1", storePort));
    return endpointOf(backendAddress(backend(name).name));
}

std::vector<std::string> Deployment::backendNames(bool engines) const
{
    std::vector<std::string> names;
    for (const BackendServerOptions& options : m_backends) {
        if (options.isEngine == engines)
            names.push_back(options.name);
    }
    return names;
}

std::string Deployment::dataCentreOf(const std::string& name) const
{
    for (const Host& candidate : m_hosts) {
        if (candidate.name == name)
            return candidate.dataCentre;
    }
    return backend(name).dataCentre;
}

std::vector<std::string> Deployment::hostNames() const
{
    std::vector<std::string> names;
    for (const Host& candidate : m_hosts)
        names.push_back(candidate.name);
    return names;
}

std::pair<int, std::string> Deployment::keeperOf(const std::string& hostName) const
{
    return { host(hostName).keeperId, addressWithPort(host(hostName).address, keeperPort) };
}

std::vector<std::string> Deployment::processNames() const
{
    return m_startOrder;
}

} // namespace hemlockchute::harness
