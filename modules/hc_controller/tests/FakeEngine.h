#pragma once

#include "hemlockchute/backend/BackendServer.h"

#include <algorithm>
#include <map>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    A small engine with a clock of its own choosing: does each order once by its id, begins it after
    a while, and drops it when its lifetime has passed by then.

    It takes every load on trust: whether that overcommits memory is for the test to see.
*/
class FakeEngine {
public:
    enum class Answer {
        TakenIn,
        Refused,
        StaleFencing
    };

    FakeEngine(BackendServerName name, ByteCount memory, bool enforcesFencing)
        : m_name(std::move(name))
        , m_memory(memory)
        , m_enforcesFencing(enforcesFencing)
    {
    }

    /** `beginsAfter` and `takes` say how slow the engine is with this order. */
    Answer take(const EngineOrder& order, Instant now, Duration beginsAfter, Duration takes)
    {
        advance(now);
        if (std::find(m_seen.begin(), m_seen.end(), order.id) != m_seen.end())
            return Answer::TakenIn;
        if (m_enforcesFencing && order.fencing < m_highestFencing)
            return Answer::StaleFencing;
        m_highestFencing = std::max(m_highestFencing, order.fencing);
        bool isLoad = order.kind == OrderKind::LoadModel;
        if (isLoad == m_models.contains(order.model))
            return Answer::Refused;
        m_seen.push_back(order.id);
        if (m_seen.size() > seenKept)
            m_seen.erase(m_seen.begin());
        m_pending.push_back({ order, now + beginsAfter, now + order.lifetime, takes });
        advance(now);
        return Answer::TakenIn;
    }

    EngineState state(Instant now)
    {
        advance(now);
        EngineState state;
        state.name = m_name;
        state.incarnation = std::to_string(m_incarnation);
        state.enforcesFencing = m_enforcesFencing;
        state.highestFencing = m_highestFencing;
        state.memory = m_memory;
        state.memoryUsed = memoryUsed();
        for (const auto& [name, held] : m_models)
            state.models.push_back(held.model);
        state.ordersSeen = m_seen;
        state.slots = 4;
        return state;
    }

    /** Forgets everything, as a new process does. */
    void restart()
    {
        ++m_incarnation;
        m_models.clear();
        m_seen.clear();
        m_pending.clear();
        m_highestFencing = FencingNumber();
    }

    bool holds(const ModelName& model) const { return m_models.contains(model); }
    bool isOvercommitted() const { return memoryUsed() > m_memory; }

    /** Carries out what is due by then. */
    void advance(Instant now)
    {
        for (std::size_t i = 0; i < m_pending.size();) {
            if (m_pending[i].begins > now) {
                ++i;
                continue;
            }
            Pending pending = m_pending[i];
            m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(i));
            if (pending.begins <= pending.dropAt)
                begin(pending);
        }
        for (auto held = m_models.begin(); held != m_models.end();) {
            bool isDone = held->second.changesAt <= now;
            if (isDone && held->second.model.phase == LoadPhase::Loading)
                held->second.model.phase = LoadPhase::Loaded;
            if (isDone && held->second.model.phase == LoadPhase::Unloading)
                held = m_models.erase(held);
            else
                ++held;
        }
    }

private:
    static constexpr std::size_t seenKept = 64;

    struct Held {
        EngineModel model;
        Instant changesAt;
    };

    struct Pending {
        EngineOrder order;
        Instant begins;
        Instant dropAt;
        Duration takes;
    };

    void begin(const Pending& pending)
    {
        const EngineOrder& order = pending.order;
        auto held = m_models.find(order.model);
        Instant end = pending.begins + pending.takes;
        if (order.kind == OrderKind::LoadModel && held == m_models.end())
            m_models[order.model] = { { order.model, order.version, LoadPhase::Loading, order.memory, {} }, end };
        if (order.kind == OrderKind::UnloadModel && held != m_models.end()) {
            held->second.model.phase = LoadPhase::Unloading;
            held->second.changesAt = end;
        }
        if (order.kind == OrderKind::LoadAdapter && held != m_models.end())
            held->second.model.adapters.push_back(order.adapter);
    }

    ByteCount memoryUsed() const
    {
        ByteCount used;
        for (const auto& [name, held] : m_models)
            used += held.model.memory;
        return used;
    }

    BackendServerName m_name;
    ByteCount m_memory;
    bool m_enforcesFencing;
    FencingNumber m_highestFencing;
    unsigned m_incarnation = 1;
    std::map<ModelName, Held> m_models;
    std::vector<OrderId> m_seen;
    std::vector<Pending> m_pending;
};

} // namespace hemlockchute
