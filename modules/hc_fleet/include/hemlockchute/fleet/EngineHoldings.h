#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/fleet/ListedServer.h"

#include <map>
#include <utility>

namespace hemlockchute {

/** True if the adapter is among those of the model. */
bool containsAdapter(const HeldModels& models, const ModelName&, const AdapterName&);
/** The number of adapters of all models. */
std::size_t countAdapters(const HeldModels& models);

//==============================================================================
/**
    What one server holds, by its reports and by the orders that it has accepted since.

    The answer to an order says that the order is being carried out, not that it is complete: an
    adapter whose unload was accepted keeps its place until the requests that use it have ended, and
    one whose load was accepted may still be on its way. An order therefore never frees a place here
    by itself; the place is free once the server answers that it does not hold the adapter, or reports
    so after it has accepted the order.

    Thread safety: one thread at a time.

    @see PlacementDirector, ModelPlacer
*/
class EngineHoldings {
public:
    /** The models that the server holds, with the adapters that requests can use. */
    const HeldModels& models() const { return m_models; }
    /** Adapters that the server reported as being loaded. */
    const HeldModels& pendingAdapters() const { return m_pending; }
    /** Adapters that are being unloaded, which requests cannot use; they keep their places. */
    HeldModels leavingAdapters() const { return adaptersOf(m_leaving); }
    /** Those of models() and pendingAdapters() whose load was accepted and that no report has shown as held yet. */
    HeldModels unconfirmedAdapters() const { return adaptersOf(m_unconfirmed); }
    /** The orders that the server has accepted in this incarnation. */
    std::uint64_t ordersAccepted() const { return m_ordersAccepted; }

    //==============================================================================
    /**
        Applies a report. One that is older than the last accepted order tells only of the orders accepted before it.

        After noteUncertain() a report replaces everything, whatever its age: the next order is accepted only if
        the server has accepted no other one since.
    */
    void applyReport(const EngineReport&, Instant now);
    /** It is not known whether the server has accepted an order. */
    void noteUncertain() { m_lastAccepted.reset(); }
    /** The server has accepted an order. */
    void noteOrderAccepted(Instant now);
    /** The server holds a model. */
    void addModel(const ModelName& model) { m_models.try_emplace(model); }
    /** A model can no longer be used; so can none of its adapters. */
    void removeModel(const ModelName&);
    /** The load of an adapter was accepted. Call it after noteOrderAccepted(). */
    void addAdapter(const ModelName&, const AdapterName&);
    /** The unload of an adapter was accepted. Call it after noteOrderAccepted(). */
    void beginUnload(const ModelName&, const AdapterName&);
    /** The server does not hold an adapter, or may no longer hold it and is to report again. */
    void removeAdapter(const ModelName&, const AdapterName&);
    /** Forgets which loads and unloads are in progress, as another host may have given orders since. The next report replaces the rest. */
    void forgetOrders();

private:
    /** Adapters, and the number of orders that the server had accepted with the one for them. */
    using Orders = std::map<std::pair<ModelName, AdapterName>, std::uint64_t>;

    static HeldModels adaptersOf(const Orders&);
    void settleOrders(const EngineReport&, bool isCurrent);

    HeldModels m_models;
    HeldModels m_pending;
    Orders m_leaving;
    Orders m_unconfirmed;
    std::uint64_t m_ordersAccepted = 0;
    std::optional<Instant> m_lastAccepted;
};

} // namespace hemlockchute
