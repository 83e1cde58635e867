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
    Decides which log lines are written: bounded in lines a second and in bytes that wait.

    Load pattern: more decisions than a host can write down, or a reader of the log that stops. Lines
    of successes then leave part of both bounds to lines that explain failures. What is left out is
    counted by event, for one summary line. Thread safety: one thread at a time.

    @see LogWriter
*/
class LogQueue {
public:
    /** Bounds on what is written. */
    struct Options {
        /** Lines a second over a longer time; as many again may come in one burst. */
        unsigned linesPerSecond = 1000;
        /** Bytes that may wait for a slow reader. */
        std::size_t maximumPendingBytes = 1 << 20;
    };

    explicit LogQueue(Options);

    /** True when a line of this event may be written now; counts it as left out otherwise. */
    bool admit(EventId, Instant now);
    /** Adds a line that was admitted, with its line end; counts it as left out when too much waits. */
    void push(EventId, const std::string& line);
    /** Takes everything that waits. */
    std::string take();
    /** Counts bytes that were taken and not written yet, so that they go on filling the queue. */
    void setUnwritten(std::size_t bytes) { m_unwritten = bytes; }
    /** True when a line that explains a failure waits. */
    bool hasFailure() const { return m_hasFailure; }
    /** True when there is nothing to write, and nothing to say of lines left out. */
    bool isEmpty() const { return m_pending.empty() && m_dropped.empty(); }

    /** The lines left out since the last call, by event; nothing when it is not yet time, or none were. */
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
