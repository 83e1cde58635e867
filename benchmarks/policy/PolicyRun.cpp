#include "policy/PolicyRun.h"

namespace hemlockchute::experiment {
namespace {

constexpr Duration tickLength = 5ms;
constexpr std::uint64_t ticksPerPlan = 10;
constexpr std::uint64_t ticksPerReport = 100;
constexpr unsigned slowStoreFactor = 10;

} // namespace

PolicyRun::PolicyRun(const Deployment& deployment, const StrategySet& strategies, std::uint64_t seed)
    : m_deployment(deployment)
    , m_simulation { deployment, SharedService(deployment.document->limits.storeLoadsAtOnce),
        SharedService(deployment.document->limits.adaptersInFlight), Measurements(*deployment.document), std::mt19937_64(seed),
        [this](Duration delay, std::function<void()> action) { schedule(m_now + delay, std::move(action)); } }
{
    assignPermits(strategies);
}

void PolicyRun::assignPermits(const StrategySet& strategies)
{
    std::size_t count = m_deployment.dataCentres.size();
    std::vector<std::map<ModelName, unsigned>> permits(count);
    std::size_t next = 0;
    for (const auto& [name, spec] : m_deployment.document->models) {
        for (unsigned replica = 0; replica < spec.replicas; ++replica)
            ++permits[next++ % count][name];
    }
    for (unsigned index = 0; index < count; ++index)
        m_dataCentres.emplace_back(m_simulation, strategies, index, permits[index]);
}

void PolicyRun::schedule(Instant when, std::function<void()> action)
{
    m_events.push({ when, ++m_lastEvent, std::move(action) });
}

void PolicyRun::runDueEvents()
{
    while (!m_events.empty() && m_events.top().when <= m_now) {
        std::function<void()> action = m_events.top().action;
        m_events.pop();
        action();
    }
}

DataCentreModel& PolicyRun::dataCentreFor(const Arrival& arrival)
{
    ModelName model = Deployment::modelName(arrival.model);
    DataCentreModel* mayLoad = nullptr;
    for (std::size_t step = 0; step < m_dataCentres.size(); ++step) {
        DataCentreModel& candidate = m_dataCentres[(arrival.dataCentre + step) % m_dataCentres.size()];
        if (candidate.serves(model))
            return candidate;
        if (!mayLoad && candidate.hasPermit(model))
            mayLoad = &candidate;
    }
    return mayLoad ? *mayLoad : m_dataCentres[arrival.dataCentre];
}

void PolicyRun::arrive(const Arrival& arrival)
{
    DataCentreModel& target = dataCentreFor(arrival);
    bool isLocal = &target == &m_dataCentres[arrival.dataCentre];
    target.arrive(arrival, isLocal ? Duration::zero() : m_deployment.networkDelay, m_now);
}

void PolicyRun::decide(std::uint64_t tick)
{
    if (tick % ticksPerReport == 0) {
        for (DataCentreModel& from : m_dataCentres) {
            for (DataCentreModel& to : m_dataCentres) {
                if (&from != &to)
                    from.report(to, m_now);
            }
        }
    }
    for (DataCentreModel& dataCentre : m_dataCentres) {
        if (tick % ticksPerPlan == 0)
            dataCentre.plan(m_now);
        dataCentre.dispatch(m_now);
        dataCentre.recordIdle(tickLength);
    }
}

Measurements PolicyRun::run(const std::vector<Arrival>& arrivals, Scenario scenario)
{
    std::size_t next = 0;
    for (std::uint64_t tick = 0; m_now < Instant(runLength); ++tick) {
        m_now += tickLength;
        bool isSlow = scenario == Scenario::SlowStore && m_now >= Instant(disturbanceStart) && m_now < Instant(disturbanceEnd);
        m_simulation.store.setSlowdown(isSlow ? slowStoreFactor : 1);
        runDueEvents();
        for (; next < arrivals.size() && Instant(arrivals[next].when) <= m_now; ++next)
            arrive(arrivals[next]);
        decide(tick);
    }
    return m_simulation.measurements;
}

} // namespace hemlockchute::experiment
