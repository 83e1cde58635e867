#pragma once

#include "hemlockchute/backend/Placement.h"
#include "hemlockchute/document/Document.h"
#include "hemlockchute/policy/PlacementPlanner.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hemlockchute {

/** An order and the engine it is for, as other entry hosts keep it. */
struct RecordedOrder {
    BackendServerName engine;
    EngineOrder order;

    friend bool operator==(const RecordedOrder&, const RecordedOrder&) = default;
};

/** Every order of a data centre whose outcome its leader does not know yet. */
struct OrderRecord {
    FencingNumber fencing;
    /** Rises with each record of one term. */
    std::uint64_t sequence = 0;
    std::vector<RecordedOrder> orders;

    friend bool operator==(const OrderRecord&, const OrderRecord&) = default;
};

//==============================================================================
/**
    What may be true of a data centre's engines, and the orders given to them, during one term.

    Memory and replicas are counted for the largest thing that may be true: what an engine's newest
    state shows, and every load whose outcome is not known. A load that may have arrived is sent
    again under its own id, which an engine does once, until the engine has certainly taken it in or
    certainly never will. Docs: docs/design/orders.md. It does no I/O and reads no clock.

    @code
    if (auto order = book.issue(request, permits, now)) {
        record(book.record());
        book.noteSending(order->order.id, now());
        book.noteSent(order->order.id, send(*order), now());
    }
    @endcode

    Thread safety: one thread at a time.

    @see LeaseKeeper
*/
class OrderBook {
public:
    /** Lengths of time. */
    struct Options {
        /** How long after its receipt an engine may begin an order. */
        Duration orderLifetime = 2s;
        /** How long a copy of an order may be under way before it is given up. */
        Duration sendTimeout = 1s;
        /** Pause before a copy is sent again. */
        Duration resendInterval = 500ms;
        /** Part of a time that clocks may drift by. */
        unsigned driftPerMille = 50;
        /** An engine that is not listed and not heard of for so long has left for good. */
        Duration goneAfter = 30s;
        /** An engine whose state was not read for so long takes no new work. */
        Duration answersWithin = 2s;
        /** An engine without a newer state is given no loads. */
        Duration freshness = 5s;

        Options withOrderLifetime(Duration) const;
        Options withSendTimeout(Duration) const;
    };

    /** What became of one copy of an order. */
    enum class SendOutcome {
        /** No byte left. */
        NotSent,
        /** The engine took it in. */
        TakenIn,
        /** The engine refused it. */
        Refused,
        /** It may have arrived, or may yet arrive. */
        Unknown
    };

    /** An order that is wanted. */
    struct OrderRequest {
        OrderKind kind = OrderKind::LoadModel;
        BackendServerName engine;
        ModelName model;
        std::string version;
        AdapterName adapter;
        LoadSource source = LoadSource::Store;
        ByteCount memory;
        /** How long the load should take. */
        Duration expectedTime {};
    };

    /** `ordersFrom`: when no earlier leader can send orders any more. `idPrefix` must be new in every term. */
    OrderBook(FencingNumber, Instant ordersFrom, std::string idPrefix, Options);

    //==============================================================================
    /** Sets the engines that the platform lists. */
    void setServers(const std::vector<BackendServer>&, Instant now);
    /** Sets what adapters and models weigh. Precondition: not null. */
    void setDocument(DocumentPointer);
    /** Takes the orders that an earlier leader may have sent. */
    void inherit(const OrderRecord&, Instant now);
    /** Takes an engine's own state; `readBegun` is when it was asked for. */
    void noteState(const BackendServerName&, EngineState, Instant readBegun, Instant now);

    //==============================================================================
    /** Enters an order, unless it could load more than `permits` replicas, overcommit memory, or the engine is not known well enough. */
    std::optional<RecordedOrder> issue(const OrderRequest&, unsigned permits, Instant now);
    /** Says that a copy is about to be sent. Precondition: the order is in the book. */
    void noteSending(const OrderId&, Instant now);
    /** Says what became of a copy. */
    void noteSent(const OrderId&, SendOutcome, Instant now);
    /** Forgets an order of which no copy was sent. */
    void withdraw(const OrderId&);
    /** Orders of which another copy should be sent now. */
    std::vector<RecordedOrder> ordersToResend(Instant now) const;
    /** Every order whose outcome is not known; the sequence rises with each call. */
    OrderRecord record();

    //==============================================================================
    /**
        Replicas of a model that may be loaded, are loading or unloading. An engine that an earlier
        leader may have used, and whose state has not been read since, counts as holding one.
    */
    unsigned possibleReplicas(const ModelName&) const;
    /** Models of which possibleReplicas() is above zero. */
    std::set<ModelName> possibleModels() const;
    /** Memory of an engine that may be in use. */
    ByteCount reservedMemory(const BackendServerName&) const;
    /** Loads from the store whose end is not known, on engines whose state is being read. */
    unsigned storeLoadsInFlight(Instant now) const;
    /** Adapter loads whose end is not known. */
    unsigned adapterLoadsInFlight() const;
    bool hasUnsettledOrders() const { return !m_orders.empty(); }
    /** True while an engine's state is being read. */
    bool isAnswering(const BackendServerName&, Instant now) const;
    /** True while an engine has an order whose outcome is not known, or a model that is neither loaded nor gone. */
    bool isChanging(const BackendServerName&) const;
    /** True when the engine's state is known well enough to order anything. */
    bool mayOrder(const BackendServerName&, Instant now) const;
    /** When all engines may be trusted to hold nothing of an earlier leader that is not known. */
    Instant trustFrom() const { return m_trustFrom; }

    //==============================================================================
    /** The engines as the planner sees them; models in `busy` are taken to be running. */
    std::vector<PlannedEngine> plannedEngines(const std::set<ModelName>& busy, Instant now) const;
    /** The engines as routers see them. */
    std::vector<PlacedEngine> placedEngines(Instant now) const;
    /** When models that are loading should be ready. */
    std::map<ModelName, Duration> readyIn(Instant now) const;
    /** The engines to ask for their state. */
    std::vector<BackendServer> engines() const;

private:
    struct Engine {
        BackendServer server;
        std::optional<EngineState> state;
        Instant readBegun {};
        Instant lastHeard {};
        Instant firstListed {};
        bool isListed = false;
    };

    struct Order {
        RecordedOrder recorded;
        unsigned openCopies = 0;
        bool isSending = false;
        bool wasSent = false;
        bool isTaken = false;
        /** Once taken: the engine does not begin it after this. */
        Instant beginsBefore {};
        Instant lastCopy {};
        /** No copy was sent after this. What was read before it says nothing about the last copy. */
        Instant lastSending {};
        Instant expectedEnd {};
    };

    /** What may be true of one model on one engine. */
    struct PossibleModel {
        ByteCount memory;
        LoadPhase phase = LoadPhase::Loading;
        bool isInState = false;
        std::vector<AdapterName> adapters;
    };

    bool mayHoldAnything(const Engine&) const;
    const Engine* find(const BackendServerName&) const;
    std::map<ModelName, PossibleModel> possibleOn(const Engine&) const;
    void addOrder(const Order&, std::map<ModelName, PossibleModel>&) const;
    ByteCount adapterMemory(const AdapterName&) const;
    ByteCount modelMemory(const EngineModel&) const;
    bool isSound(const OrderRequest&, unsigned permits) const;
    void noteTaken(Order&, Instant now) const;
    bool isSettled(const Order&, const Engine&, Instant now) const;
    bool isSettledByState(const Order&, const Engine&) const;
    void settle(Instant now);
    Duration withDrift(Duration) const;

    FencingNumber m_fencing;
    std::string m_idPrefix;
    Options m_options;
    Instant m_trustFrom;
    DocumentPointer m_document = std::make_shared<Document>();
    std::uint64_t m_lastOrder = 0;
    std::uint64_t m_lastRecord = 0;
    std::map<BackendServerName, Engine> m_engines;
    std::map<OrderId, Order> m_orders;
    /** Loads from the store that an engine still carries out. */
    std::set<std::pair<BackendServerName, ModelName>> m_storeLoads;
    std::map<std::pair<BackendServerName, ModelName>, Instant> m_loadEnds;
};

} // namespace hemlockchute
