#include "hemlockchute/router/RequestLifecycle.h"

namespace hemlockchute {
namespace {

constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusTimeout = 504;

} // namespace

RequestLifecycle::RequestLifecycle(Options options)
    : m_options(options)
{
}

bool RequestLifecycle::begin(const AttemptId& attempt, Instant now)
{
    if (m_current || !mayBegin(now))
        return false;
    m_current = attempt;
    ++m_attempts;
    return true;
}

bool RequestLifecycle::acceptToken(const AttemptId& attempt, std::uint64_t index)
{
    if (!isCurrent(attempt) || index != m_tokens)
        return false;
    ++m_tokens;
    m_mayHaveRun = true;
    return true;
}

LifecycleDecision RequestLifecycle::complete(const AttemptId& attempt)
{
    if (!isCurrent(attempt))
        return {};
    m_mayHaveRun = true;
    return end(LifecycleDecision::Kind::Complete);
}

LifecycleDecision RequestLifecycle::fail(const AttemptId& attempt, BackendErrorCode code, bool mayRetry, Instant now)
{
    if (!isCurrent(attempt))
        return {};
    m_current.reset();
    bool notRun = hasCertainlyNotRun(code);
    m_mayHaveRun |= !notRun;
    m_notRun += notRun ? 1 : 0;
    m_lostBeforeToken += m_tokens == 0 && code == BackendErrorCode::Lost ? 1 : 0;
    if ((notRun || mayRetry) && mayBegin(now))
        return { LifecycleDecision::Kind::Retry };
    bool isLate = m_tokens == 0 && now >= m_options.deadline;
    if (isLate)
        return end(LifecycleDecision::Kind::Refuse, statusTimeout);
    return end(LifecycleDecision::Kind::Refuse, m_mayHaveRun ? statusBadGateway : statusUnavailable);
}

LifecycleDecision RequestLifecycle::expire(Instant now)
{
    if (m_ended || m_tokens > 0 || now < m_options.deadline)
        return {};
    m_mayHaveRun |= m_current.has_value();
    return end(LifecycleDecision::Kind::Refuse, statusTimeout);
}

LifecycleDecision RequestLifecycle::refuse(unsigned status)
{
    if (m_ended)
        return {};
    m_mayHaveRun |= m_current.has_value();
    return end(LifecycleDecision::Kind::Refuse, status);
}

LifecycleDecision RequestLifecycle::noteCallerDisconnect()
{
    return m_ended ? LifecycleDecision {} : end(LifecycleDecision::Kind::Drop);
}

bool RequestLifecycle::mayReplaceAttempt(Instant now) const
{
    return m_current && m_options.isRepeatable && mayBegin(now);
}

bool RequestLifecycle::mayBegin(Instant now) const
{
    if (m_ended || m_notRun >= m_options.maximumNotRun || m_attempts - m_notRun >= m_options.maximumAttempts || (m_tokens == 0 && m_lostBeforeToken >= m_options.maximumLostBeforeToken))
        return false;
    if (m_mayHaveRun && !m_options.isRepeatable)
        return false;
    return m_tokens > 0 || now < m_options.deadline;
}

bool RequestLifecycle::isCurrent(const AttemptId& attempt) const
{
    return !m_ended && m_current == attempt;
}

LifecycleDecision RequestLifecycle::end(LifecycleDecision::Kind kind, unsigned status)
{
    m_ended = true;
    m_current.reset();
    return { kind, status, m_mayHaveRun ? RefusalOutcome::Unknown : RefusalOutcome::NotRun };
}

//==============================================================================
RequestLifecycle::Options RequestLifecycle::Options::withRepeatable(bool value) const
{
    Options copy = *this;
    copy.isRepeatable = value;
    return copy;
}

RequestLifecycle::Options RequestLifecycle::Options::withDeadline(Instant value) const
{
    Options copy = *this;
    copy.deadline = value;
    return copy;
}

RequestLifecycle::Options RequestLifecycle::Options::withMaximumAttempts(unsigned value) const
{
    Options copy = *this;
    copy.maximumAttempts = value;
    return copy;
}

} // namespace hemlockchute
