#include "gateway/SlidingQuantile.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace hemlockchute {

namespace accumulators = boost::accumulators;

namespace {

using Tail = accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::count, accumulators::tag::tail_quantile<accumulators::right>>>;

/** The accumulators that run at once; each starts a sixth of the window after the one before. */
constexpr std::int64_t periods = 6;

} // namespace

struct SlidingQuantile::Period {
    /** The number of the period with which the accumulator started. */
    std::int64_t start = -1;
    std::optional<Tail> tail;

    std::size_t count() const { return tail ? accumulators::count(*tail) : 0; }
};

SlidingQuantile::SlidingQuantile(Options options)
    : m_options(options)
    , m_periods(std::make_unique<Period[]>(periods))
{
}

SlidingQuantile::~SlidingQuantile() = default;

std::int64_t SlidingQuantile::numberOf(Instant now) const
{
    return now.time_since_epoch() / (m_options.window / periods);
}

/** The observations from which an accumulator can still tell the quantile. */
std::size_t SlidingQuantile::maximumSamples() const
{
    return static_cast<std::size_t>(static_cast<double>(m_options.tailSize - 1) / (1 - m_options.share));
}

void SlidingQuantile::add(Duration duration, Instant now)
{
    std::int64_t last = numberOf(now);
    for (std::int64_t start = last - periods + 1; start <= last; ++start) {
        Period& period = m_periods[static_cast<std::size_t>(start % periods)];
        if (period.start != start) {
            period.start = start;
            period.tail.emplace(accumulators::tag::tail<accumulators::right>::cache_size = m_options.tailSize);
        }
        if (period.count() < maximumSamples())
            (*period.tail)(static_cast<double>(duration.count()));
    }
}

std::optional<Duration> SlidingQuantile::value(Instant now)
{
    bool isFresh = m_value && now - m_computed < m_options.refreshInterval;
    if (isFresh)
        return m_value;
    m_value.reset();
    Period* best = current(now);
    if (best)
        m_value = Duration(static_cast<Duration::rep>(accumulators::quantile(*best->tail, accumulators::quantile_probability = m_options.share)));
    m_computed = now;
    return m_value;
}

/** The oldest accumulator that has enough observations and is not full, else the youngest full one. */
SlidingQuantile::Period* SlidingQuantile::current(Instant now) const
{
    Period* best = nullptr;
    std::int64_t last = numberOf(now);
    for (std::int64_t start = last - periods + 1; start <= last; ++start) {
        Period& period = m_periods[static_cast<std::size_t>(start % periods)];
        if (period.start != start || period.count() < m_options.minimumSamples)
            continue;
        best = &period;
        if (period.count() < maximumSamples())
            break;
    }
    return best;
}

} // namespace hemlockchute
