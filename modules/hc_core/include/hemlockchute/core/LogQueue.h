#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/EventTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hemlockchute {

//==============================================================================
/**
    Holds pending log lines; limits their rate and the bytes that wait.

    The limits take effect when a host logs more events than it can write, or when the reader of the
    log stops. Part of both limits is reserved for lines that explain failures. Dropped lines are
    counted by event and reported in one summary line. Thread safety: one thread at a time.

    @see LogWriter
*/
class LogQueue {
public:
    /** Bounds on what is written. */
    struct Options {
        /** Sustained rate in lines per second; also the size of a burst. */
        unsigned linesPerSecond = 1000;
        /** Limit in bytes on the lines that wait for a slow reader. */
        std::size_t maximumPendingBytes = 1 << 20;
    };

    explicit LogQueue(Options);

    /** True when the rate limit admits a line of this event; counts the line as dropped otherwise. */
    bool admit(EventId, Instant now);
    /** Queues an admitted line, given with its line end; drops and counts it when the queue is full. */
    void push(EventId, const std::string& line);
    /** Removes and returns all pending lines. */
    std::string take();
    /** Sets the number of bytes that were taken and are not written yet; they count against the limit. */
    void setUnwritten(std::size_t bytes) { m_unwritten = bytes; }
    /** True when a line that explains a failure is pending. */
    bool hasFailure() const { return m_hasFailure; }
    /** True when no lines are pending and no dropped lines are left to report. */
    bool isEmpty() const { return m_pending.empty() && m_dropped.empty(); }

    /** The lines dropped since the last call, by event; nothing when none were, or before the summary interval has passed. */
    std::optional<std::map<EventId, std::uint64_t>> takeDropped(Instant now);

private:
    void refill(Instant now);

    Options m_options;
    double m_tokens;
    std::optional<Instant> m_lastRefill;
    std::string m_pending;
    bool m_hasFailure = false;
    std::size_t m_unwritten = 0;
    std::map<EventId, std::uint64_t> m_dropped;
    std::optional<Instant> m_lastSummary;
};

} // namespace hemlockchute
