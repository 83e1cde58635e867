#pragma once

#include <string>

namespace hemlockchute {

//==============================================================================
/**
    Runs one daemon: reads the command line, starts the role's plug-in on a thread pool, and reloads
    or stops it on signals.

    @code
    int main(int argc, char** argv) { return hemlockchute::Kernel("router").run(argc, argv); }
    @endcode

    Exit codes: 0 after a clean stop, 1 when the role could not start, 2 for an invalid
    settings file or command line.

    @see RoleService
*/
class Kernel {
public:
    /** Precondition: a RoleService plug-in of that name is registered. */
    explicit Kernel(std::string roleName);

    /** Runs until stopped and returns the exit code. Thread safety: call once, from the main thread. */
    int run(int argc, const char* const* argv);

private:
    std::string m_roleName;
};

} // namespace hemlockchute
