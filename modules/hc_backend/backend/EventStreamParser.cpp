#include "backend/EventStreamParser.h"

namespace hemlockchute {

bool EventStreamParser::feed(std::string_view chunk)
{
    while (!chunk.empty()) {
        std::size_t end = chunk.find('\n');
        m_line += chunk.substr(0, end);
        if (m_line.size() + m_data.size() > maximumEventBytes)
            return false;
        if (end == std::string_view::npos)
            return true;
        chunk.remove_prefix(end + 1);
        if (m_line.ends_with('\r'))
            m_line.pop_back();
        processLine(m_line);
        m_line.clear();
    }
    return true;
}

std::optional<std::string> EventStreamParser::next()
{
    if (m_events.empty())
        return std::nullopt;
    std::string event = std::move(m_events.front());
    m_events.pop_front();
    return event;
}

void EventStreamParser::processLine(std::string_view line)
{
    if (line.empty()) {
        if (m_hasData)
            m_events.push_back(std::move(m_data));
        m_data.clear();
        m_hasData = false;
        return;
    }
    constexpr std::string_view prefix = "data:";
    if (!line.starts_with(prefix))
        return;
    line.remove_prefix(prefix.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (m_hasData)
        m_data += '\n';
    m_data += line;
    m_hasData = true;
}

} // namespace hemlockchute
