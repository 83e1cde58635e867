#include "Deployment.h"

#include <algorithm>
#include <docopt/docopt.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace hemlockchute;
using namespace hemlockchute::harness;

namespace {

constexpr const char* usage = R"(Measures what the daemons cost while nothing is asked of them, and how fast a document takes effect.

Usage:
  hemlock-control-cost --programs=FOLDER --work=FOLDER [--seconds=N] [--hosts=LIST] [--models=N] [--adapters=N] [--submissions=N]

Options:
  --programs=FOLDER  Where the daemons are.
  --work=FOLDER      Takes settings, data and logs; emptied first.
  --seconds=N        How long to measure [default: 20].
  --hosts=LIST       Hosts in each of three data centres [default: 2,4,8].
  --models=N         Models in the document [default: 100].
  --adapters=N       Adapters in the document [default: 90].
  --submissions=N    Documents to time until they are in force [default: 10].
)";

constexpr int longestStartSeconds = 60;
const std::vector<std::string> dataCentres { "tallinn", "tartu", "narva" };
const std::vector<std::string> roles { "router", "controller", "keeper" };

/** Processor time and resident memory of one process, read from /proc. */
struct Usage {
    double processorSeconds = 0;
    double residentMebibytes = 0;
};

Usage usageOf(pid_t process)
{
    std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> values;
    for (std::string value; fields >> value;)
        values.push_back(value);
    constexpr std::size_t userTime = 11;
    constexpr std::size_t systemTime = 12;
    constexpr std::size_t residentPages = 21;
    double ticks = std::stod(values.at(userTime)) + std::stod(values.at(systemTime));
    double bytes = std::stod(values.at(residentPages)) * static_cast<double>(::sysconf(_SC_PAGESIZE));
    return { ticks / static_cast<double>(::sysconf(_SC_CLK_TCK)), bytes / (1U << 20U) };
}

/** Returns the total bytes sent by the loopback device. */
double loopbackBytes()
{
    std::ifstream device("/proc/net/dev");
    for (std::string line; std::getline(device, line);) {
        std::size_t colon = line.find(':');
        if (colon == std::string::npos || line.find("lo") > colon)
            continue;
        std::istringstream fields(line.substr(colon + 1));
        double received = 0;
        fields >> received;
        return received;
    }
    return 0;
}

std::string documentText(int models, int adapters, int change)
{
    std::ostringstream text;
    text << "[[team.office.ranks]]\nname = \"counter\"\norder = 0\nworth = " << 10 + change << "\n\n";
    for (const std::string& name : dataCentres)
        text << "[[team.office.data_centres]]\nname = \"" << name << "\"\n\n";
    for (int i = 0; i < models; ++i)
        text << "[[team.models.models]]\nname = \"model-" << i << "\"\nmemory = \"4GiB\"\n\n";
    for (int i = 0; i < adapters; ++i)
        text << "[[team.models.adapters]]\nname = \"adapter-" << i << "\"\nmodel = \"model-" << i % models << "\"\nmemory = \"64MiB\"\n\n";
    return text.str();
}

/** Starts one deployment and measures its idle cost and the latency of submissions. */
class Measurement {
public:
    Measurement(const std::map<std::string, docopt::value>& arguments, int hostsPerDataCentre)
        : m_deployment(arguments.at("--programs").asString(), std::filesystem::absolute(arguments.at("--work").asString()) / std::to_string(hostsPerDataCentre))
        , m_models(static_cast<int>(arguments.at("--models").asLong()))
        , m_adapters(static_cast<int>(arguments.at("--adapters").asLong()))
        , m_hosts(3 * hostsPerDataCentre)
    {
        for (const std::string& name : dataCentres)
            m_deployment.addDataCentre({ name, hostsPerDataCentre, 1 });
        m_deployment.setDelay(4ms);
        m_deployment.startAll();
    }

    /** Returns the seconds from starting hemlockctl until it reports the document in force everywhere, or nothing if it fails. */
    std::optional<double> submit(int change)
    {
        std::filesystem::path file = m_deployment.folder() / "document.toml";
        std::ofstream(file) << documentText(m_models, m_adapters, change);
        auto start = std::chrono::steady_clock::now();
        Process control(m_deployment.programs() / "hemlockctl",
            { "--settings=" + m_deployment.controlSettings().string(), "submit", file.string(), "--base=" + std::to_string(change), "--json" }, m_deployment.folder() / "submit.out");
        std::optional<int> code = control.waitForExit(std::chrono::seconds(longestStartSeconds));
        if (code != 0)
            return {};
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    }

    void reportIdle(int seconds)
    {
        std::map<std::string, Usage> before = usageByProcess();
        double bytesBefore = loopbackBytes();
        std::this_thread::sleep_for(std::chrono::seconds(seconds));
        std::map<std::string, Usage> after = usageByProcess();
        double bytes = loopbackBytes() - bytesBefore;
        std::cout << std::fixed << std::setprecision(2) << m_hosts << " hosts: " << bytes / seconds / m_hosts / 1024 << " KiB/s a host\n";
        for (const std::string& role : roles)
            reportRole(role, before, after, seconds);
    }

private:
    std::map<std::string, Usage> usageByProcess()
    {
        std::map<std::string, Usage> usage;
        for (const std::string& name : m_deployment.processNames()) {
            if (name.find(' ') != std::string::npos)
                usage[name] = usageOf(m_deployment.process(name).id());
        }
        return usage;
    }

    void reportRole(const std::string& role, std::map<std::string, Usage>& before, std::map<std::string, Usage>& after, int seconds) const
    {
        std::vector<double> shares;
        std::vector<double> memory;
        for (const auto& [name, usage] : after) {
            if (!name.ends_with(role))
                continue;
            shares.push_back(100 * (usage.processorSeconds - before[name].processorSeconds) / seconds);
            memory.push_back(usage.residentMebibytes);
        }
        double total = 0;
        for (double share : shares)
            total += share;
        std::cout << "    " << role << ": " << total / static_cast<double>(shares.size()) << "% of a core on average, "
                  << *std::max_element(shares.begin(), shares.end()) << "% at most; " << *std::max_element(memory.begin(), memory.end()) << " MiB resident at most\n";
    }

    Deployment m_deployment;
    int m_models;
    int m_adapters;
    int m_hosts;
};

void measure(const std::map<std::string, docopt::value>& arguments, int hosts)
{
    Measurement measurement(arguments, hosts);
    std::optional<double> first;
    for (int attempt = 0; attempt < longestStartSeconds && !first; ++attempt) {
        first = measurement.submit(0);
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    if (!first) {
        std::cout << 3 * hosts << " hosts: the first document was not accepted\n";
        return;
    }
    std::vector<double> times;
    for (int change = 1; change <= arguments.at("--submissions").asLong(); ++change) {
        if (auto time = measurement.submit(change))
            times.push_back(*time);
    }
    std::sort(times.begin(), times.end());
    measurement.reportIdle(static_cast<int>(arguments.at("--seconds").asLong()));
    if (!times.empty())
        std::cout << "    submit to in force everywhere: median " << times[times.size() / 2] << " s, worst " << times.back() << " s of " << times.size() << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    std::istringstream list(arguments["--hosts"].asString());
    for (std::string hosts; std::getline(list, hosts, ',');)
        measure(arguments, std::stoi(hosts));
    return 0;
}
