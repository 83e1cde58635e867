#pragma once

#include "policy/DataCentreModel.h"

#include <deque>
#include <queue>

namespace hemlockchute::experiment {

//==============================================================================
/**
    Simulates one set of strategies in one scenario, on a simulated clock.

    Thread safety: one thread at a time.
*/
class PolicyRun {
public:
    PolicyRun(const Deployment&, const StrategySet&, std::uint64_t seed);

    /** Runs the simulation to its end. Precondition: called only once. */
    Measurements run(const std::vector<Arrival>&, Scenario);

private:
    struct Event {
        Instant when;
        std::uint64_t number = 0;
        std::function<void()> action;

        friend bool operator<(const Event& a, const Event& b)
        {
            return a.when != b.when ? a.when > b.when : a.number > b.number;
        }
    };

    void assignPermits(const StrategySet&);
    void schedule(Instant, std::function<void()>);
    void runDueEvents();
    void arrive(const Arrival&);
    void decide(std::uint64_t tick);
    DataCentreModel& dataCentreFor(const Arrival&);

    const Deployment& m_deployment;
    SharedSimulation m_simulation;
    std::deque<DataCentreModel> m_dataCentres;
    std::priority_queue<Event> m_events;
    std::uint64_t m_lastEvent = 0;
    Instant m_now {};
};

} // namespace hemlockchute::experiment
