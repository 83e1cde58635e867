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

    Each model has a start tag in virtual time. The model with the lowest tag is served next; the
    earlier deadline breaks ties. A model with waiting requests that cannot be served keeps its tag,
    so that it catches up later, by at most `maximumCatchUp` of service time. Tags of idle models
    are removed once virtual time has passed them. Thread safety: one thread at a time.
*/
class StartTimeFairQueue {
public:
    /** The maximum service time that a model may catch up after it could not be served. */
    static constexpr Duration maximumCatchUp = 20s;

    /** Marks a model as having waiting requests. `deadline` breaks ties with other models. */
    void setWaiting(const ModelName&, Instant deadline);
    /** Marks a model as having no waiting requests. */
    void setIdle(const ModelName&);
    /** Charges the expected cost of a request that is served now. */
    void noteServed(const ModelName&, Duration cost);
    /** Corrects the charge for an earlier request by the difference between its actual and its expected cost. */
    void adjust(const ModelName&, Duration difference);
    /** Calls `visit` for each model with waiting requests in order of service, until it returns true. */
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
