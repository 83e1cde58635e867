#pragma once

#include "hemlockchute/policy/policy.h"
#include "policy/EngineModel.h"
#include "policy/Measurements.h"
#include "policy/SharedService.h"

#include <array>
#include <functional>
#include <random>

namespace hemlockchute::experiment {

/** Names of the strategies that are combined in one run. */
struct StrategySet {
    std::string name;
    std::string queue;
    std::string picker;
    std::string planner;
    /** Whether SlotReserve keeps slots free for more urgent ranks. */
    bool reservesSlots = false;
};

/** State shared by the data centres of one simulation: timers, the weight store, adapter loads, measurements. */
struct SharedSimulation {
    const Deployment& deployment;
    SharedService store;
    SharedService adapters;
    Measurements measurements;
    std::mt19937_64 random;
    /** Schedules a callback after a delay. */
    std::function<void(Duration, std::function<void()>)> after;
};

//==============================================================================
/**
    Simulates one data centre: its engines with their queue, picker, planner and shares of the store's
    limits.

    It represents all routers of the data centre together. Thread safety: one thread at a time.
*/
class DataCentreModel {
public:
    DataCentreModel(SharedSimulation&, const StrategySet&, unsigned index, std::map<ModelName, unsigned> permits);

    /** Accepts a request; `networkDelay` is the time it took from another data centre. */
    void arrive(const Arrival&, Duration networkDelay, Instant now);
    /** Refuses expired requests and assigns free slots to waiting ones. */
    void dispatch(Instant now);
    /** Starts the loads and unloads of a new plan. */
    void plan(Instant now);
    /** Sends another data centre the reports that balance the shares of the store's limits. */
    void report(DataCentreModel& to, Instant now);
    /** Records the memory that was idle during a period. */
    void recordIdle(Duration);

    bool hasPermit(const ModelName& model) const { return m_permits.contains(model); }
    bool serves(const ModelName&) const;
    const DataCentreName& name() const { return m_name; }

private:
    struct Pending {
        Arrival arrival;
        bool wasCold = false;
    };

    struct Use {
        double arrivalRate = 0;
        /** Mean worth of recent requests. */
        double worth = 0;
        Instant last {};
        std::map<AdapterName, unsigned> adapters;
    };

    bool canServe(const EngineModel&, const QueuedRequest&) const;
    void begin(const QueuedRequest&, Instant now);
    void refuse(QueueTicket);
    PlannerInput plannerInput(Instant now);
    unsigned storeLoadsAllowed(Instant now);
    void apply(const PlanStep&, Instant now);
    void load(EngineModel&, const PlanStep&);
    EngineModel& engine(const BackendServerName&);
    void recordUse(const Arrival&, Instant now);

    SharedSimulation& m_simulation;
    DataCentreName m_name;
    std::vector<EngineModel> m_engines;
    std::map<ModelName, unsigned> m_permits;
    std::unique_ptr<RequestQueue> m_queue;
    std::unique_ptr<ServerPicker> m_picker;
    std::unique_ptr<PlacementPlanner> m_planner;
    SlotReserve m_slotReserve;
    RateShare m_rateShare;
    RateShare m_atOnceShare;
    std::map<QueueTicket, Pending> m_pending;
    std::map<ModelName, Use> m_uses;
    QueueTicket m_lastTicket;
    double m_storeTokens = 1;
    Instant m_lastRefill {};
    unsigned m_storeLoads = 0;
    unsigned m_adapterLoads = 0;
};

} // namespace hemlockchute::experiment
