#include "Process.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace hemlockchute::harness {
namespace {

constexpr int killedBySignalBase = 128;
constexpr auto pollInterval = std::chrono::milliseconds(5);

/** Redirects standard output and standard error of a new process to a file. */
class OutputRedirection {
public:
    explicit OutputRedirection(const std::filesystem::path& file)
    {
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        // A socket that is inherited stays open when it is closed here.
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    }
    ~OutputRedirection() { posix_spawn_file_actions_destroy(&actions); }
    OutputRedirection(const OutputRedirection&) = delete;
    OutputRedirection& operator=(const OutputRedirection&) = delete;

    posix_spawn_file_actions_t actions {};
};

} // namespace

Process::Process(const std::filesystem::path& program, const std::vector<std::string>& arguments, const std::filesystem::path& output)
{
    std::vector<std::string> words { program.string() };
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(words.size() + 1);
    for (std::string& word : words)
        pointers.push_back(word.data());
    pointers.push_back(nullptr);
    OutputRedirection redirection(output);
    if (::posix_spawn(&m_pid, program.c_str(), &redirection.actions, nullptr, pointers.data(), environ) != 0)
        throw std::runtime_error("cannot start " + program.string());
}

Process::~Process()
{
    if (!exitCode()) {
        signal(SIGKILL);
        signal(SIGCONT);
        ::waitpid(m_pid, nullptr, 0);
    }
}

void Process::signal(int number)
{
    if (!m_exitCode)
        ::kill(m_pid, number);
}

std::optional<int> Process::exitCode()
{
    int status = 0;
    if (m_exitCode || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return m_exitCode;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : killedBySignalBase + WTERMSIG(status);
    return m_exitCode;
}

std::optional<int> Process::waitForExit(std::chrono::milliseconds timeout)
{
    auto limit = std::chrono::steady_clock::now() + timeout;
    while (!exitCode() && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(pollInterval);
    return exitCode();
}

} // namespace hemlockchute::harness
