#include "hemlockchute/fleet/EventStreamSplitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hemlockchute {
namespace {

constexpr std::string_view idField = "id:";

/** The number in an id field; nothing for other lines. */
std::optional<std::uint64_t> idOf(std::string_view line)
{
    if (!line.starts_with(idField))
        return std::nullopt;
    line.remove_prefix(idField.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    std::uint64_t value = 0;
    bool isNumber = std::from_chars(line.data(), line.data() + line.size(), value).ec == std::errc();
    return isNumber ? std::optional(value) : std::nullopt;
}

} // namespace

WholeEvents EventStreamSplitter::feed(std::string_view bytes)
{
    m_partial += bytes;
    WholeEvents events;
    std::size_t eventBegin = 0;
    std::string_view text = m_partial;
    for (std::size_t end = text.find('\n', m_searched); end != std::string_view::npos; end = text.find('\n', m_lineBegin)) {
        std::string_view line = text.substr(m_lineBegin, end - m_lineBegin);
        bool isFirst = m_lineBegin == eventBegin;
        m_lineBegin = end + 1;
        if (auto id = idOf(line))
            m_eventId = id;
        bool isEmpty = line.empty() || line == "\r";
        if (!isEmpty || isFirst)
            continue;
        eventBegin = m_lineBegin;
        if (auto id = std::exchange(m_eventId, std::nullopt))
            events.lastId = id;
    }
    events.bytes = m_partial.substr(0, eventBegin);
    m_partial.erase(0, eventBegin);
    m_lineBegin -= eventBegin;
    m_searched = m_partial.size();
    return events;
}

} // namespace hemlockchute
