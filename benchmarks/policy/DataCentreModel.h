#pragma once

#include "hemlockchute/policy/policy.h"
#include "policy/EngineModel.h"
#include "policy/Measurements.h"
#include "policy/SharedService.h"

#include <array>
#include <functional>
#include <random>

namespace hemlockchute::experiment {

/** The strategies that are measured together. */
struct StrategySet {
    std::string name;
    std::string queue;
    std::string picker;
    std::string planner;
    /** Whether less urgent ranks leave slots free, by SlotReserve. */
    bool reservesSlots = false;
};

/** What the data centres share: the end of things that take time, the store, adapters, measurements. */
struct SharedSimulation {
    const Deployment& deployment;
    SharedService store;
    SharedService adapters;
    Measurements measurements;
    std::mt19937_64 random;
    /** Calls back after so long. */
    std::function<void(Duration, std::function<void()>)> after;
};

//==============================================================================
/**
    One data centre: its engines, and the queue, picker, planner and shares that decide for them.

    It stands for all routers of the data centre at once. Thread safety: one thread at a time.
*/
class DataCentreModel {
public:
    DataCentreModel(SharedSimulation&, const StrategySet&, unsigned index, std::map<ModelName, unsigned> permits);

    /** A request has come; `trip` is what it spent on the way from another data centre. */
    void arrive(const Arrival&, Duration networkDelay, Instant now);
    /** Refuses what is due, gives free slots to waiting requests. */
    void dispatch(Instant now);
    /** Orders loads and unloads. */
    void plan(Instant now);
    /** Tells another data centre of the shares in the store's limits. */
    void report(DataCentreModel& to, Instant now);
    /** Books idle memory for that time. */
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
