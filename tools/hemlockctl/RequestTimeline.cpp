#include "RequestTimeline.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <ctime>
#include <istream>
#include <optional>
#include <set>

namespace hemlockchute {
namespace {

constexpr std::string_view requestField = "request";
/** Fields that tie a line without a request to one. */
constexpr std::string_view sharedFields[] = { "model", "server" };
/** Fields that say how long the request had been in the system when the line was written. */
constexpr std::string_view durationFields[] = { "waited_ms", "after_ms", "whole_ms" };
/** Orders and lost servers of so long before a request arrived may have decided what it met: the longest load from the store and an order lease. */
constexpr std::int64_t lookBackMilliseconds = 10'000;
constexpr std::int64_t millisecondsPerSecond = 1000;

std::string textOf(const boost::json::object& fields, std::string_view key)
{
    const boost::json::value* value = fields.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

/** Milliseconds since 1970 of a time as "2026-01-31T10:00:00.123Z". */
std::optional<std::int64_t> parseTime(const std::string& text)
{
    std::tm parts {};
    const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S.", &parts);
    int milliseconds = 0;
    if (!rest || std::from_chars(rest, text.c_str() + text.size(), milliseconds).ec != std::errc())
        return std::nullopt;
    return timegm(&parts) * millisecondsPerSecond + milliseconds;
}

std::int64_t durationOf(const boost::json::object& fields)
{
    std::int64_t longest = 0;
    for (std::string_view key : durationFields) {
        std::string text = textOf(fields, key);
        std::int64_t each = 0;
        if (std::from_chars(text.data(), text.data() + text.size(), each).ec == std::errc())
            longest = std::max(longest, each);
    }
    return longest;
}

/** What the lines that name the request say of when it ran, and on what. */
struct RequestContext {
    std::int64_t from = INT64_MAX;
    std::int64_t to = INT64_MIN;
    std::set<std::pair<std::string_view, std::string>> shared;

    void add(const RequestTimeline::Line& line)
    {
        if (auto at = parseTime(line.time)) {
            from = std::min(from, *at - durationOf(line.fields) - lookBackMilliseconds);
            to = std::max(to, *at);
        }
        for (std::string_view key : sharedFields) {
            if (std::string value = textOf(line.fields, key); !value.empty())
                shared.emplace(key, value);
        }
    }

    bool holds(const RequestTimeline::Line& line) const
    {
        auto at = parseTime(line.time);
        if (!at || *at < from || *at > to)
            return false;
        return std::any_of(std::begin(sharedFields), std::end(sharedFields), [&](std::string_view key) { return shared.contains({ key, textOf(line.fields, key) }); });
    }
};

} // namespace

void RequestTimeline::read(std::istream& log)
{
    for (std::string text; std::getline(log, text);) {
        if (text.empty())
            continue;
        ++m_linesRead;
        // A collector may have put the host or its own time before the record.
        std::size_t begin = text.find('{');
        boost::system::error_code error;
        boost::json::value value = begin == std::string::npos ? boost::json::value() : boost::json::parse(text.substr(begin), error);
        if (error || !value.is_object()) {
            ++m_linesSkipped;
            continue;
        }
        Line line { textOf(value.get_object(), "time"), std::move(value.get_object()), false };
        std::string request = textOf(line.fields, requestField);
        line.namesRequest = request == m_request;
        if (line.namesRequest || request.empty())
            m_lines.push_back(std::move(line));
    }
}

std::vector<RequestTimeline::Line> RequestTimeline::lines() const
{
    RequestContext surroundings;
    for (const Line& line : m_lines) {
        if (line.namesRequest)
            surroundings.add(line);
    }
    std::vector<Line> timeline;
    std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(timeline), [&](const Line& line) { return line.namesRequest || surroundings.holds(line); });
    std::stable_sort(timeline.begin(), timeline.end(), [](const Line& a, const Line& b) { return a.time < b.time; });
    return timeline;
}

std::string timelineText(const RequestTimeline::Line& line)
{
    std::string text = line.time + (line.namesRequest ? "  " : "    (") + textOf(line.fields, "name");
    for (const auto& [key, value] : line.fields) {
        bool isShown = key != "time" && key != "severity" && key != "event" && key != "name" && key != requestField && value.is_string() && !value.get_string().empty();
        if (isShown)
            text += " " + std::string(key) + "=" + std::string(value.get_string());
    }
    return text + (line.namesRequest ? "" : ")");
}

} // namespace hemlockchute
