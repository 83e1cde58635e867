#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"

#include <array>
#include <map>

namespace hemlockchute {

//==============================================================================
/**
    This host's share of a service's retry budget.

    Prevents retry storms when a service fails many requests at once: resends stay within a ratio of
    the requests seen by this host in the window, plus an equal share of a fixed allowance. Hosts do
    not coordinate, since that would delay each resend.
    Thread safety: one thread at a time.
*/
class RetryBudget {
public:
    /** The limits over all hosts together. */
    struct Options {
        /** Resends allowed per request. */
        double ratio = 0.2;
        /** Additional resends allowed per window, over all hosts. */
        unsigned allowance = 50;
        Duration window = 10s;
        /** Fraction of the limits that is used; the rest covers hosts whose counts differ. */
        double usableFraction = 0.8;

        Options withRatio(double) const;
        Options withAllowance(unsigned) const;
        Options withWindow(Duration) const;
    };

    explicit RetryBudget(Options options)
        : m_options(options)
    {
    }

    /** Sets how many hosts share the allowance. Precondition: above 0. */
    void setHostCount(std::size_t count) { m_hosts = count; }
    /** Counts a caller's request. */
    void noteRequest(const ServiceName&, Instant now);
    /** True if a resend is left in the budget. */
    bool allowsResend(const ServiceName&, Instant now);
    /** Takes one resend from the budget; false if none is left. */
    bool tryResend(const ServiceName&, Instant now);

private:
    static constexpr std::size_t slices = 10;

    struct Slice {
        std::int64_t number = -1;
        unsigned requests = 0;
        unsigned resends = 0;
    };

    using Window = std::array<Slice, slices>;

    Slice& current(Window&, Instant now) const;
    std::int64_t numberOf(Instant now) const;

    Options m_options;
    /** Until the real count is known, assumes a large deployment. */
    std::size_t m_hosts = 32;
    std::map<ServiceName, Window> m_windows;
};

} // namespace hemlockchute
