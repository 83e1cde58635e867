#pragma once

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace hemlockchute::harness {

//==============================================================================
/**
    One process that a scenario started; killed when destroyed. Thread safety: one thread at a time.
*/
class Process {
public:
    /** Starts a program; its output is appended to the file. Throws when it cannot be started. */
    Process(const std::filesystem::path& program, const std::vector<std::string>& arguments, const std::filesystem::path& output);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number);
    pid_t id() const { return m_pid; }
    /** The exit code once it has ended, 128 + the signal if it was killed; nothing while it runs. */
    std::optional<int> exitCode();
    /** Waits for the end, at most for so long. */
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);

private:
    pid_t m_pid = 0;
    std::optional<int> m_exitCode;
};

} // namespace hemlockchute::harness
