#pragma once

#include "hemlockchute/core/EventLog.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace hemlockchute {

//==============================================================================
/**
    Writes log lines on a separate thread, so that callers never block on the target of the log.

    Lines that a blocked target cannot take are dropped and counted. Thread safety: any thread.

    @see LogQueue
*/
class LogWriter {
public:
    /** Formats the summary of dropped lines, without a line end. */
    using Summary = std::function<std::string(const std::map<EventId, std::uint64_t>&)>;

    /** Opens the target of the options. If that fails, writes a message to standard error and logs there. */
    LogWriter(const LogOptions&, Summary);
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    /** True when the rate limit admits a line of this event now. */
    bool admit(EventId);
    /** Queues an admitted line, given without its line end. */
    void write(EventId, std::string line);
    /** Writes the pending lines, at most until the shutdown time-out, and stops the thread. Later lines are not written; later calls have no effect. */
    void finish();

private:
    /** The file descriptor that lines are written to; closed by the destructor if it was opened here. */
    class Target {
    public:
        explicit Target(const LogOptions&);
        ~Target();
        Target(const Target&) = delete;
        Target& operator=(const Target&) = delete;

        /** Writes as much of the text as does not block; returns the number of bytes, 0 when none could be written within the time-out. */
        std::size_t write(std::string_view, Duration timeout);

    private:
        int m_descriptor;
        bool m_ownsDescriptor = false;
    };

    void run();
    /** Waits for lines and takes them; returns nothing when the writer is stopping and none are left. */
    std::optional<std::string> nextLines();
    bool isShutdownOverdue();
    void setUnwritten(std::size_t);

    Target m_target;
    Summary m_summary;
    std::mutex m_lock;
    std::condition_variable m_changed;
    LogQueue m_queue;
    bool m_isStopping = false;
    Instant m_shutdownDeadline {};
    std::thread m_thread;
};

} // namespace hemlockchute
