#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"

#include <array>
#include <map>

namespace hemlockchute {

//==============================================================================
/**
    This host's share of the resends that all hosts together may make to a service.

    Answers the load in which a service fails many requests at once and every host would send them
    again: resends stay within a ratio of the requests seen here in the window, plus an equal share
    of a fixed allowance. Both are spent from what this host sees, since there is no time to ask.
    Thread safety: one thread at a time.
*/
class RetryBudget {
public:
    /** The bounds that hold for all hosts together. */
    struct Options {
        /** Resends allowed for each request. */
        double ratio = 0.2;
        /** Resends allowed besides, over all hosts. */
        unsigned allowance = 50;
        Duration window = 10s;
        /** Part of the bounds that is spent; the rest covers hosts that count otherwise. */
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
    /** Counts a request of a caller. */
    void noteRequest(const ServiceName&, Instant now);
    /** Takes one resend from the budget, or gives false when none is left. */
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
    /** Until the hosts are counted, as many as a large deployment's share would allow for. */
    std::size_t m_hosts = 32;
    std::map<ServiceName, Window> m_windows;
};

} // namespace hemlockchute
