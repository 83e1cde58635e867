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

/** Lines are batched for this time, so that a host under load is not woken for each line. Failures are written at once, so that a process that is killed has written them. */
constexpr Duration batchInterval = 20ms;
/** Bounds one wait for the target, so that the thread notices a shutdown. */
constexpr Duration writeTimeout = 100ms;
/** Longest time for which a shutdown waits for the target. */
constexpr Duration shutdownTimeout = 500ms;
constexpr int filePermissions = 0644;

int milliseconds(Duration duration)
{
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/** The part that a writable pipe accepts without blocking, which ends at a line end if there is one. */
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
        std::cerr << "logging to standard error: cannot open " << options.file.string() << ": " << std::generic_category().message(errno) << '\n';
        return;
    }
    m_descriptor = opened;
    m_ownsDescriptor = true;
}

LogWriter::Target::~Target()
{
    if (m_ownsDescriptor)
        close(m_descriptor);
}

std::size_t LogWriter::Target::write(std::string_view text, Duration timeout)
{
    pollfd ready { m_descriptor, POLLOUT, 0 };
    if (poll(&ready, 1, milliseconds(timeout)) <= 0 || !(ready.revents & POLLOUT))
        return 0;
    std::string_view part = firstPart(text);
    ssize_t written = ::write(m_descriptor, part.data(), part.size());
    if (written > 0)
        return static_cast<std::size_t>(written);
    // The disk is full or the reader has closed the pipe: lines stay pending, and those beyond the bound are dropped and counted.
    std::this_thread::sleep_for(timeout);
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
        if (std::exchange(m_isStopping, true))
            return;
        m_shutdownDeadline = currentTime() + shutdownTimeout;
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
    bool hadFailure = m_queue.hasFailure();
    m_queue.push(id, line);
    if (wasEmpty || hadFailure != m_queue.hasFailure())
        m_changed.notify_one();
}

bool LogWriter::isShutdownOverdue()
{
    std::lock_guard guard(m_lock);
    return m_isStopping && currentTime() >= m_shutdownDeadline;
}

void LogWriter::setUnwritten(std::size_t bytes)
{
    std::lock_guard guard(m_lock);
    m_queue.setUnwritten(bytes);
}

std::optional<std::string> LogWriter::nextLines()
{
    std::unique_lock guard(m_lock);
    m_changed.wait(guard, [this] { return m_isStopping || !m_queue.isEmpty(); });
    if (!m_isStopping)
        m_changed.wait_for(guard, batchInterval, [this] { return m_isStopping || m_queue.hasFailure(); });
    if (m_isStopping && m_queue.isEmpty())
        return std::nullopt;
    std::string lines = m_queue.take();
    if (auto dropped = m_queue.takeDropped(m_isStopping ? Instant::max() : currentTime()))
        lines += m_summary(*dropped) + '\n';
    return lines;
}

void LogWriter::run()
{
    for (auto lines = nextLines(); lines; lines = nextLines()) {
        std::string_view rest = *lines;
        while (!rest.empty() && !isShutdownOverdue()) {
            setUnwritten(rest.size());
            rest.remove_prefix(m_target.write(rest, writeTimeout));
        }
        setUnwritten(0);
    }
}

} // namespace hemlockchute
