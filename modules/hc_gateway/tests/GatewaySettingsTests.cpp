#include "TemporaryFolder.h"
#include "gateway/GatewaySettings.h"

#include <boost/test/unit_test.hpp>
#include <fstream>

using namespace hemlockchute;

namespace {

const std::string validSettings = R"([host]
name = "edge-1"
data_centre = "z1"
[cluster]
name = "c"
key = "a key of sixteen or more characters"
port = 9001
seeds = ["127.0.0.1:9000"]
[listen]
callers = "127.0.0.1:8080"
readiness = "127.0.0.1:8081"
[platform]
plugin = "users"
list = "127.0.0.1:9100"
)";

std::vector<std::string> faultsOf(const std::string& text)
{
    TemporaryFolder folder;
    std::filesystem::path path = folder.path / "settings.toml";
    std::ofstream(path) << text;
    std::vector<std::string> faults;
    GatewaySettings::read(path, faults);
    return faults;
}

std::string with(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

/** Checks that a text has exactly one fault, which names the file and the key. */
void checkFault(const std::string& text, const std::string& key)
{
    std::vector<std::string> faults = faultsOf(text);
    std::string all;
    for (const std::string& fault : faults)
        all += fault + "; ";
    BOOST_REQUIRE_MESSAGE(faults.size() == 1U, key << ": " << all);
    BOOST_TEST(faults.front().find(key) != std::string::npos, faults.front());
    BOOST_TEST(faults.front().find("settings.toml:") != std::string::npos, faults.front());
}

} // namespace

BOOST_AUTO_TEST_SUITE(GatewaySettingsTests)

BOOST_AUTO_TEST_CASE(validSettingsHaveNoFault)
{
    BOOST_TEST(faultsOf(validSettings).empty());
    // Generated files write whole numbers without a decimal point.
    BOOST_TEST(faultsOf(validSettings + "[retries]\nratio = 1\n[access]\nrevocation = \"5s\"\n").empty());
    BOOST_TEST(faultsOf(validSettings + "[hedging]\nratio = 0.1\nminimum_delay = \"5ms\"\n").empty());
    BOOST_TEST(faultsOf(validSettings + "[stop]\ngrace = \"3s\"\n[log]\nlines_per_second = 50\nmost_waiting = \"64KiB\"\n").empty());
    BOOST_TEST(faultsOf(validSettings + "[callers]\nrequest_memory = \"16MiB\"\n").empty());
}

BOOST_AUTO_TEST_CASE(missingMistypedOrUnknownKeyIsNamedInTheFault)
{
    checkFault(with(validSettings, "callers = \"127.0.0.1:8080\"\n", ""), "callers");
    checkFault(with(validSettings, "callers = \"127.0.0.1:8080\"", "callers = 8080"), "callers");
    checkFault(with(validSettings, "port = 9001\n", ""), "port: is missing");
    checkFault(with(validSettings, "port = 9001", "port = 70000"), "port: is 70000");
    checkFault(with(validSettings, "port = 9001", "port = \"9001\""), "port: must be a whole number");
    checkFault(with(validSettings, "127.0.0.1:9000", "core-1"), "seeds");
    checkFault(with(validSettings, "readiness", "readyness = \"127.0.0.1:1\"\nreadiness"), "readyness");
    checkFault(validSettings + "[stop]\ngrace = 8\n", "grace");
    checkFault(validSettings + "[retries]\nratio = 1.5\n", "ratio");
    checkFault(validSettings + "[hedging]\nratio = 0.11\n", "ratio");
    checkFault(validSettings + "[hedging]\nminimum_delay = 20\n", "minimum_delay");
    checkFault(validSettings + "[log]\nlines_per_second = 0\n", "lines_per_second");
    // A gateway with less could not read a body of the largest size.
    checkFault(validSettings + "[callers]\nrequest_memory = \"15MiB\"\n", "request_memory: must be at least 16MiB");
}

BOOST_AUTO_TEST_CASE(unreadableOrMalformedFileIsAFault)
{
    std::vector<std::string> faults;
    GatewaySettings::read("/nowhere/settings.toml", faults);
    BOOST_TEST(!faults.empty());
    BOOST_TEST(!faultsOf("[host\nname = ").empty());
}

BOOST_AUTO_TEST_SUITE_END()
