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
/** Fields that relate a line without a request id to a request. */
constexpr std::string_view sharedFields[] = { "model", "server" };
/** Fields with the time in milliseconds that a request had spent in the system when the line was written. */
constexpr std::string_view durationFields[] = { "waited_ms", "after_ms", "whole_ms" };
/** Orders and server losses within this time before its arrival can affect a request: the longest load from the store plus an order lease. */
constexpr std::int64_t lookBackMilliseconds = 10'000;
constexpr std::int64_t millisecondsPerSecond = 1000;

std::string textOf(const boost::json::object& fields, std::string_view key)
{
    const boost::json::value* value = fields.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

/** Parses a time such as "2026-01-31T10:00:00.123Z" into milliseconds since 1970. */
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

/** Time range, models and servers of a request, collected from the lines that name it. */
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

    bool contains(const RequestTimeline::Line& line) const
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
        // A log collector may have prefixed the record with the host or its own timestamp.
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
    RequestContext context;
    for (const Line& line : m_lines) {
        if (line.namesRequest)
            context.add(line);
    }
    std::vector<Line> timeline;
    std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(timeline), [&](const Line& line) { return line.namesRequest || context.contains(line); });
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
