#include "hemlockchute/report/Metrics.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum_kahan.hpp>
#include <functional>
#include <mutex>

namespace hemlockchute {
namespace {

namespace accumulators = boost::accumulators;

using Totals = accumulators::accumulator_set<double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum_kahan, accumulators::tag::max>>;

constexpr std::size_t shardCount = 16;

/** One series of a histogram, while observations are added. */
struct HistogramSeries {
    std::vector<std::uint64_t> buckets = std::vector<std::uint64_t>(Metrics::bucketBounds().size() + 1);
    Totals totals;

    void add(double seconds)
    {
        const std::vector<double>& bounds = Metrics::bucketBounds();
        auto bucket = std::lower_bound(bounds.begin(), bounds.end(), seconds) - bounds.begin();
        ++buckets[static_cast<std::size_t>(bucket)];
        totals(seconds);
    }

    HistogramCounts counts() const
    {
        return { buckets, accumulators::count(totals), accumulators::sum_kahan(totals), accumulators::max(totals) };
    }
};

template <typename Value>
using Families = std::map<std::string, MetricsSnapshot::Family<Value>, std::less<>>;

template <typename Value>
Value& series(Families<Value>& families, const MetricDefinition& definition, const MetricLabels& labels)
{
    auto family = families.find(definition.name);
    if (family == families.end())
        family = families.emplace(std::string(definition.name), MetricsSnapshot::Family<Value> { std::string(definition.help), {} }).first;
    return family->second.series[labels];
}

} // namespace

//==============================================================================
struct Metrics::Shard {
    mutable std::mutex lock;
    Families<std::uint64_t> counters;
    Families<double> gauges;
    Families<HistogramSeries> histograms;

    MetricsSnapshot snapshot() const
    {
        MetricsSnapshot result;
        std::lock_guard guard(lock);
        result.counters.insert(counters.begin(), counters.end());
        result.gauges.insert(gauges.begin(), gauges.end());
        for (const auto& [name, family] : histograms) {
            auto& target = result.histograms[name];
            target.help = family.help;
            for (const auto& [labels, histogram] : family.series)
                target.series.emplace(labels, histogram.counts());
        }
        return result;
    }
};

Metrics::Metrics()
{
    for (std::size_t index = 0; index < shardCount; ++index)
        m_shards.push_back(std::make_unique<Shard>());
}

Metrics::~Metrics() = default;

void Metrics::add(const MetricDefinition& definition, const MetricLabels& labels, std::uint64_t amount)
{
    Shard& target = shard(definition, labels);
    std::lock_guard guard(target.lock);
    series(target.counters, definition, labels) += amount;
}

void Metrics::set(const MetricDefinition& definition, double value, const MetricLabels& labels)
{
    Shard& target = shard(definition, labels);
    std::lock_guard guard(target.lock);
    series(target.gauges, definition, labels) = value;
}

void Metrics::observe(const MetricDefinition& definition, Duration duration, const MetricLabels& labels)
{
    Shard& target = shard(definition, labels);
    std::lock_guard guard(target.lock);
    series(target.histograms, definition, labels).add(std::chrono::duration<double>(duration).count());
}

MetricsSnapshot Metrics::snapshot() const
{
    MetricsSnapshot result;
    for (const auto& shard : m_shards)
        result.merge(shard->snapshot());
    return result;
}

const std::vector<double>& Metrics::bucketBounds()
{
    static const std::vector<double> bounds { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25, 60 };
    return bounds;
}

Metrics::Shard& Metrics::shard(const MetricDefinition& definition, const MetricLabels& labels)
{
    std::size_t hash = std::hash<std::string_view>()(definition.name);
    for (const MetricLabel& label : labels)
        hash = hash * 31 + std::hash<std::string>()(label.value);
    return *m_shards[hash % m_shards.size()];
}

} // namespace hemlockchute
