#pragma once

#include "hemlockchute/core/Units.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockchute {

//==============================================================================
/**
    Splits server-sent events out of a body that arrives in pieces of any size.

    Only the `data` field counts; comments and other fields are skipped. Thread safety: one thread
    at a time.
*/
class EventStreamParser {
public:
    /** Takes in the next piece; false when an event passes the bound, after which nothing more is taken. */
    bool feed(std::string_view piece);
    /** The data of the next whole event, if any. */
    std::optional<std::string> next();

private:
    void processLine(std::string_view line);

    /** Longest event, in bytes. */
    static constexpr std::size_t maximumEventBytes = std::size_t(1) << 20U;

    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
    std::deque<std::string> m_events;
};

} // namespace hemlockchute
