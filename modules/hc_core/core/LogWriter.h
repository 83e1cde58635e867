#pragma once

#include "hemlockchute/core/EventLog.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace hemlockchute {

//==============================================================================
/**
    Writes log lines on a thread of its own, so that no caller ever waits for the target of the log.

    A target that takes nothing costs lines, which are counted. Thread safety: any thread.

    @see LogQueue
*/
class LogWriter {
public:
    /** Renders the summary of lines left out, without a line end. */
    using Summary = std::function<std::string(const std::map<EventId, std::uint64_t>&)>;

    /** Opens the target of the options; standard error, with a line that says so, when it cannot be opened. */
    LogWriter(const LogOptions&, Summary);
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    /** True when a line of this event may be written now. */
    bool admit(EventId);
    /** Adds a line that was admitted, without its line end. */
    void write(EventId, std::string line);
    /** Writes what waits, but gives up soon when the target takes nothing; lines that come later are not written. Once only. */
    void finish();

private:
    /** The descriptor that lines go to; closed at the end if it was opened here. */
    class Target {
    public:
        explicit Target(const LogOptions&);
        ~Target();
        Target(const Target&) = delete;
        Target& operator=(const Target&) = delete;

        /** Writes a part of the text that cannot block; gives how much, 0 when nothing could be written within the patience. */
        std::size_t write(std::string_view, Duration timeout);

    private:
        int m_descriptor;
        bool m_ownsDescriptor = false;
    };

    void run();
    /** Waits until there may be lines, and takes them; nothing when the writer ends and none are left. */
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
