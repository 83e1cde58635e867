#include "hemlockchute/fleet/EventStreamSplitter.h"

#include <algorithm>
#include <charconv>

namespace hemlockchute {
namespace {

constexpr std::string_view idField = "id:";
/** Length of the longest event terminator, "\n\r\n". */
constexpr std::size_t maximumTerminatorLength = 3;

/** The id of a complete event; nothing without a numeric id. */
std::optional<std::uint64_t> idOf(std::string_view event)
{
    std::optional<std::uint64_t> id;
    while (!event.empty()) {
        std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t value = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), value).ec == std::errc())
            id = value;
    }
    return id;
}

/** The offset just after the next empty line, with either kind of line ending; npos if there is none. */
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    std::size_t plain = text.find("\n\n", from);
    std::size_t carriage = text.find("\n\r\n", from);
    if (plain == std::string_view::npos && carriage == std::string_view::npos)
        return std::string_view::npos;
    return plain < carriage ? plain + 2 : carriage + 3;
}

} // namespace

WholeEvents EventStreamSplitter::feed(std::string_view bytes)
{
    // The terminator of an event may be split between this call and the last one.
    std::size_t from = m_partial.size() - std::min(m_partial.size(), maximumTerminatorLength - 1);
    m_partial += bytes;
    WholeEvents events;
    std::size_t taken = 0;
    for (std::size_t end = endOfEvent(m_partial, from); end != std::string_view::npos; end = endOfEvent(m_partial, taken)) {
        if (auto id = idOf(std::string_view(m_partial).substr(taken, end - taken)))
            events.lastId = id;
        taken = end;
    }
    events.bytes = m_partial.substr(0, taken);
    m_partial.erase(0, taken);
    return events;
}

} // namespace hemlockchute
