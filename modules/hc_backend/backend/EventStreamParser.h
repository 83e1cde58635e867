#pragma once

#include "hemlockchute/core/Units.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockchute {

//==============================================================================
/**
    Parses server-sent events from a body that arrives in chunks of any size.

    Only the `data` field is used; comments and other fields are skipped. Thread safety: one thread
    at a time.
*/
class EventStreamParser {
public:
    /** Parses the next chunk; false once an event exceeds the size limit, after which every further chunk is rejected. */
    bool feed(std::string_view chunk);
    /** The data of the next complete event, if any. */
    std::optional<std::string> next();

private:
    void processLine(std::string_view line);

    static constexpr std::size_t maximumEventBytes = std::size_t(1) << 20U;

    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
    std::deque<std::string> m_events;
};

} // namespace hemlockchute
