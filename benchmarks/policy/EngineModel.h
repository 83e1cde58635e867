#pragma once

#include "hemlockchute/policy/PlacementPlanner.h"

#include <deque>
#include <map>
#include <set>

namespace hemlockchute::experiment {

//==============================================================================
/**
    A small model of one engine: memory, slots, what is loaded and what is cached.

    Thread safety: one thread at a time.
*/
class EngineModel {
public:
    EngineModel(BackendServerName, ByteCount memory, unsigned slots);

    void beginLoad(const ModelSpec&);
    void endLoad(const ModelName&);
    /** Precondition: the model is loaded and nothing runs on it. */
    void beginUnload(const ModelName&);
    void endUnload(const ModelName&);
    void beginAdapter(const AdapterSpec&);
    void endAdapter(const AdapterSpec&);
    void beginRequest(const ModelName&);
    void endRequest(const ModelName&);
    void cacheOnDisk(const ModelName&);

    //==============================================================================
    const BackendServerName& name() const { return m_name; }
    unsigned slots() const { return m_slots; }
    unsigned running() const { return m_running; }
    bool isLoaded(const ModelName&) const;
    /** True when a request for the model and adapter could begin there now, among so many slots. */
    bool canServe(const ModelName&, const AdapterName&, unsigned usableSlots) const;
    PlannedEngine planned() const;
    /** Share of the memory that is held by models on which nothing runs. */
    double idleShare() const;

private:
    struct Model {
        PlannedModel planned;
        std::set<AdapterName> servingAdapters;
    };

    static void cache(std::deque<ModelName>&, const ModelName&, std::size_t maximum);

    BackendServerName m_name;
    ByteCount m_memory;
    ByteCount m_reserved;
    unsigned m_slots;
    unsigned m_running = 0;
    std::map<ModelName, Model> m_models;
    std::deque<ModelName> m_inMemory;
    std::deque<ModelName> m_onDisk;
};

} // namespace hemlockchute::experiment
