#pragma once

#include "hemlockchute/core/Clock.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    The command line of hemlockctl.

    @see ControlCommands
*/
struct Arguments {
    /** Why there is nothing to run. */
    struct EarlyExit {
        std::string text;
        /** True when help was asked for, which is no mistake. */
        bool isHelp = false;
    };

    /** "submit", "members add" and so on. */
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
    /** The id of a request. */
    std::string request;
    /** Files of log lines; none: standard input. */
    std::vector<std::string> logs;

    /** Reads the words after the program's name. Thread safety: any thread. */
    static tl::expected<Arguments, EarlyExit> parse(const std::vector<std::string>& words);
};

} // namespace hemlockchute
