#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"

#include <map>
#include <optional>

namespace hemlockchute {

//==============================================================================
/**
    Postpones loads of models under which servers crash.

    Load pattern: a model's weights end each server that loads them, and its requests keep asking for
    it, so that one server after the other is lost. Servers that end at one moment count once, since a
    power loss ends many loads. A completed load clears the model.

    Thread safety: one thread at a time.
*/
class LoadCrashes {
public:
    struct Options {
        /** Consecutive crashes after which the model's next load is postponed. */
        unsigned crashesUntilPause = 3;
        /** How long it is postponed, from the last crash; doubles with each further one. */
        Duration firstPause = 8s;
        Duration maximumPause = 5min;
        /** Crashes are forgotten this long after the last one. */
        Duration lifetime = 15min;
    };

    explicit LoadCrashes(Options options)
        : m_options(options)
    {
    }

    /** Records that a server ended while it loaded the model; `ordered` is when the load was ordered. True if that postpones the next load. */
    bool noteCrash(const ModelName&, Instant ordered, Instant now);
    /** Records that a server has completed a load of the model. */
    void noteLoaded(const ModelName& model) { m_records.erase(model); }
    /** Until when the model must not be loaded; nothing if it may be now. */
    std::optional<Instant> postponedUntil(const ModelName&, Instant now) const;
    /** Drops outdated records. */
    void expire(Instant now);

private:
    struct Record {
        unsigned consecutiveCrashes = 0;
        Instant lastCrash {};
    };

    Duration pauseAfter(unsigned crashes) const;

    Options m_options;
    std::map<ModelName, Record> m_records;
};

} // namespace hemlockchute
