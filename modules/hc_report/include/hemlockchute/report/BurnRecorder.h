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

/** What a request's outcome is counted under. */
struct BurnKey {
    RankName rank;
    ModelName model;
    DataCentreName dataCentre;

    friend auto operator<=>(const BurnKey&, const BurnKey&) = default;
};

/** Requests, and those of them outside their targets. */
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
    Tallies by key over the last three days: by minute for the last six hours, by hour before.

    Those of several hosts merge. Thread safety: as std::map.

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
    /** Drops what is too old to matter. */
    void prune(WallTime now);

    //==============================================================================
    /** Tally of the last `length`, in whole slots that include the present one. */
    BurnTally tally(const BurnKey&, std::chrono::minutes length, WallTime now) const;
    /** Tally of the minutes from one to before another. Precondition: both lie in the last six hours. */
    BurnTally between(const BurnKey&, Minutes from, Minutes to) const;
    /** Keys with any tally. */
    std::vector<BurnKey> keys() const;

    /** JSON, for another process. */
    std::string encode() const;
    /** Reads what encode() wrote. */
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
/** Counts outcomes in one process, in shards each under its own lock. Thread safety: any thread. @see BurnCounts */
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
