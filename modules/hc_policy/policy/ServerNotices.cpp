#include "hemlockchute/policy/ServerNotices.h"

#include <algorithm>

namespace hemlockchute {
namespace {

constexpr Duration::rep perMille = 1000;

} // namespace

bool ServerNotices::noteLeaving(const ServerLife& life, Instant now)
{
    Notice& notice = noticeOf(life, now);
    bool isNews = notice.leavingUntil <= now;
    notice.leavingUntil = now + m_options.leavingRetention;
    return isNews;
}

/** A later word replaces an earlier one only where it reaches further: answers may overtake each other. */
Instant ServerNotices::notePause(const ServerLife& life, Duration asked, double place, Instant now)
{
    Duration pause = std::clamp<Duration>(asked, Duration::zero(), m_options.longestPause);
    Duration spread = std::min<Duration>(pause * static_cast<Duration::rep>(m_options.returnJitterPerMille) / perMille, m_options.maximumReturnJitter);
    auto later = Duration(static_cast<Duration::rep>(static_cast<double>(spread.count()) * std::clamp(place, 0.0, 1.0)));
    Notice& notice = noticeOf(life, now);
    notice.pausedUntil = std::max(notice.pausedUntil, now + pause + later);
    return notice.pausedUntil;
}

bool ServerNotices::isLeaving(const ServerLife& life, Instant now) const
{
    auto found = m_notices.find(life);
    return found != m_notices.end() && now < found->second.leavingUntil;
}

std::optional<Instant> ServerNotices::pausedUntil(const ServerLife& life, Instant now) const
{
    auto found = m_notices.find(life);
    bool isPaused = found != m_notices.end() && now < found->second.pausedUntil;
    return isPaused ? std::optional(found->second.pausedUntil) : std::nullopt;
}

bool ServerNotices::isRecovering(const ServerLife& life, Instant now) const
{
    auto found = m_notices.find(life);
    return found != m_notices.end() && found->second.pausedUntil != Instant() && now < found->second.pausedUntil + m_options.recoveryPeriod;
}

/** Forgets what is over whenever something new is noted, so that memory follows the servers in trouble. */
ServerNotices::Notice& ServerNotices::noticeOf(const ServerLife& life, Instant now)
{
    std::erase_if(m_notices, [&](const auto& item) { return item.second.leavingUntil <= now && item.second.pausedUntil + m_options.recoveryPeriod <= now && item.first != life; });
    return m_notices[life];
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
