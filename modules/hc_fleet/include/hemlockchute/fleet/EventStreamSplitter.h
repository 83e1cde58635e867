#pragma once

#include "hemlockchute/core/Units.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace hemlockchute {

/** Complete events read from a stream. */
struct WholeEvents {
    /** The bytes of the events, each including the empty line that ends it. */
    ByteString bytes;
    /** The id of the last event that has a numeric one. */
    std::optional<std::uint64_t> lastId;
};

//==============================================================================
/**
    Splits a text/event-stream at event boundaries, so that only complete events are passed on when
    a stream breaks off in the middle of one. Examines each byte once, however many events there are.

    Thread safety: one thread at a time.
*/
class EventStreamSplitter {
public:
    /** Appends bytes and returns the events that they complete. */
    WholeEvents feed(std::string_view bytes);
    /** True while an incomplete event is buffered. */
    bool hasPartialEvent() const { return !m_partial.empty(); }
    /** The number of bytes buffered for an incomplete event. */
    std::size_t partialBytes() const { return m_partial.size(); }

private:
    ByteString m_partial;
    /** Where the incomplete line begins in m_partial, and up to where it is known to hold no line feed. */
    std::size_t m_lineBegin = 0;
    std::size_t m_searched = 0;
    /** The last numeric id in the incomplete event. */
    std::optional<std::uint64_t> m_eventId;
};

} // namespace hemlockchute
