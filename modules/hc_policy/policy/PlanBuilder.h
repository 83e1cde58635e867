#pragma once

#include "hemlockchute/policy/PlacementPlanner.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Collects the steps of one plan and refuses those that would break a promise.

    What it keeps whatever the strategy: no more replicas than permits, no more memory than is
    there, one load of a model in flight, no unload of what runs or is waited for, nothing new on an
    engine that takes no new work, no more store and adapter loads than allowed. Its cost follows
    the models that are loaded or in demand. Thread safety: one thread at a time.

    @see PlacementPlanner
*/
class PlanBuilder {
public:
    /** Where a load could go. */
    struct LoadTarget {
        std::size_t engine = 0;
        PlanSource source = PlanSource::Store;
        Duration loadTime {};
        /** Memory that is free there now; may be less than the model needs. */
        ByteCount free;
        /** Free memory and what unloads under way will free. */
        ByteCount freeSoon;
    };

    /** A loaded model that could make room. */
    struct Victim {
        ModelName model;
        ByteCount memory;
        /** Null when nothing is known of the model's recent use. */
        const PlannedDemand* demand = nullptr;
    };

    /** The input must outlive the builder. */
    explicit PlanBuilder(const PlannerInput&);

    //==============================================================================
    /** The demand for a model, or null. */
    const PlannedDemand* demand(const ModelName&) const;
    /** The document's words on a model, or null when it declares none. */
    const ModelSpec* spec(const ModelName&) const;
    /** Replicas that exist or may exist: loaded, loading, unloading and planned. */
    unsigned replicas(const ModelName&) const;
    /** Replicas that serve requests now, on engines that take new work. */
    unsigned serving(const ModelName&) const;
    /** True while a load of the model is under way or planned. */
    bool isLoading(const ModelName&) const;
    /** Engines that could take a new replica, by their place in the input. */
    std::vector<LoadTarget> loadTargets(const ModelSpec&) const;
    /** Models on an engine that could be unloaded. */
    std::vector<Victim> victims(std::size_t engine) const;

    //==============================================================================
    /** Plans a load if a permit and the memory allow it, or asks for a permit. Returns true when the load is planned. */
    bool load(const ModelSpec&, const LoadTarget&);
    /** Holds free and soon-to-be-free memory of an engine for a load that has to wait for it. */
    void reserveMemory(const LoadTarget&, ByteCount);
    /** Asks for a permit when the document's cap leaves room for one. */
    void requestPermit(const ModelSpec&);
    /** Plans an unload. Precondition: the model is among victims() of that engine. */
    void unload(const ModelName&, std::size_t engine);
    /** Plans the loads of adapters that requests wait for. */
    void loadAdapters(const PlannedDemand&);
    /** Plans unloads, and gives permits back, where there are more than the document or the permits allow. */
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
