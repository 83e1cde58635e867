#include "Arguments.h"

#include <algorithm>
#include <charconv>
#include <docopt/docopt.h>
#include <map>

namespace hemlockchute {
namespace {

constexpr const char* usage = R"(Drives hemlockchute: documents, status, members, a keeper's files and what became of a request.

Usage:
  hemlockctl [options] submit FILE --base=VERSION [--submit-id=ID]
  hemlockctl [options] validate FILE
  hemlockctl [options] diff FILE
  hemlockctl [options] show [--section=TEAM]
  hemlockctl [options] status
  hemlockctl [options] drain SERVER --team=TEAM [--reason=TEXT]
  hemlockctl [options] undrain SERVER
  hemlockctl [options] members add KEEPER PEER
  hemlockctl [options] members remove KEEPER
  hemlockctl [options] members replace KEEPER PEER
  hemlockctl [options] runs show KEY
  hemlockctl [options] report burn [--html=FILE]
  hemlockctl [options] token hash
  hemlockctl [options] log verify FOLDER
  hemlockctl [options] explain ID [LOG]...
  hemlockctl (-h | --help)

Options:
  --settings=FILE    Settings [default: hemlockctl.toml].
  --json             Output for programs.
  --timeout=SECONDS  Longest time to wait for the keepers [default: 60].
  --base=VERSION     Version the document was made from, or "current".
  --submit-id=ID     Names the submission; give the same again to ask for a lost answer.
  --section=TEAM     Show only one team's section.
  --team=TEAM        Team whose section takes the drain plan.
  --html=FILE        Write the report as one page with plots.
  --reason=TEXT      Why the server is drained [default: drained with hemlockctl].
  -h --help          Show this text.

Exit codes: 0 done, 1 refused, 2 faulty usage, settings or document, 3 no keeper answers.
)";

constexpr const char* commandWords[] = { "submit", "validate", "diff", "show", "status", "drain", "undrain", "members", "add", "remove", "replace", "runs", "report", "burn", "token", "hash", "log", "verify", "explain" };
constexpr long longestTimeoutSeconds = 3600;

using Values = std::map<std::string, docopt::value>;

std::string textOf(const Values& values, const std::string& name)
{
    auto found = values.find(name);
    return found != values.end() && found->second.isString() ? found->second.asString() : std::string();
}

std::vector<std::string> listOf(const Values& values, const std::string& name)
{
    auto found = values.find(name);
    return found != values.end() && found->second.isStringList() ? found->second.asStringList() : std::vector<std::string>();
}

bool isSet(const Values& values, const std::string& name)
{
    auto found = values.find(name);
    return found != values.end() && found->second.isBool() && found->second.asBool();
}

std::string commandOf(const Values& values)
{
    std::string command;
    for (const char* word : commandWords) {
        if (isSet(values, word))
            command += (command.empty() ? "" : " ") + std::string(word);
    }
    // The list of words has "show" before "runs", so that "runs show" is assembled in reverse.
    return command == "show runs" ? "runs show" : command;
}

std::optional<Duration> parseTimeout(const std::string& text)
{
    long seconds = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    bool isWhole = error == std::errc() && end == text.data() + text.size();
    if (!isWhole || seconds < 1 || seconds > longestTimeoutSeconds)
        return {};
    return std::chrono::seconds(seconds);
}

} // namespace

tl::expected<Arguments, Arguments::EarlyExit> Arguments::parse(const std::vector<std::string>& words)
{
    Values values;
    try {
        values = docopt::docopt_parse(usage, words, true, false);
    } catch (const docopt::DocoptExitHelp&) {
        return tl::unexpected(EarlyExit { usage, true });
    } catch (const std::runtime_error& error) {
        return tl::unexpected(EarlyExit { std::string(error.what()) + "\n" + usage, false });
    }
    auto timeout = parseTimeout(textOf(values, "--timeout"));
    if (!timeout)
        return tl::unexpected(EarlyExit { "--timeout must be whole seconds from 1 to 3600\n", false });
    Arguments arguments;
    arguments.command = commandOf(values);
    arguments.settingsFile = textOf(values, "--settings");
    arguments.isJson = isSet(values, "--json");
    arguments.timeout = *timeout;
    arguments.file = textOf(values, "FILE");
    arguments.base = textOf(values, "--base");
    arguments.submitId = textOf(values, "--submit-id");
    arguments.team = textOf(values, arguments.command == "show" ? "--section" : "--team");
    arguments.reason = textOf(values, "--reason");
    arguments.server = textOf(values, "SERVER");
    arguments.keeper = textOf(values, "KEEPER");
    arguments.peer = textOf(values, "PEER");
    arguments.key = textOf(values, "KEY");
    arguments.folder = textOf(values, "FOLDER");
    arguments.request = textOf(values, "ID");
    arguments.logs = listOf(values, "LOG");
    arguments.htmlFile = textOf(values, "--html");
    return arguments;
}

} // namespace hemlockchute
