#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/fleet/RouteConfiguration.h"

#include <optional>
#include <string>

namespace hemlockchute {

//==============================================================================
/**
    Decides whether a caller's access key is accepted.

    With a bound on revocations, a key counts only for a limited time after a leader was certain that
    this host's configuration was the newest. A host that is cut off, was frozen, or follows a relay that
    is cut off therefore stops accepting keys in time, whether it knows of its state or not.

    All instants are of a clock that counts the time for which the host is suspended. Thread safety: one
    thread at a time.

    @see FollowReply::confirmedAge
*/
class AccessControl {
public:
    struct Options {
        /** A key that was removed may be accepted for this long after the removal was acknowledged; without it, as long as no newer configuration has arrived. */
        std::optional<Duration> revocation;
        /** The part of this time for which a confirmation counts; the rest covers clocks that differ in speed. */
        double usableShare = 0.9;

        Options withRevocation(std::optional<Duration>) const;
    };

    enum class Verdict {
        Granted,
        /** The key is missing or unknown. */
        Unauthorized,
        /** The key may have been removed since the last confirmation. */
        Unconfirmed
    };

    struct Decision {
        Verdict verdict = Verdict::Granted;
        /** The workspace of the key; null if it has none. */
        const Workspace* workspace = nullptr;
    };

    explicit AccessControl(Options options)
        : m_options(options)
    {
    }

    /** A leader was certain at this time that the configuration in force here is the newest. */
    void noteConfirmed(Instant at);
    /** True if keys are accepted now. */
    bool isConfirmed(Instant now) const;
    /** Decides about a request; its route is public or not. */
    Decision check(const RouteConfiguration&, const Route&, const std::string& key, Instant now) const;

private:
    Options m_options;
    std::optional<Instant> m_confirmed;
};

} // namespace hemlockchute
