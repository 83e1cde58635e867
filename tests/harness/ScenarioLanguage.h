#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockchute::harness {

/** A syntax error in a scenario, with file, line and column. */
class ScenarioSyntaxError : public std::runtime_error {
public:
    ScenarioSyntaxError(const std::string& file, std::size_t line, std::size_t column, const std::string& what);
};

/** One parsed statement: the form that it matches, its arguments by name, its text and line number. */
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
    The statement forms of the language, such as `kill HOST:name ROLE:name` or `wait TIME:number ms`.

    Lower-case words are keywords, `[...]` is optional, and LABEL:type is an argument, where type is
    `name`, `number` or `text` (a quoted text).
*/
using Forms = std::vector<std::string>;

/** Parses the text of a scenario; throws ScenarioSyntaxError. Thread safety: any thread. */
std::vector<Statement> parseScenario(std::string_view text, const std::string& file, const Forms&);

} // namespace hemlockchute::harness
