#pragma once

#include "hemlockchute/policy/PlacementPlanner.h"

#include <deque>
#include <map>
#include <set>

namespace hemlockchute::experiment {

//==============================================================================
/**
    Simulates one engine: its memory, slots, loaded models and caches.

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
    /** True if a request for the model and adapter can start now without exceeding `usableSlots`. */
    bool canServe(const ModelName&, const AdapterName&, unsigned usableSlots) const;
    PlannedEngine planned() const;
    /** Returns the fraction of the memory that is used by models without running requests. */
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
