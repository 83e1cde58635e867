#include "ScenarioRunner.h"

#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace hemlockchute::harness;

namespace {

constexpr const char* usage = R"(Runs one scenario against the system's real processes.

Usage:
  hemlock-scenario --programs=FOLDER --work=FOLDER [--narrate] FILE

Options:
  --programs=FOLDER  Where the daemons are.
  --work=FOLDER      Takes settings, data and logs; emptied first, kept afterwards.
  --narrate          Print each step and what came of it.
)";

std::string readWhole(const std::filesystem::path& path)
{
    std::ifstream stream(path);
    if (!stream)
        throw std::runtime_error(path.string() + ": cannot be read");
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    std::filesystem::path file = arguments["FILE"].asString();
    std::filesystem::path work = arguments["--work"].asString();
    try {
        auto statements = parseScenario(readWhole(file), file.filename().string(), ScenarioRunner::forms());
        Deployment deployment(arguments["--programs"].asString(), std::filesystem::absolute(work));
        ScenarioRunner(deployment, std::filesystem::absolute(file).parent_path() / "documents", arguments["--narrate"].asBool()).run(statements);
    } catch (const std::exception& error) {
        std::cout << file.filename().string() << ": FAILED\n    " << error.what() << "\n    the daemons' logs are in " << work.string() << std::endl;
        return 1;
    }
    std::cout << file.filename().string() << ": passed" << std::endl;
    return 0;
}
