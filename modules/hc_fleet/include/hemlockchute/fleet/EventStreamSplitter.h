#pragma once

#include "hemlockchute/core/Units.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace hemlockchute {

/** Whole events taken from a stream. */
struct WholeEvents {
    /** The bytes of the events, each with the empty line that ends it. */
    ByteString bytes;
    /** The id of the last of them that has one. */
    std::optional<std::uint64_t> lastId;
};

//==============================================================================
/**
    Cuts a text/event-stream at the ends of its events, so that no part of an event is passed on
    whose rest never comes.

    Answers the load of streams that break off in the middle of an event. Thread safety: one thread
    at a time.
*/
class EventStreamSplitter {
public:
    /** Takes in bytes; gives the events that they complete. */
    WholeEvents feed(std::string_view bytes);
    /** True when an event has begun and is not whole. */
    bool hasPartialEvent() const { return !m_partial.empty(); }
    /** The bytes of an event that is not whole. */
    std::size_t partialBytes() const { return m_partial.size(); }

private:
    ByteString m_partial;
};

} // namespace hemlockchute
