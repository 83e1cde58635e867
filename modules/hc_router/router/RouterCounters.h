#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace hemlockchute {

//==============================================================================
/**
    Counters that a router publishes as metrics.

    Thread safety: every member may be used from any thread.
*/
struct RouterCounters {
    std::atomic<std::uint64_t> requests { 0 };
    std::atomic<std::uint64_t> answered { 0 };
    std::atomic<std::uint64_t> refusedNotRun { 0 };
    std::atomic<std::uint64_t> refusedUnknown { 0 };
    std::atomic<std::uint64_t> callersDisconnected { 0 };
    std::atomic<std::uint64_t> attempts { 0 };
    std::atomic<std::uint64_t> attemptsFailed { 0 };
    std::atomic<std::uint64_t> streamsResumed { 0 };
    std::atomic<std::uint64_t> runsRecorded { 0 };

    /** The counters in the Prometheus text format. */
    std::string text() const;
};

} // namespace hemlockchute
