#pragma once

#include "hemlockchute/document/DocumentParser.h"

#include <istream>
#include <optional>
#include <ostream>

namespace hemlockchute {

/** What the program's exit code says. */
enum class ExitCode {
    Done = 0,
    /** The keepers or the check said no. */
    Refused = 1,
    /** The command line, the settings or the document is faulty. */
    Faulty = 2,
    /** No keeper answered. */
    Unreachable = 3
};

/** The streams that a command reads and writes. */
struct Console {
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
};

/** Runs hemlockctl with the words after the program's name, and returns its exit code. */
int runHemlockctl(const std::vector<std::string>& words, Console);

/** A whole file, or nothing when it cannot be read. */
std::optional<std::string> readWholeFile(const std::string& path);
/** Lists faults of a document, for people or as JSON. */
void printFaults(std::ostream&, const std::string& file, const DocumentFaults&, bool isJson);

} // namespace hemlockchute
