#pragma once

#include "hemlockchute/core/Clock.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    The parsed command line of hemlockctl.

    @see ControlCommands
*/
struct Arguments {
    /** A text to print instead of running a command: help or a usage error. */
    struct EarlyExit {
        std::string text;
        /** True if help was requested, which exits with 0. */
        bool isHelp = false;
    };

    /** The command words, for example "submit" or "members add". */
    std::string command;
    std::string settingsFile;
    bool isJson = false;
    Duration timeout = 60s;

    std::string file;
    std::string base;
    std::string submitId;
    std::string team;
    std::string reason;
    std::string server;
    std::string keeper;
    std::string peer;
    std::string key;
    std::string folder;
    std::string htmlFile;
    /** Id of the request that `explain` looks for. */
    std::string request;
    /** Log files for `explain`; if empty, it reads standard input. */
    std::vector<std::string> logs;

    /** Parses the words after the program's name. Thread safety: any thread. */
    static tl::expected<Arguments, EarlyExit> parse(const std::vector<std::string>& words);
};

} // namespace hemlockchute
