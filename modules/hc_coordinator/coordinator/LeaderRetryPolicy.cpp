#include "coordinator/LeaderRetryPolicy.h"

namespace hemlockchute {

LeaderRetryPolicy::LeaderRetryPolicy(Options options, Instant begin)
    : m_options(options)
    , m_deadline(begin + options.timeout)
    , m_nextAttempt(begin)
{
}

std::optional<LeaderRetryPolicy::Target> LeaderRetryPolicy::nextTarget(std::optional<KeeperId> leader, AgreementTerm term, Instant now)
{
    if (!leader || hasExpired(now))
        return std::nullopt;
    Target target { *leader, term };
    bool mustPause = m_lastFailed == target && now < m_nextAttempt;
    if (mustPause || !m_pending.insert(target).second)
        return std::nullopt;
    ++m_attemptCount;
    return target;
}

void LeaderRetryPolicy::noteFailed(const Target& target, Instant now)
{
    m_pending.erase(target);
    m_lastFailed = target;
    m_nextAttempt = now + m_options.retryDelay;
}

//==============================================================================
LeaderRetryPolicy::Options LeaderRetryPolicy::Options::withTimeout(Duration value) const
{
    Options copy = *this;
    copy.timeout = value;
    return copy;
}

LeaderRetryPolicy::Options LeaderRetryPolicy::Options::withRetryDelay(Duration value) const
{
    Options copy = *this;
    copy.retryDelay = value;
    return copy;
}

} // namespace hemlockchute
