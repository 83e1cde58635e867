#include "hemlockchute/core/EventTable.h"

#include <iostream>

using namespace hemlockchute;

/** Generates docs/EVENTS.md from the event table. */
int main()
{
    constexpr const char* severities[] = { "debug", "info", "warning", "error" };
    std::cout << "# Events\n\nEvery log record carries one of these numbers as `event`. This page is made by\n"
                 "`build/debug/bin/hemlock-events > docs/EVENTS.md`; a test compares it with the table in code.\n\n"
                 "| event | severity | name | meaning |\n|---|---|---|---|\n";
    for (const EventDefinition& row : eventTable()) {
        std::cout << "| " << static_cast<unsigned>(row.id) << " | " << severities[static_cast<std::size_t>(row.severity)]
                  << " | " << row.name << " | " << row.meaning << " |\n";
    }
    return 0;
}
