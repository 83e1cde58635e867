#include "hemlockchute/report/Metrics.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace hemlockchute;

namespace {

constexpr MetricDefinition served { "served_total", "Requests answered whole." };
constexpr MetricDefinition waiting { "waiting", "Requests that wait." };
constexpr MetricDefinition firstToken { "first_token_seconds", "Time to the first token." };

} // namespace

BOOST_AUTO_TEST_SUITE(MetricsTests)

BOOST_AUTO_TEST_CASE(prometheusTextIsExact)
{
    Metrics metrics;
    metrics.add(served, { { "rank", "counter" } }, 3);
    metrics.add(served, { { "rank", "a\"b" } });
    metrics.set(waiting, 2.5);
    std::string text = metrics.snapshot().prometheusText();
    BOOST_TEST(text == "# HELP served_total Requests answered whole.\n"
                       "# TYPE served_total counter\n"
                       "served_total{rank=\"a\\\"b\"} 1\n"
                       "served_total{rank=\"counter\"} 3\n"
                       "# HELP waiting Requests that wait.\n"
                       "# TYPE waiting gauge\n"
                       "waiting 2.5\n");
}

BOOST_AUTO_TEST_CASE(histogramsOfHostsMerge)
{
    Metrics first;
    Metrics second;
    first.observe(firstToken, 1ms);
    first.observe(firstToken, 40ms);
    second.observe(firstToken, 90s);
    MetricsSnapshot merged = first.snapshot();
    merged.merge(second.snapshot());
    const HistogramCounts& counts = merged.histograms.at("first_token_seconds").series.at({});
    BOOST_TEST(counts.count == 3U);
    BOOST_TEST(counts.sumSeconds == 90.041, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(counts.quantileSeconds(0.3) == 0.001);
    BOOST_TEST(counts.quantileSeconds(0.5) == 0.05);
    BOOST_TEST(counts.quantileSeconds(0.99) == 90.0);
    std::string text = merged.prometheusText();
    BOOST_TEST(text.find("first_token_seconds_bucket{le=\"0.025\"} 1\nfirst_token_seconds_bucket{le=\"0.05\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("first_token_seconds_bucket{le=\"60\"} 2\nfirst_token_seconds_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(threadsCountTogether)
{
    Metrics metrics;
    constexpr int threadCount = 4;
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back([&metrics, thread] {
            for (int count = 0; count < 1000; ++count) {
                metrics.add(served, { { "rank", std::to_string(count % 3) } });
                metrics.observe(firstToken, std::chrono::milliseconds(thread));
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    MetricsSnapshot snapshot = metrics.snapshot();
    std::uint64_t sum = 0;
    for (const auto& [labels, value] : snapshot.counters.at("served_total").series)
        sum += value;
    BOOST_TEST(sum == 4000U);
    BOOST_TEST(snapshot.histograms.at("first_token_seconds").series.at({}).count == 4000U);
}

BOOST_AUTO_TEST_SUITE_END()
