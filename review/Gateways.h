#pragma once

#include "Coordinators.h"
#include "Fleet.h"

namespace review {

/** An entry machine with its gateway, started with the command of the deploy file and settings made from its template. */
class GatewayMachine {
public:
    GatewayMachine(Coordinators& core, const std::string& name, const std::string& zone, unsigned number, Record& record)
        : m_core(core)
        , m_name(name)
        , m_zone(zone)
        , m_record(record)
    {
        std::string host = core.prefix() + "." + std::to_string(50 + number);
        m_front = { host, freePort(host) };
        m_ready = { host, freePort(host) };
        m_folder = core.options().work / name;
        std::filesystem::create_directories(m_folder);
    }

    const Address& front() const { return m_front; }
    Child& process() { return *m_process; }
    const std::string& name() const { return m_name; }

    void start()
    {
        std::map<std::string, std::string> values;
        values["nodeName|json"] = inQuotes(m_name);
        values["zone|json"] = inQuotes(m_zone);
        values["internalPorts.0"] = std::to_string(m_core.internalPort());
        values["internalPorts.1"] = std::to_string(freePort(m_front.host));
        values["ip"] = m_front.host;
        values["seeds|json"] = m_core.seeds();
        values["listen.front|json"] = inQuotes(m_front.text());
        values["listen.ready|json"] = inQuotes(m_ready.text());
        values["cloud.addr|json"] = inQuotes(m_core.list().address().text());
        values["bounds.drainMs"] = "3000";
        values["bounds.graceS"] = "8";
        values["bounds.retryBudgetRatio"] = "0.2";
        values["bounds.budgetExtraTries"] = "52";
        values["bounds.budgetWindowS"] = "10";
        std::filesystem::path path = m_folder / "node.toml";
        std::ofstream(path) << fillTemplate(readFile(m_core.options().repository / "deploy/gateway.toml"), values);
        std::vector<std::string> command { (m_core.options().repository / "target/bin/hemlock-gateway").string(), "--settings=" + path.string() };
        m_process = std::make_unique<Child>(command, m_folder / "log");
        m_record.add(m_name + ": started");
    }

    bool awaitReady(Milliseconds time) const
    {
        for (Clock::time_point end = Clock::now() + time; Clock::now() < end; sleepFor(Milliseconds(50))) {
            if (call(m_ready, "GET", "/hemlockchute/readyz", {}, Milliseconds(500)).status == 200)
                return true;
        }
        return false;
    }

private:
    Coordinators& m_core;
    std::string m_name;
    std::string m_zone;
    Record& m_record;
    Address m_front;
    Address m_ready;
    std::filesystem::path m_folder;
    std::unique_ptr<Child> m_process;
};

/** `limits.memoryMb` of an entry machine, 260, in units of 10^6 bytes. The pages don't name the unit; the larger one is taken, 2^20 bytes. */
inline constexpr double memoryLimit = 260 * 1.048576;

/** Memory of a process in megabytes: what it takes now ("VmRSS") or the most that it took ("VmHWM"). */
inline double memoryOf(pid_t process, const std::string& field)
{
    std::string status = readFile("/proc/" + std::to_string(process) + "/status");
    std::size_t at = status.find(field + ":");
    return at == std::string::npos ? 0 : std::strtod(status.c_str() + at + field.size() + 1, nullptr) * 1024 / 1e6;
}

} // namespace review
