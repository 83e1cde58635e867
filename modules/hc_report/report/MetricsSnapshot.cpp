#include "hemlockchute/report/Metrics.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace hemlockchute {
namespace {

template <typename Value>
void mergeValue(Value& into, const Value& from)
{
    into += from;
}

template <>
void mergeValue(HistogramCounts& into, const HistogramCounts& from)
{
    into.merge(from);
}

template <typename Families>
void mergeFamilies(Families& into, const Families& from)
{
    for (const auto& [name, family] : from) {
        auto& target = into[name];
        target.help = family.help;
        for (const auto& [labels, value] : family.series)
            mergeValue(target.series[labels], value);
    }
}

std::string escaped(const std::string& text)
{
    std::string result;
    for (char character : text) {
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        if (character == '\\' || character == '"')
            result += '\\';
        result += character;
    }
    return result;
}

std::string labelText(const MetricLabels& labels, const std::string& bound = {})
{
    std::string text;
    for (const MetricLabel& label : labels)
        text += (text.empty() ? "" : ",") + label.name + "=\"" + escaped(label.value) + '"';
    if (!bound.empty())
        text += (text.empty() ? "" : ",") + std::string("le=\"") + bound + '"';
    return text.empty() ? text : '{' + text + '}';
}

std::string numberText(double number)
{
    std::ostringstream stream;
    stream << number;
    return stream.str();
}

void writeHead(std::ostream& stream, const std::string& name, const std::string& help, const char* type)
{
    stream << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
}

void writeHistogram(std::ostream& stream, const std::string& name, const MetricLabels& labels, const HistogramCounts& counts)
{
    std::uint64_t cumulative = 0;
    for (std::size_t index = 0; index < counts.buckets.size(); ++index) {
        cumulative += counts.buckets[index];
        bool isLast = index >= Metrics::bucketBounds().size();
        std::string bound = isLast ? "+Inf" : numberText(Metrics::bucketBounds()[index]);
        stream << name << "_bucket" << labelText(labels, bound) << ' ' << cumulative << '\n';
    }
    stream << name << "_sum" << labelText(labels) << ' ' << numberText(counts.sumSeconds) << '\n';
    stream << name << "_count" << labelText(labels) << ' ' << counts.count << '\n';
}

} // namespace

//==============================================================================
void HistogramCounts::merge(const HistogramCounts& other)
{
    buckets.resize(std::max(buckets.size(), other.buckets.size()));
    for (std::size_t index = 0; index < other.buckets.size(); ++index)
        buckets[index] += other.buckets[index];
    count += other.count;
    sumSeconds += other.sumSeconds;
    largestSeconds = std::max(largestSeconds, other.largestSeconds);
}

double HistogramCounts::quantileSeconds(double share) const
{
    if (count == 0)
        return 0;
    auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count)));
    std::uint64_t cumulative = 0;
    for (std::size_t index = 0; index < buckets.size(); ++index) {
        cumulative += buckets[index];
        if (cumulative >= wanted && index < Metrics::bucketBounds().size())
            return std::min(Metrics::bucketBounds()[index], largestSeconds);
    }
    return largestSeconds;
}

void MetricsSnapshot::merge(const MetricsSnapshot& other)
{
    mergeFamilies(counters, other.counters);
    mergeFamilies(gauges, other.gauges);
    mergeFamilies(histograms, other.histograms);
}

std::string MetricsSnapshot::prometheusText() const
{
    std::ostringstream stream;
    for (const auto& [name, family] : counters) {
        writeHead(stream, name, family.help, "counter");
        for (const auto& [labels, value] : family.series)
            stream << name << labelText(labels) << ' ' << value << '\n';
    }
    for (const auto& [name, family] : gauges) {
        writeHead(stream, name, family.help, "gauge");
        for (const auto& [labels, value] : family.series)
            stream << name << labelText(labels) << ' ' << numberText(value) << '\n';
    }
    for (const auto& [name, family] : histograms) {
        writeHead(stream, name, family.help, "histogram");
        for (const auto& [labels, value] : family.series)
            writeHistogram(stream, name, labels, value);
    }
    return stream.str();
}

} // namespace hemlockchute
