#include "hemlockchute/report/BurnRecorder.h"

#include <boost/json.hpp>
#include <functional>

namespace hemlockchute {
namespace {

namespace json = boost::json;

constexpr std::chrono::hours minuteSlotRetention { 7 };
constexpr std::chrono::hours hourSlotRetention { 73 };
constexpr std::chrono::hours longestMinuteWindow { 6 };

template <typename Slots>
json::array encodeSlots(const Slots& slots)
{
    json::array rows;
    for (const auto& [start, tally] : slots)
        rows.push_back(json::array { start.time_since_epoch().count(), tally.total, tally.bad });
    return rows;
}

template <typename Slots>
void decodeSlots(Slots& slots, const json::value& rows)
{
    using Start = typename Slots::key_type;
    for (const json::value& row : rows.as_array()) {
        const json::array& cells = row.as_array();
        Start start { typename Start::duration(cells.at(0).to_number<std::int64_t>()) };
        slots[start] += BurnTally { cells.at(1).to_number<std::uint64_t>(), cells.at(2).to_number<std::uint64_t>() };
    }
}

template <typename Slots, typename Start>
BurnTally sum(const Slots& slots, Start from, Start to)
{
    BurnTally result;
    for (auto slot = slots.lower_bound(from); slot != slots.end() && slot->first < to; ++slot)
        result += slot->second;
    return result;
}

std::string textOf(const json::object& object, const char* key)
{
    return std::string(object.at(key).as_string());
}

} // namespace

void BurnCounts::note(const BurnKey& key, bool isWithinTarget, WallTime now)
{
    BurnTally one { 1, isWithinTarget ? 0U : 1U };
    Slots& slots = m_slots[key];
    slots.minutes[std::chrono::floor<std::chrono::minutes>(now)] += one;
    slots.hours[std::chrono::floor<std::chrono::hours>(now)] += one;
}

void BurnCounts::merge(const BurnCounts& other)
{
    for (const auto& [key, slots] : other.m_slots) {
        Slots& own = m_slots[key];
        for (const auto& [start, tally] : slots.minutes)
            own.minutes[start] += tally;
        for (const auto& [start, tally] : slots.hours)
            own.hours[start] += tally;
    }
}

void BurnCounts::prune(WallTime now)
{
    for (auto entry = m_slots.begin(); entry != m_slots.end();) {
        Slots& slots = entry->second;
        slots.minutes.erase(slots.minutes.begin(), slots.minutes.lower_bound(std::chrono::floor<std::chrono::minutes>(now - minuteSlotRetention)));
        slots.hours.erase(slots.hours.begin(), slots.hours.lower_bound(std::chrono::floor<std::chrono::hours>(now - hourSlotRetention)));
        entry = slots.hours.empty() ? m_slots.erase(entry) : std::next(entry);
    }
}

//==============================================================================
BurnTally BurnCounts::tally(const BurnKey& key, std::chrono::minutes length, WallTime now) const
{
    auto found = m_slots.find(key);
    if (found == m_slots.end())
        return {};
    if (length <= longestMinuteWindow) {
        Minutes end = std::chrono::floor<std::chrono::minutes>(now) + std::chrono::minutes(1);
        return sum(found->second.minutes, end - length, end);
    }
    Hours end = std::chrono::floor<std::chrono::hours>(now) + std::chrono::hours(1);
    return sum(found->second.hours, end - std::chrono::ceil<std::chrono::hours>(length), end);
}

BurnTally BurnCounts::between(const BurnKey& key, Minutes from, Minutes to) const
{
    auto found = m_slots.find(key);
    return found == m_slots.end() ? BurnTally() : sum(found->second.minutes, from, to);
}

std::vector<BurnKey> BurnCounts::keys() const
{
    std::vector<BurnKey> keys;
    keys.reserve(m_slots.size());
    for (const auto& [key, slots] : m_slots)
        keys.push_back(key);
    return keys;
}

std::string BurnCounts::encode() const
{
    json::array rows;
    for (const auto& [key, slots] : m_slots) {
        rows.push_back(json::object { { "rank", key.rank.text() }, { "model", key.model.text() }, { "data_centre", key.dataCentre.text() },
            { "minutes", encodeSlots(slots.minutes) }, { "hours", encodeSlots(slots.hours) } });
    }
    return json::serialize(rows);
}

Result<BurnCounts, ReportErrorCode> BurnCounts::decode(std::string_view text)
{
    try {
        BurnCounts counts;
        json::value rows = json::parse({ text.data(), text.size() });
        for (const json::value& row : rows.as_array()) {
            const json::object& object = row.as_object();
            BurnKey key { RankName(textOf(object, "rank")), ModelName(textOf(object, "model")), DataCentreName(textOf(object, "data_centre")) };
            Slots& slots = counts.m_slots[key];
            decodeSlots(slots.minutes, object.at("minutes"));
            decodeSlots(slots.hours, object.at("hours"));
        }
        return counts;
    } catch (const std::exception& error) {
        return failure(ReportErrorCode::Malformed, std::string("burn counts: ") + error.what());
    }
}

//==============================================================================
void BurnRecorder::note(const BurnKey& key, bool isWithinTarget, WallTime now)
{
    Shard& shard = m_shards.at(std::hash<ModelName>()(key.model) % shardCount);
    std::lock_guard guard(shard.lock);
    shard.counts.note(key, isWithinTarget, now);
}

BurnCounts BurnRecorder::counts(WallTime now) const
{
    BurnCounts all;
    for (const Shard& shard : m_shards) {
        std::lock_guard guard(shard.lock);
        all.merge(shard.counts);
    }
    all.prune(now);
    return all;
}

} // namespace hemlockchute
