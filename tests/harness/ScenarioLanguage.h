#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockchute::harness {

/** A fault of a scenario's text, with its place. */
class ScenarioSyntaxError : public std::runtime_error {
public:
    ScenarioSyntaxError(const std::string& file, std::size_t line, std::size_t column, const std::string& what);
};

/** One step: the form it matched, its arguments by name, and where it stands. */
struct Statement {
    std::string form;
    std::map<std::string, std::string> arguments;
    std::string text;
    std::size_t line = 0;

    bool has(const std::string& name) const { return arguments.contains(name); }
    /** Precondition: the form has that argument. */
    const std::string& at(const std::string& name) const { return arguments.at(name); }
    std::string valueOr(const std::string& name, const std::string& fallback) const;
    int number(const std::string& name, int fallback) const;
};

//==============================================================================
/**
    A form of statement, such as `kill HOST:name ROLE:name` or `wait TIME:number ms`.

    Lower-case words stand for themselves, `[...]` may be left out, and LABEL:type takes a name, a
    number or a quoted text.
*/
using Forms = std::vector<std::string>;

/** Parses a scenario's text by the given forms; throws ScenarioSyntaxError. Thread safety: any thread. */
std::vector<Statement> parseScenario(std::string_view text, const std::string& file, const Forms&);

} // namespace hemlockchute::harness
