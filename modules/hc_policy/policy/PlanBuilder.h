#pragma once

#include "hemlockchute/policy/PlacementPlanner.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Collects the steps of one plan and enforces the invariants that hold for every strategy.

    These are: no more replicas than permits, no more memory than an engine has, at most one load of
    a model in flight, no unload of a model that runs requests or has requests waiting, no load on
    an engine that takes no new work, and no more loads from the store and of adapters than allowed.
    The run time depends on the models that are loaded or in demand. Thread safety: one thread at a
    time.

    @see PlacementPlanner
*/
class PlanBuilder {
public:
    /** An engine that could load a model. */
    struct LoadTarget {
        std::size_t engine = 0;
        PlanSource source = PlanSource::Store;
        Duration loadTime {};
        /** Memory that is free now; may be less than the model needs. */
        ByteCount free;
        /** Free memory, including what unloads in progress will free. */
        ByteCount freeSoon;
    };

    /** A loaded model that could be unloaded to make room. */
    struct Victim {
        ModelName model;
        ByteCount memory;
        /** Null when the model's recent use is unknown. */
        const PlannedDemand* demand = nullptr;
    };

    /** The input must outlive the builder. */
    explicit PlanBuilder(const PlannerInput&);

    //==============================================================================
    /** The demand for a model, or null. */
    const PlannedDemand* demand(const ModelName&) const;
    /** The model's entry in the document, or null when it is not declared. */
    const ModelSpec* spec(const ModelName&) const;
    /** Replicas that count against the permits: loaded, loading, unloading and planned. */
    unsigned replicas(const ModelName&) const;
    /** Replicas that serve requests now, on engines that take new work. */
    unsigned serving(const ModelName&) const;
    /** True while a load of the model is in progress or planned. */
    bool isLoading(const ModelName&) const;
    /** The engines that could load a new replica, in the order of the input. */
    std::vector<LoadTarget> loadTargets(const ModelSpec&) const;
    /** The models on an engine that could be unloaded. */
    std::vector<Victim> victims(std::size_t engine) const;

    //==============================================================================
    /** Plans a load if permits, memory and the store limit allow it; returns true when it is planned. */
    bool load(const ModelSpec&, const LoadTarget&);
    /** Reserves memory of an engine, free or about to be freed, so that no other load takes it. */
    void reserveMemory(const LoadTarget&, ByteCount);
    /** Plans the request of a permit, unless the document's replica cap is reached. */
    void requestPermit(const ModelSpec&);
    /** Plans an unload. Precondition: the model is among victims() of that engine. */
    void unload(const ModelName&, std::size_t engine);
    /** Plans loads of the adapters that requests wait for. */
    void loadAdapters(const PlannedDemand&);
    /** Plans unloads of replicas beyond what the permits or the document allow. */
    void shrinkToPermits();
    void returnPermit(const ModelName&);

    unsigned permits(const ModelName&) const;
    std::vector<PlanStep> takeSteps() { return std::move(m_steps); }

private:
    struct ModelState {
        unsigned replicas = 0;
        unsigned serving = 0;
        unsigned loading = 0;
    };

    struct EngineState {
        ByteCount free;
        ByteCount freeSoon;
        std::set<ModelName> inMemory;
        std::set<ModelName> onDisk;
        std::set<ModelName> unloading;
    };

    bool isUnloadable(std::size_t engine, const PlannedModel&) const;
    void loadAdapter(const ModelName&, const AdapterName&);

    const PlannerInput& m_input;
    std::map<ModelName, const PlannedDemand*> m_demand;
    std::map<ModelName, ModelState> m_models;
    std::vector<EngineState> m_engines;
    unsigned m_storeLoadsLeft;
    unsigned m_adapterLoadsLeft;
    std::vector<PlanStep> m_steps;
};

} // namespace hemlockchute
