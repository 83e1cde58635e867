#include "Console.h"

#include "ControlCommands.h"
#include "OfflineCommands.h"

#include <boost/json.hpp>
#include <fstream>
#include <sstream>

namespace hemlockchute {
namespace {

ExitCode runCommand(const Arguments& arguments, Console& console)
{
    OfflineCommands offline(arguments, console);
    if (offline.supports(arguments.command))
        return offline.run();
    auto settings = ControlSettings::load(arguments.settingsFile);
    if (!settings) {
        for (const std::string& fault : settings.error())
            console.err << fault << '\n';
        return ExitCode::Faulty;
    }
    return ControlCommands(arguments, *settings, console).run();
}

} // namespace

int runHemlockctl(const std::vector<std::string>& words, Console console)
{
    auto arguments = Arguments::parse(words);
    if (arguments)
        return static_cast<int>(runCommand(*arguments, console));
    const Arguments::EarlyExit& earlyExit = arguments.error();
    (earlyExit.isHelp ? console.out : console.err) << earlyExit.text;
    return static_cast<int>(earlyExit.isHelp ? ExitCode::Done : ExitCode::Faulty);
}

std::optional<std::string> readWholeFile(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return {};
    std::ostringstream text;
    text << stream.rdbuf();
    return stream.bad() ? std::nullopt : std::optional(text.str());
}

void printFaults(std::ostream& stream, const std::string& file, const DocumentFaults& faults, bool isJson)
{
    boost::json::array array;
    for (const DocumentFault& fault : faults) {
        if (!isJson)
            stream << file << ": " << fault.text() << '\n';
        array.push_back(boost::json::object { { "line", fault.line }, { "team", fault.team.text() }, { "what", fault.message } });
    }
    if (isJson)
        stream << boost::json::serialize(boost::json::object { { "faults", array } }) << '\n';
}

} // namespace hemlockchute
