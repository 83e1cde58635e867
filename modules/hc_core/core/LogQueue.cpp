#include "hemlockchute/core/LogQueue.h"

#include <algorithm>
#include <utility>

namespace hemlockchute {
namespace {

/** Share of both bounds that is reserved for failures, which are a small part of the log in normal operation. */
constexpr double failureShare = 0.25;
/** Minimum time between two summaries of dropped lines; short, so that a summary stands near the missing lines. */
constexpr Duration summaryInterval = 1s;

} // namespace

LogQueue::LogQueue(Options options)
    : m_options(options)
    , m_tokens(options.linesPerSecond)
{
}

void LogQueue::refill(Instant now)
{
    double maximum = m_options.linesPerSecond;
    if (m_lastRefill) {
        double seconds = std::chrono::duration<double>(now - *m_lastRefill).count();
        m_tokens = std::min(maximum, m_tokens + std::max(0.0, seconds) * maximum);
    }
    m_lastRefill = now;
}

bool LogQueue::admit(EventId id, Instant now)
{
    refill(now);
    double reserved = eventDefinition(id).kind == EventKind::Failure ? 0 : failureShare * m_options.linesPerSecond;
    if (m_tokens < reserved + 1) {
        ++m_dropped[id];
        return false;
    }
    m_tokens -= 1;
    return true;
}

void LogQueue::push(EventId id, const std::string& line)
{
    auto maximum = static_cast<double>(m_options.maximumPendingBytes);
    bool isFailure = eventDefinition(id).kind == EventKind::Failure;
    if (!isFailure)
        maximum *= 1 - failureShare;
    if (static_cast<double>(m_pending.size() + m_unwritten + line.size()) > maximum) {
        ++m_dropped[id];
        return;
    }
    m_pending += line;
    m_hasFailure = m_hasFailure || isFailure;
}

std::string LogQueue::take()
{
    m_hasFailure = false;
    return std::exchange(m_pending, {});
}

std::optional<std::map<EventId, std::uint64_t>> LogQueue::takeDropped(Instant now)
{
    if (m_dropped.empty() || (m_lastSummary && now - *m_lastSummary < summaryInterval))
        return std::nullopt;
    m_lastSummary = now;
    return std::exchange(m_dropped, {});
}

} // namespace hemlockchute
