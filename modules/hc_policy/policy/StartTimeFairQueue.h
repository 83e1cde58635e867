#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"

#include <functional>
#include <map>
#include <set>
#include <tuple>

namespace hemlockchute {

//==============================================================================
/**
    Start-time fair queueing over the models of one rank.

    Each model has a start tag in virtual time; the one with the lowest goes next, and the earlier
    deadline breaks ties. A model that waits but cannot be served keeps its tag, and so catches up
    when it can, by at most `maximumCatchUp` of service time. Models that neither wait nor were
    served lately cost nothing. Thread safety: one thread at a time.
*/
class StartTimeFairQueue {
public:
    /** The most service time a model may catch up after it could not be served. */
    static constexpr Duration maximumCatchUp = 20s;

    /** A model waits, and its first request has that deadline. */
    void setWaiting(const ModelName&, Instant deadline);
    /** A model no longer waits. */
    void setIdle(const ModelName&);
    /** A request of the model is served at that cost. */
    void noteServed(const ModelName&, Duration cost);
    /** A request of the model that was served cost so much more or less than booked. */
    void adjust(const ModelName&, Duration difference);
    /** Calls `visit` with each waiting model in order of service, until it returns true. */
    void visit(const std::function<bool(const ModelName&)>& visit) const;

private:
    struct Tags {
        Duration start {};
        bool isWaiting = false;
        Instant deadline {};
    };

    using Key = std::tuple<Duration, Instant, ModelName>;

    void setStartTag(const ModelName&, Tags&, Duration start);
    void removeIdleTags();

    Duration m_virtualTime {};
    std::map<ModelName, Tags> m_tags;
    std::set<Key> m_waiting;
    std::set<Key> m_idle;
};

} // namespace hemlockchute
