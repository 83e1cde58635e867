#include "hemlockchute/policy/RetryBudget.h"

#include <algorithm>

namespace hemlockchute {
namespace {

constexpr std::uint64_t wholePerMille = 1000;

} // namespace

RetryBudget::Options RetryBudget::Options::withRetriesPerSuccessPerMille(unsigned value) const
{
    Options copy = *this;
    copy.retriesPerSuccessPerMille = value;
    return copy;
}

RetryBudget::Options RetryBudget::Options::withMaximumTokens(unsigned value) const
{
    Options copy = *this;
    copy.maximumTokens = value;
    return copy;
}

RetryBudget::RetryBudget(Options options)
    : m_options(options)
    , m_tokensPerMille(options.maximumTokens * wholePerMille)
{
}

void RetryBudget::noteSuccess()
{
    m_tokensPerMille = std::min(m_tokensPerMille + m_options.retriesPerSuccessPerMille, m_options.maximumTokens * wholePerMille);
}

bool RetryBudget::tryTake()
{
    if (m_tokensPerMille < wholePerMille)
        return false;
    m_tokensPerMille -= wholePerMille;
    return true;
}

Duration RetryBudget::backoff(unsigned retry, std::uint64_t random) const
{
    Duration ceiling = m_options.firstBackoff;
    for (unsigned number = 1; number < retry && ceiling < m_options.longestBackoff; ++number)
        ceiling *= 2;
    ceiling = std::min(ceiling, m_options.longestBackoff);
    return Duration(static_cast<Duration::rep>(random % (static_cast<std::uint64_t>(ceiling.count()) + 1)));
}

} // namespace hemlockchute
