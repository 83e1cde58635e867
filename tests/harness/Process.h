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
    A child process, killed by the destructor. Thread safety: one thread at a time.
*/
class Process {
public:
    /** Starts a program and appends its output to a file. Throws std::runtime_error if it cannot be started. */
    Process(const std::filesystem::path& program, const std::vector<std::string>& arguments, const std::filesystem::path& output);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number);
    pid_t id() const { return m_pid; }
    /** Returns the exit code, 128 + the signal number if the process was killed, or nothing while it runs. */
    std::optional<int> exitCode();
    /** Waits for the process to exit and returns exitCode(), which is empty after a time-out. */
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);

private:
    pid_t m_pid = 0;
    std::optional<int> m_exitCode;
};

} // namespace hemlockchute::harness
