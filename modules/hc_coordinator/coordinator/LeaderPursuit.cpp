#include "coordinator/LeaderPursuit.h"

namespace hemlockchute {

LeaderPursuit::LeaderPursuit(Options options, Instant begin)
    : m_options(options)
    , m_deadline(begin + options.patience)
    , m_nextQuestion(begin)
{
}

std::optional<LeaderPursuit::Target> LeaderPursuit::next(std::optional<KeeperId> leader, AgreementTerm term, Instant now)
{
    if (!leader || isOver(now))
        return std::nullopt;
    Target target { *leader, term };
    bool mustPause = m_lastFailed == target && now < m_nextQuestion;
    if (mustPause || !m_unanswered.insert(target).second)
        return std::nullopt;
    ++m_asked;
    return target;
}

void LeaderPursuit::noteFailed(const Target& target, Instant now)
{
    m_unanswered.erase(target);
    m_lastFailed = target;
    m_nextQuestion = now + m_options.pause;
}

//==============================================================================
LeaderPursuit::Options LeaderPursuit::Options::withPatience(Duration value) const
{
    Options copy = *this;
    copy.patience = value;
    return copy;
}

LeaderPursuit::Options LeaderPursuit::Options::withPause(Duration value) const
{
    Options copy = *this;
    copy.pause = value;
    return copy;
}

} // namespace hemlockchute
