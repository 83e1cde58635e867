#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"

#include <map>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Outlier detection: ejects backend servers after consecutive failures, but never more than a
    configured share of them.

    Thread safety: one thread at a time.
*/
class EjectionTable {
public:
    /** When a server is ejected, and for how long. */
    struct Options {
        unsigned consecutiveFailures = 3;
        Duration firstEjection = 2s;
        Duration longestEjection = 60s;
        /** The share of servers that stays usable whatever fails, in thousandths. */
        unsigned minimumUsablePerMille = 500;

        Options withConsecutiveFailures(unsigned) const;
        Options withFirstEjection(Duration) const;
        Options withMinimumUsablePerMille(unsigned) const;
    };

    explicit EjectionTable(Options);

    void noteSuccess(const BackendServerName&);
    void noteFailure(const BackendServerName&, Instant now);
    void forget(const BackendServerName&);
    /** The given servers that are not ejected now, in the given order. */
    std::vector<BackendServerName> usable(const std::vector<BackendServerName>&, Instant now) const;

private:
    struct Record {
        unsigned failures = 0;
        unsigned ejections = 0;
        Instant ejectedUntil {};
    };

    Options m_options;
    std::map<BackendServerName, Record> m_records;
};

} // namespace hemlockchute
