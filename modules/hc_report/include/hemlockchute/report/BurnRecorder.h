#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Errors.h"
#include "hemlockchute/core/Identifiers.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockchute {

enum class ReportErrorCode {
    Malformed
};

/** The labels under which a request's outcome is counted. */
struct BurnKey {
    RankName rank;
    ModelName model;
    DataCentreName dataCentre;

    friend auto operator<=>(const BurnKey&, const BurnKey&) = default;
};

/** Number of requests, and of those that missed their targets. */
struct BurnTally {
    std::uint64_t total = 0;
    std::uint64_t bad = 0;

    BurnTally& operator+=(const BurnTally& other)
    {
        total += other.total;
        bad += other.bad;
        return *this;
    }
    friend bool operator==(const BurnTally&, const BurnTally&) = default;
};

//==============================================================================
/**
    Tallies by key over the last three days: per minute for the last six hours, per hour before that.

    Tallies of several hosts can be merged. Thread safety: as std::map.

    @see BurnRecorder, makeBurnReport
*/
class BurnCounts {
public:
    using Minutes = std::chrono::time_point<std::chrono::system_clock, std::chrono::minutes>;
    using Hours = std::chrono::time_point<std::chrono::system_clock, std::chrono::hours>;

    /** Counts one request. */
    void note(const BurnKey&, bool isWithinTarget, WallTime now);
    /** Adds another host's tallies. */
    void merge(const BurnCounts&);
    /** Removes slots that lie outside every window. */
    void prune(WallTime now);

    //==============================================================================
    /** Tally of the last `length`, in whole slots including the current one. */
    BurnTally tally(const BurnKey&, std::chrono::minutes length, WallTime now) const;
    /** Tally of the minutes in [from, to). Precondition: both lie in the last six hours. */
    BurnTally between(const BurnKey&, Minutes from, Minutes to) const;
    /** All keys that have a tally. */
    std::vector<BurnKey> keys() const;

    /** Encodes as JSON, for another process. */
    std::string encode() const;
    /** Decodes the output of encode(). */
    static Result<BurnCounts, ReportErrorCode> decode(std::string_view);

    friend bool operator==(const BurnCounts&, const BurnCounts&) = default;

private:
    struct Slots {
        std::map<Minutes, BurnTally> minutes;
        std::map<Hours, BurnTally> hours;

        friend bool operator==(const Slots&, const Slots&) = default;
    };

    std::map<BurnKey, Slots> m_slots;
};

//==============================================================================
/** Counts outcomes in one process, in shards that each have their own lock. Thread safety: any thread. @see BurnCounts */
class BurnRecorder {
public:
    void note(const BurnKey&, bool isWithinTarget, WallTime now);
    BurnCounts counts(WallTime now) const;

private:
    static constexpr std::size_t shardCount = 8;

    struct Shard {
        mutable std::mutex lock;
        BurnCounts counts;
    };

    std::array<Shard, shardCount> m_shards;
};

} // namespace hemlockchute
