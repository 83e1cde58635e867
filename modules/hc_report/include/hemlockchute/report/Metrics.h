#pragma once

#include "hemlockchute/core/Clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockchute {

/** The name and help text of a metric. Names and label names are in Prometheus's form. */
struct MetricDefinition {
    std::string_view name;
    std::string_view help;
};

/** One label of a series. */
struct MetricLabel {
    std::string name;
    std::string value;

    friend auto operator<=>(const MetricLabel&, const MetricLabel&) = default;
};

using MetricLabels = std::vector<MetricLabel>;

/** The counts of a histogram. */
struct HistogramCounts {
    /** Observations per bucket, not cumulative, in the order of Metrics::bucketBounds(); the last one counts observations above every bound. */
    std::vector<std::uint64_t> buckets;
    std::uint64_t count = 0;
    double sumSeconds = 0;
    double largestSeconds = 0;

    /** Adds another histogram's counts. */
    void merge(const HistogramCounts&);
    /** An upper bound in seconds of the quantile, given as a share from 0 to 1; 0 without observations. */
    double quantileSeconds(double share) const;

    friend bool operator==(const HistogramCounts&, const HistogramCounts&) = default;
};

//==============================================================================
/**
    The values of every series at one moment; snapshots of several hosts can be merged.

    Merging adds counters, histograms and gauges. Thread safety: as std::map.

    @see Metrics
*/
struct MetricsSnapshot {
    template <typename Value>
    struct Family {
        std::string help;
        std::map<MetricLabels, Value> series;

        friend bool operator==(const Family&, const Family&) = default;
    };

    std::map<std::string, Family<std::uint64_t>> counters;
    std::map<std::string, Family<double>> gauges;
    std::map<std::string, Family<HistogramCounts>> histograms;

    /** Adds the values of another host. */
    void merge(const MetricsSnapshot&);
    /** The Prometheus text format, version 0.0.4. */
    std::string prometheusText() const;

    friend bool operator==(const MetricsSnapshot&, const MetricsSnapshot&) = default;
};

//==============================================================================
/**
    Counters, gauges and histograms of one process.

    @code
    constexpr MetricDefinition served { "hemlock_requests_served_total", "Requests answered whole." };
    metrics.add(served, { { "rank", "counter" } });
    @endcode

    Thread safety: every method may be called from any thread; series are kept in shards that each
    have their own lock.

    @see MetricsSnapshot
*/
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /** Adds to a counter. */
    void add(const MetricDefinition&, const MetricLabels& = {}, std::uint64_t amount = 1);
    /** Sets a gauge. */
    void set(const MetricDefinition&, double value, const MetricLabels& = {});
    /** Adds one observation to a histogram. */
    void observe(const MetricDefinition&, Duration, const MetricLabels& = {});

    //==============================================================================
    MetricsSnapshot snapshot() const;
    /** The upper bounds of histogram buckets in seconds, ascending; the same in every process, so that histograms of several hosts can be merged. */
    static const std::vector<double>& bucketBounds();

private:
    struct Shard;

    Shard& shard(const MetricDefinition&, const MetricLabels&);

    std::vector<std::unique_ptr<Shard>> m_shards;
};

} // namespace hemlockchute
