#pragma once

#include "Support.h"

namespace review {

/** One machine of the core with its coordinator. */
struct CoreMachine {
    std::string name;
    std::string zone;
    Address control;
    Address internal;
    Address metrics;
    /** Where the coordinator listens for other machines if a proxy stands at `internal`. */
    std::optional<Address> behindProxy;
    std::filesystem::path folder;
    std::unique_ptr<Child> process;
};

//==============================================================================
/**
    The core of a small deployment, and its operator: coordinators as separate processes, started with
    the command of the deploy file and settings made from its template.

    Thread safety: one thread at a time, but change() from any thread.
*/
class Coordinators {
public:
    /** Where the programs and the working files are, and the size of the operator's configurations. */
    struct Options {
        std::filesystem::path repository;
        std::filesystem::path work;
        std::size_t bodyBytes = 40'000;
        bool hasProxies = false;
    };

    Coordinators(Options options, Record& record)
        : m_options(std::move(options))
        , m_record(record)
        , m_prefix(loopbackPrefix())
        , m_list(Address { m_prefix + ".100", 0 })
        , m_controlPort(freePort(m_prefix + ".1"))
        , m_internalPort(freePort(m_prefix + ".2"))
        , m_metricsPort(freePort(m_prefix + ".3"))
    {
    }

    std::vector<CoreMachine>& machines() { return m_machines; }
    PlatformList& list() { return m_list; }
    const Options& options() const { return m_options; }
    const std::string& prefix() const { return m_prefix; }
    std::string seeds() const { return "[" + m_seeds[0] + ", " + m_seeds[1] + ", " + m_seeds[2] + "]"; }
    unsigned short internalPort() const { return m_internalPort; }
    CoreMachine& at(std::size_t number) { return m_machines[number]; }
    std::vector<std::size_t> all() const
    {
        std::vector<std::size_t> numbers;
        for (std::size_t i = 0; i < m_machines.size(); ++i) {
            if (!m_removed.contains(i))
                numbers.push_back(i);
        }
        return numbers;
    }

    /** Adds a machine with an empty disk, without starting its coordinator. */
    std::size_t add(const std::string& name, const std::string& zone)
    {
        CoreMachine machine;
        std::size_t number = m_machines.size();
        std::string host = m_prefix + "." + std::to_string(number + 1);
        machine.name = name;
        machine.zone = zone;
        machine.control = { host, m_controlPort };
        machine.internal = { host, m_internalPort };
        machine.metrics = { host, m_metricsPort };
        if (m_options.hasProxies)
            machine.behindProxy = Address { m_prefix + "." + std::to_string(number + 11), m_internalPort };
        machine.folder = m_options.work / name;
        std::filesystem::create_directories(machine.folder);
        if (m_seeds.size() < 3)
            m_seeds.push_back(inQuotes(machine.control.text()));
        m_machines.push_back(std::move(machine));
        return number;
    }

    /** Starts the machine's coordinator. All machines that are seeds have been added before. */
    void start(std::size_t number, bool isFirstStart)
    {
        CoreMachine& machine = m_machines[number];
        std::map<std::string, std::string> values;
        values["nodeName|json"] = inQuotes(machine.name);
        values["zone|json"] = inQuotes(machine.zone);
        values["listen.control|json"] = inQuotes(machine.control.text());
        values["internalPorts.0"] = std::to_string(machine.internal.port);
        values["internalPorts.1"] = std::to_string(machine.metrics.port);
        values["ip"] = machine.control.host;
        values["seeds|json"] = seeds();
        values["bootstrap"] = isFirstStart ? "true" : "false";
        values["faultTolerance.machines"] = "1";
        values["dataDir|json"] = inQuotes((machine.folder / "data").string());
        values["cloud.addr|json"] = inQuotes(m_list.address().text());
        values["bounds.leaseMs"] = "3000";
        std::string settings = fillTemplate(readFile(m_options.repository / "deploy/coordinator.toml"), values);
        std::string listen = "[listen]\n";
        if (machine.behindProxy)
            settings.insert(settings.find(listen) + listen.size(), "peers = " + inQuotes(machine.behindProxy->text()) + "\n");
        std::filesystem::path path = machine.folder / "node.toml";
        std::ofstream(path) << settings;
        std::vector<std::string> command { (m_options.repository / "target/bin/hemlock-coordinator").string(), "--settings=" + path.string() };
        machine.process = std::make_unique<Child>(command, machine.folder / "log");
        m_record.add(machine.name + ": started" + (isFirstStart ? ", first start" : ""));
    }

    void kill(std::size_t number)
    {
        m_machines[number].process->kill();
        m_record.add(m_machines[number].name + ": killed, its disk stays");
    }

    void loseDisk(std::size_t number)
    {
        m_machines[number].process->kill();
        std::filesystem::remove_all(m_machines[number].folder / "data");
        m_record.add(m_machines[number].name + ": killed, its disk is lost");
    }

    /** Ends a machine for good: SIGTERM, and SIGKILL after graceS. */
    void remove(std::size_t number)
    {
        CoreMachine& machine = m_machines[number];
        m_removed.insert(number);
        machine.process->signal(SIGTERM);
        Clock::time_point sent = Clock::now();
        bool hasEnded = false;
        while (!hasEnded && Clock::now() - sent < std::chrono::seconds(8)) {
            sleepFor(Milliseconds(10));
            hasEnded = machine.process->ended().has_value();
        }
        machine.process->kill();
        auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - sent).count();
        m_record.add(machine.name + ": SIGTERM; it is gone for good after " + std::to_string(took) + " ms");
    }

    /** The platform restarts a process that ends by itself. */
    void restartEnded()
    {
        for (std::size_t number : all()) {
            if (!m_machines[number].process->ended())
                continue;
            m_record.add(m_machines[number].name + ": ended by itself");
            sleepFor(Milliseconds(300));
            start(number, false);
        }
    }

    //==============================================================================
    /** Waits for one of the machines to lead. */
    std::optional<std::size_t> findLeader(Milliseconds time)
    {
        for (Clock::time_point end = Clock::now() + time; Clock::now() < end; sleepFor(Milliseconds(50))) {
            for (std::size_t number : all()) {
                if (metricOf(number, "hemlock_coordinator_leads") != 1)
                    continue;
                m_record.add(m_machines[number].name + ": leads");
                return number;
            }
        }
        return std::nullopt;
    }

    /** Waits until a metric has a value at all of the machines. */
    bool awaitMetric(const std::string& name, double value, Milliseconds time)
    {
        for (Clock::time_point end = Clock::now() + time; Clock::now() < end; sleepFor(Milliseconds(50))) {
            std::vector<std::size_t> numbers = all();
            if (std::all_of(numbers.begin(), numbers.end(), [&](std::size_t number) { return metricOf(number, name) == value; }))
                return true;
            restartEnded();
        }
        return false;
    }

    double metricOf(std::size_t number, const std::string& name) { return metric(call(m_machines[number].metrics, "GET", "/metrics", {}, Milliseconds(500)).body, name); }

    //==============================================================================
    /** The operator sends a change to a machine; returns the status, 0 without an answer within a second. */
    int change(unsigned version, std::size_t number, bool isShown = true)
    {
        return send(version, configuration(version), number, isShown);
    }

    /** The same with a configuration of the case's own. */
    int send(unsigned version, const std::string& configuration, std::size_t number, bool isShown = true)
    {
        Answer answer = call(m_machines[number].control, "PUT", "/hemlockchute/config", configuration, Milliseconds(1000));
        if (isShown || answer.status != 200)
            m_record.add("operator: version " + std::to_string(version) + " sent to " + m_machines[number].name + ", answer " + (answer.status ? std::to_string(answer.status) : "none within 1 s"));
        return answer.status;
    }

    /** Sends a change to one machine after the other until one acknowledges it. */
    bool changeUntilAcknowledged(unsigned version, const std::vector<std::size_t>& numbers, bool isShown = true)
    {
        Clock::time_point end = Clock::now() + std::chrono::seconds(15);
        for (std::size_t turn = 0; Clock::now() < end; ++turn) {
            ++m_tries;
            if (change(version, numbers[turn % numbers.size()], isShown) == 200)
                return true;
            sleepFor(Milliseconds(100));
        }
        return false;
    }

    /** How often changeUntilAcknowledged() has sent a change. */
    unsigned tries() const { return m_tries; }

    /** The version that a machine shows; nothing without a 200. */
    std::optional<unsigned> readVersion(std::size_t number)
    {
        Answer answer = call(m_machines[number].control, "GET", "/hemlockchute/config", {}, Milliseconds(1000));
        std::size_t at = answer.body.find("\"version\":");
        if (answer.status != 200 || at == std::string::npos)
            return std::nullopt;
        return static_cast<unsigned>(std::strtoul(answer.body.c_str() + at + 10, nullptr, 10));
    }

    /** Reads the configuration back at each machine for some time, and judges what they have shown. */
    int readBack(unsigned acknowledged, Milliseconds time)
    {
        std::map<std::size_t, std::optional<unsigned>> last;
        std::map<std::size_t, unsigned> answers;
        bool isOlder = false;
        for (Clock::time_point end = Clock::now() + time; Clock::now() < end; sleepFor(Milliseconds(200))) {
            for (std::size_t number : all()) {
                auto version = readVersion(number);
                isOlder = isOlder || (version && *version < acknowledged);
                if (++answers[number] == 1 || last[number] != version)
                    m_record.add("operator: read at " + m_machines[number].name + ": " + (version ? "version " + std::to_string(*version) : "no clear answer"));
                last[number] = version;
            }
            restartEnded();
        }
        for (std::size_t number : all())
            m_record.add("operator: " + std::to_string(answers[number]) + " reads at " + m_machines[number].name + ", the last: " + (last[number] ? "version " + std::to_string(*last[number]) : "no clear answer"));
        bool isShown = std::any_of(last.begin(), last.end(), [&](const auto& item) { return item.second && *item.second >= acknowledged; });
        m_record.add("acknowledged: version " + std::to_string(acknowledged) + "; shown at the end: " + (isShown ? "yes" : "no") + "; an older one was shown: " + (isOlder ? "yes" : "no"));
        bool holds = isShown && !isOlder;
        m_record.add(holds ? "the rule held" : "the rule is broken");
        return holds ? ruleHeld : ruleBroken;
    }

private:
    /** A valid configuration of the set size; each version changes the time-out of one route. */
    std::string configuration(unsigned version) const
    {
        std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
        for (unsigned i = 0; text.size() < m_options.bodyBytes - 600; ++i) {
            text += (i == 0 ? "" : ",");
            text += R"({"name":"r-)" + std::to_string(i) + R"(","host":"crews.example","pathPrefix":"/p)" + std::to_string(i) + R"(/","routeKind":"safe","timeoutMs":)"
                + std::to_string(i == 0 ? 1000 + version : 1200) + R"(,"targetLatencyMs":150,"priority":2,"service":"crew-api","maxAttempts":2,"sticky":false,"resumable":false,"gapTargetMs":250})";
        }
        text += R"(],"services":[{"name":"crew-api","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],)"
                R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000})";
        return text + std::string(m_options.bodyBytes - text.size() - 1, ' ') + "}";
    }

    Options m_options;
    Record& m_record;
    std::string m_prefix;
    PlatformList m_list;
    unsigned short m_controlPort;
    unsigned short m_internalPort;
    unsigned short m_metricsPort;
    std::vector<std::string> m_seeds;
    std::vector<CoreMachine> m_machines;
    std::set<std::size_t> m_removed;
    unsigned m_tries = 0;
};

//==============================================================================
/** Runs a case in a temporary folder: PROGRAM REPOSITORY FOLDER, where the record is written. The case gets the variable TROUBLE. */
template <typename Case>
int runInFolder(int argc, char** argv, std::size_t bodyBytes, bool hasProxies)
{
    if (argc != 3)
        return couldNotRun;
    const char* trouble = std::getenv("TROUBLE");
    char folder[] = "/tmp/hemlock-review-XXXXXX";
    if (!::mkdtemp(folder))
        return couldNotRun;
    Record record(std::filesystem::path(argv[2]) / "record.txt");
    int code = couldNotRun;
    {
        Coordinators core({ argv[1], folder, bodyBytes, hasProxies }, record);
        code = Case(core, trouble ? trouble : "1", record).run();
    }
    if (!std::getenv("KEEP"))
        std::filesystem::remove_all(folder);
    return code;
}

} // namespace review
