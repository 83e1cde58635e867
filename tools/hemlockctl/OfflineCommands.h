#pragma once

#include "Arguments.h"
#include "Console.h"

namespace hemlockchute {

//==============================================================================
/**
    The commands of hemlockctl that work without a keeper.

    Thread safety: one thread at a time.

    @see ControlCommands
*/
class OfflineCommands {
public:
    OfflineCommands(const Arguments&, Console&);

    bool supports(std::string_view command) const;
    /** Runs the command. Precondition: supports() is true for the command. */
    ExitCode run();

private:
    struct Entry {
        std::string_view command;
        ExitCode (OfflineCommands::*run)();
    };

    static const Entry entries[];

    ExitCode validate();
    ExitCode hashToken();
    ExitCode verifyLog();
    ExitCode explain();

    const Arguments& m_arguments;
    Console& m_console;
};

} // namespace hemlockchute
