#pragma once

#include "hemlockchute/document/DocumentParser.h"

#include <istream>
#include <optional>
#include <ostream>

namespace hemlockchute {

/** Exit codes of hemlockctl. */
enum class ExitCode {
    Done = 0,
    /** The keepers refused the request, or a check failed. */
    Refused = 1,
    /** The command line, the settings or the document is invalid. */
    Faulty = 2,
    /** No keeper answered. */
    Unreachable = 3
};

/** Standard streams of a command; tests replace them. */
struct Console {
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
};

/** Runs hemlockctl with the words after the program's name, and returns its exit code. */
int runHemlockctl(const std::vector<std::string>& words, Console);

/** Reads a whole file; returns nothing if it cannot be read. */
std::optional<std::string> readWholeFile(const std::string& path);
/** Prints the faults of a document as text or as JSON. */
void printFaults(std::ostream&, const std::string& file, const DocumentFaults&, bool isJson);

} // namespace hemlockchute
