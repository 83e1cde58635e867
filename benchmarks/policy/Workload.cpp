#include "policy/Workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace hemlockchute::experiment {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr double ordinaryLoad = 0.3;
constexpr double floodLoad = 3.0;
constexpr double popularityExponent = 0.9;
constexpr std::array<double, 3> meanServiceSeconds { 0.5, 1.5, 4.0 };
/** Fraction of requests whose rank differs from the usual rank of their model. */
constexpr double otherRankShare = 0.1;
constexpr double adapterShare = 0.3;
constexpr unsigned burstModels = 24;
constexpr unsigned burstRequestsPerModel = 6;

class WorkloadMaker {
public:
    WorkloadMaker(const Deployment& deployment, std::uint64_t seed)
        : m_deployment(deployment)
        , m_modelCount(static_cast<unsigned>(deployment.document->models.size()))
        , m_random(seed)
    {
        for (unsigned index = 0; index < m_modelCount; ++index)
            m_popularity.push_back(1.0 / std::pow(index + 1.0, popularityExponent));
    }

    /** Adds a steady stream of requests; `load` is a fraction of all slots, `popularity` weights the models. */
    void addStream(Duration from, Duration to, double load, const std::vector<double>& popularity, bool mixRanks)
    {
        std::discrete_distribution<unsigned> pickModel(popularity.begin(), popularity.end());
        double perSecond = load * m_deployment.slots() / meanServiceOf(popularity);
        std::exponential_distribution<double> gap(perSecond);
        for (Duration when = from; when < to;) {
            when += std::chrono::duration_cast<Duration>(Seconds(gap(m_random)));
            addRequest(when, pickModel(m_random), mixRanks);
        }
    }

    /** Adds requests for the least popular models in all data centres within one second. */
    void addBurst(Duration when)
    {
        std::uniform_int_distribution<int> spread(0, 1000);
        for (unsigned number = 0; number < burstModels * burstRequestsPerModel; ++number)
            addRequest(when + std::chrono::milliseconds(spread(m_random)), m_modelCount - 1 - number % burstModels, false);
    }

    std::vector<double> popularity() const { return m_popularity; }

    std::vector<double> popularityInRank(unsigned rank) const
    {
        std::vector<double> result = m_popularity;
        for (unsigned index = 0; index < m_modelCount; ++index) {
            if (index % rankNames.size() != rank)
                result[index] = 0;
        }
        return result;
    }

    std::vector<Arrival> takeArrivals()
    {
        std::stable_sort(m_arrivals.begin(), m_arrivals.end(), [](const Arrival& a, const Arrival& b) { return a.when < b.when; });
        return std::move(m_arrivals);
    }

private:
    static double meanServiceOf(const std::vector<double>& popularity)
    {
        double weighted = 0;
        double sum = 0;
        for (std::size_t index = 0; index < popularity.size(); ++index) {
            weighted += popularity[index] * meanServiceSeconds.at(index % rankNames.size());
            sum += popularity[index];
        }
        return weighted / sum;
    }

    void addRequest(Duration when, unsigned model, bool mixRanks)
    {
        std::uniform_real_distribution<double> share(0, 1);
        std::uniform_int_distribution<unsigned> anyDataCentre(0, static_cast<unsigned>(m_deployment.dataCentres.size()) - 1);
        Arrival arrival;
        arrival.when = when;
        arrival.model = model;
        arrival.rank = model % rankNames.size();
        if (mixRanks && share(m_random) < otherRankShare)
            arrival.rank = (arrival.rank + 1) % rankNames.size();
        arrival.dataCentre = anyDataCentre(m_random);
        if (model < m_deployment.adapterCount && share(m_random) < adapterShare)
            arrival.adapter = AdapterName("adapter" + std::to_string(model));
        double mean = meanServiceSeconds.at(arrival.rank);
        std::gamma_distribution<double> service(4.0, mean / 4.0);
        arrival.serviceTime = std::chrono::duration_cast<Duration>(Seconds(service(m_random)));
        m_arrivals.push_back(arrival);
    }

    const Deployment& m_deployment;
    unsigned m_modelCount;
    std::mt19937_64 m_random;
    std::vector<double> m_popularity;
    std::vector<Arrival> m_arrivals;
};

} // namespace

std::string_view scenarioName(Scenario scenario)
{
    static constexpr std::array<std::string_view, 5> names { "ordinary mix", "burst of first requests", "flood, least urgent",
        "flood, most urgent", "store ten times slower" };
    return names.at(static_cast<std::size_t>(scenario));
}

std::vector<Arrival> makeWorkload(const Deployment& deployment, Scenario scenario, std::uint64_t seed)
{
    WorkloadMaker maker(deployment, seed);
    maker.addStream(0s, runLength, ordinaryLoad, maker.popularity(), true);
    if (scenario == Scenario::BurstOfFirstRequests)
        maker.addBurst(disturbanceStart);
    if (scenario == Scenario::FloodOfLeastUrgent)
        maker.addStream(disturbanceStart, disturbanceEnd, floodLoad, maker.popularityInRank(2), false);
    if (scenario == Scenario::FloodOfMostUrgent)
        maker.addStream(disturbanceStart, disturbanceEnd, floodLoad, maker.popularityInRank(0), false);
    return maker.takeArrivals();
}

} // namespace hemlockchute::experiment
