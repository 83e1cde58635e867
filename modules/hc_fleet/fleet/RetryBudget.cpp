#include "hemlockchute/fleet/RetryBudget.h"

namespace hemlockchute {

RetryBudget::Options RetryBudget::Options::withRatio(double value) const
{
    Options copy = *this;
    copy.ratio = value;
    return copy;
}

RetryBudget::Options RetryBudget::Options::withAllowance(unsigned value) const
{
    Options copy = *this;
    copy.allowance = value;
    return copy;
}

RetryBudget::Options RetryBudget::Options::withWindow(Duration value) const
{
    Options copy = *this;
    copy.window = value;
    return copy;
}

void RetryBudget::noteRequest(const ServiceName& service, Instant now)
{
    ++current(m_windows[service], now).requests;
}

/** Counts at most one window: the current, still incomplete slice and the nine before it. */
bool RetryBudget::allowsResend(const ServiceName& service, Instant now)
{
    const Window& window = m_windows[service];
    std::int64_t oldest = numberOf(now) - static_cast<std::int64_t>(slices) + 1;
    unsigned requests = 0;
    unsigned resends = 0;
    for (const Slice& each : window) {
        if (each.number < oldest)
            continue;
        requests += each.requests;
        resends += each.resends;
    }
    double allowed = m_options.usableFraction * (m_options.ratio * requests + static_cast<double>(m_options.allowance) / static_cast<double>(m_hosts));
    return resends + 1 <= allowed;
}

bool RetryBudget::tryResend(const ServiceName& service, Instant now)
{
    if (!allowsResend(service, now))
        return false;
    ++current(m_windows[service], now).resends;
    return true;
}

RetryBudget::Slice& RetryBudget::current(Window& window, Instant now) const
{
    std::int64_t number = numberOf(now);
    Slice& slice = window[static_cast<std::size_t>(number) % slices];
    if (slice.number != number)
        slice = { number, 0, 0 };
    return slice;
}

std::int64_t RetryBudget::numberOf(Instant now) const
{
    return now.time_since_epoch() / (m_options.window / static_cast<std::int64_t>(slices));
}

} // namespace hemlockchute
