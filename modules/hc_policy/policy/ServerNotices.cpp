#include "hemlockchute/policy/ServerNotices.h"

#include <algorithm>

namespace hemlockchute {
namespace {

constexpr Duration::rep perMille = 1000;

} // namespace

bool ServerNotices::noteLeaving(const ServerIncarnation& incarnation, Instant now)
{
    Notice& notice = noticeOf(incarnation, now);
    bool isNew = notice.leavingUntil <= now;
    notice.leavingUntil = now + m_options.leavingRetention;
    return isNew;
}

/** A notice can only extend a pause, since responses may arrive out of order. */
Instant ServerNotices::notePause(const ServerIncarnation& incarnation, Duration requested, double jitter, Instant now)
{
    Duration pause = std::clamp<Duration>(requested, Duration::zero(), m_options.longestPause);
    Duration maximumJitter = std::min<Duration>(pause * static_cast<Duration::rep>(m_options.returnJitterPerMille) / perMille, m_options.maximumReturnJitter);
    auto delay = Duration(static_cast<Duration::rep>(static_cast<double>(maximumJitter.count()) * std::clamp(jitter, 0.0, 1.0)));
    Notice& notice = noticeOf(incarnation, now);
    notice.pausedUntil = std::max(notice.pausedUntil, now + pause + delay);
    return notice.pausedUntil;
}

bool ServerNotices::isLeaving(const ServerIncarnation& incarnation, Instant now) const
{
    auto found = m_notices.find(incarnation);
    return found != m_notices.end() && now < found->second.leavingUntil;
}

std::optional<Instant> ServerNotices::pausedUntil(const ServerIncarnation& incarnation, Instant now) const
{
    auto found = m_notices.find(incarnation);
    bool isPaused = found != m_notices.end() && now < found->second.pausedUntil;
    return isPaused ? std::optional(found->second.pausedUntil) : std::nullopt;
}

bool ServerNotices::isRecovering(const ServerIncarnation& incarnation, Instant now) const
{
    auto found = m_notices.find(incarnation);
    return found != m_notices.end() && found->second.pausedUntil != Instant() && now < found->second.pausedUntil + m_options.recoveryPeriod;
}

/** Also removes expired notices, so that memory use follows the number of servers with a notice in force. */
ServerNotices::Notice& ServerNotices::noticeOf(const ServerIncarnation& incarnation, Instant now)
{
    std::erase_if(m_notices, [&](const auto& item) { return item.second.leavingUntil <= now && item.second.pausedUntil + m_options.recoveryPeriod <= now && item.first != incarnation; });
    return m_notices[incarnation];
}

//==============================================================================
ServerNotices::Options ServerNotices::Options::withLongestPause(Duration value) const
{
    Options copy = *this;
    copy.longestPause = value;
    return copy;
}

ServerNotices::Options ServerNotices::Options::withLeavingRetention(Duration value) const
{
    Options copy = *this;
    copy.leavingRetention = value;
    return copy;
}

ServerNotices::Options ServerNotices::Options::withReturnJitter(unsigned value) const
{
    Options copy = *this;
    copy.returnJitterPerMille = value;
    return copy;
}

} // namespace hemlockchute
