#include "hemlockchute/core/LogQueue.h"

#include <algorithm>
#include <utility>

namespace hemlockchute {
namespace {

/** The part of the lines and of the bytes that only failures may use; failures are a small part of what is logged in normal operation. */
constexpr double failureShare = 0.25;
/** Between two summaries of what was left out: often enough to stand near the lines that are missing. */
constexpr Duration summaryInterval = 1s;

} // namespace

LogQueue::LogQueue(Options options)
    : m_options(options)
    , m_lines(options.linesPerSecond)
{
}

void LogQueue::refill(Instant now)
{
    double most = m_options.linesPerSecond;
    if (m_refilled) {
        double seconds = std::chrono::duration<double>(now - *m_refilled).count();
        m_lines = std::min(most, m_lines + std::max(0.0, seconds) * most);
    }
    m_refilled = now;
}

bool LogQueue::admit(EventId id, Instant now)
{
    refill(now);
    double reserved = eventDefinition(id).tells == EventTells::Failure ? 0 : failureShare * m_options.linesPerSecond;
    if (m_lines < reserved + 1) {
        ++m_leftOut[id];
        return false;
    }
    m_lines -= 1;
    return true;
}

void LogQueue::push(EventId id, const std::string& line)
{
    auto most = static_cast<double>(m_options.mostWaiting);
    bool isFailure = eventDefinition(id).tells == EventTells::Failure;
    if (!isFailure)
        most *= 1 - failureShare;
    if (static_cast<double>(m_waiting.size() + m_unwritten + line.size()) > most) {
        ++m_leftOut[id];
        return;
    }
    m_waiting += line;
    m_holdsFailure = m_holdsFailure || isFailure;
}

std::string LogQueue::take()
{
    m_holdsFailure = false;
    return std::exchange(m_waiting, {});
}

std::optional<std::map<EventId, std::uint64_t>> LogQueue::takeLeftOut(Instant now)
{
    if (m_leftOut.empty() || (m_summed && now - *m_summed < summaryInterval))
        return std::nullopt;
    m_summed = now;
    return std::exchange(m_leftOut, {});
}

} // namespace hemlockchute
