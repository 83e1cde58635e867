#include "core/LogWriter.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <fcntl.h>
#include <iostream>
#include <poll.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace hemlockchute {
namespace {

/** Lines are gathered for so long and written together, so that a host under load is not woken for each; those that explain failures are not gathered, so that a process that is killed has written them. */
constexpr Duration gathering = 20ms;
/** A target that takes nothing is tried again after this, to see whether the process ends. */
constexpr Duration targetPatience = 100ms;
/** A process that ends waits at most so long for the target of its log. */
constexpr Duration endPatience = 500ms;
constexpr int filePermissions = 0644;

int milliseconds(Duration duration)
{
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/** As much as a pipe that is ready takes without blocking, up to the end of a line if there is one. */
std::string_view firstPart(std::string_view text)
{
    if (text.size() <= PIPE_BUF)
        return text;
    std::size_t lineEnd = text.rfind('\n', PIPE_BUF - 1);
    return text.substr(0, lineEnd == std::string_view::npos ? PIPE_BUF : lineEnd + 1);
}

} // namespace

//==============================================================================
LogWriter::Target::Target(const LogOptions& options)
    : m_descriptor(options.file == "-" ? STDOUT_FILENO : STDERR_FILENO)
{
    if (options.file.empty() || options.file == "-")
        return;
    int opened = open(options.file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, filePermissions);
    if (opened < 0) {
        std::cerr << "the log goes to standard error, since " << options.file.string() << " cannot be opened: " << std::generic_category().message(errno) << '\n';
        return;
    }
    m_descriptor = opened;
    m_isOwn = true;
}

LogWriter::Target::~Target()
{
    if (m_isOwn)
        close(m_descriptor);
}

std::size_t LogWriter::Target::write(std::string_view text, Duration patience)
{
    pollfd ready { m_descriptor, POLLOUT, 0 };
    if (poll(&ready, 1, milliseconds(patience)) <= 0 || !(ready.revents & POLLOUT))
        return 0;
    std::string_view part = firstPart(text);
    ssize_t written = ::write(m_descriptor, part.data(), part.size());
    if (written > 0)
        return static_cast<std::size_t>(written);
    // A full disk or a reader that is gone: the lines wait, and what does not fit is counted.
    std::this_thread::sleep_for(patience);
    return 0;
}

//==============================================================================
LogWriter::LogWriter(const LogOptions& options, Summary summary)
    : m_target(options)
    , m_summary(std::move(summary))
    , m_queue(options.bounds)
    , m_thread([this] { run(); })
{
}

LogWriter::~LogWriter()
{
    finish();
}

void LogWriter::finish()
{
    {
        std::lock_guard guard(m_lock);
        if (std::exchange(m_isEnding, true))
            return;
        m_end = currentTime() + endPatience;
    }
    m_changed.notify_all();
    m_thread.join();
}

bool LogWriter::admit(EventId id)
{
    std::lock_guard guard(m_lock);
    return m_queue.admit(id, currentTime());
}

void LogWriter::write(EventId id, std::string line)
{
    line += '\n';
    std::lock_guard guard(m_lock);
    bool wasEmpty = m_queue.isEmpty();
    bool heldFailure = m_queue.holdsFailure();
    m_queue.push(id, line);
    if (wasEmpty || heldFailure != m_queue.holdsFailure())
        m_changed.notify_one();
}

bool LogWriter::isPatienceOver()
{
    std::lock_guard guard(m_lock);
    return m_isEnding && currentTime() >= m_end;
}

void LogWriter::noteUnwritten(std::size_t bytes)
{
    std::lock_guard guard(m_lock);
    m_queue.setUnwritten(bytes);
}

std::optional<std::string> LogWriter::nextLines()
{
    std::unique_lock guard(m_lock);
    m_changed.wait(guard, [this] { return m_isEnding || !m_queue.isEmpty(); });
    if (!m_isEnding)
        m_changed.wait_for(guard, gathering, [this] { return m_isEnding || m_queue.holdsFailure(); });
    if (m_isEnding && m_queue.isEmpty())
        return std::nullopt;
    std::string lines = m_queue.take();
    if (auto leftOut = m_queue.takeLeftOut(m_isEnding ? Instant::max() : currentTime()))
        lines += m_summary(*leftOut) + '\n';
    return lines;
}

void LogWriter::run()
{
    for (auto lines = nextLines(); lines; lines = nextLines()) {
        std::string_view rest = *lines;
        while (!rest.empty() && !isPatienceOver()) {
            noteUnwritten(rest.size());
            rest.remove_prefix(m_target.write(rest, targetPatience));
        }
        noteUnwritten(0);
    }
}

} // namespace hemlockchute
