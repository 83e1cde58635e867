#pragma once

#include "hemlockchute/backend/BackendServer.h"
#include "hemlockchute/backend/Placement.h"
#include "hemlockchute/document/Document.h"
#include "hemlockchute/policy/SlotReserve.h"
#include "hemlockchute/policy/policy.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace hemlockchute {

/** How an attempt at a backend server ended, as far as the server is concerned. */
enum class AttemptOutcome {
    /** It gave a whole answer. */
    Answered,
    /** Nothing was asked of it, or the caller gave up. */
    Unused,
    /** It is full, leaving or lacks the model: it takes no work for a moment. */
    Refused,
    /** It could not be reached or broke off. */
    Failed,
    /** It fell silent: its connection may be at fault, not the server. */
    TimedOut
};

/** A waiting request and the backend server that is to take it. */
struct Assignment {
    QueuedRequest request;
    BackendServer server;
};

//==============================================================================
/**
    What a router knows of waiting requests and backend servers, and who gets what next.

    It holds the queue, the last placement, the platform's list and the document's drain plans. A
    server gets no new work as soon as any of the three says that it leaves. Thread safety: one
    thread at a time.

    @see RequestQueue, ServerPicker
*/
class DispatchTable {
public:
    /** Strategies by name, and bounds. */
    struct Options {
        std::string queueStrategy = "rank-fair";
        std::string pickerStrategy = "two-choices";
        std::size_t maximumWaiting = 4096;
        /** Plain services of this data centre go first. */
        DataCentreName dataCentre;
        /** Slots of engines that ranks leave to more urgent ones. */
        SlotReserve::Options slotReserve;

        Options withQueueStrategy(std::string) const;
        Options withPickerStrategy(std::string) const;
        Options withMaximumWaiting(std::size_t) const;
        Options withDataCentre(DataCentreName) const;
        Options withSlotReserve(SlotReserve::Options) const;
    };

    /** Precondition: there are strategies of the names given. */
    explicit DispatchTable(Options);

    //==============================================================================
    /** Takes a document in force; returns the waiting requests whose rank is gone. */
    std::vector<Refusal> setDocument(DocumentPointer);
    /** Takes the controller's view. */
    void setPlacement(PlacementView, Instant now);
    /** Takes the platform's list. */
    void setServers(const std::vector<BackendServer>&);

    //==============================================================================
    /** Adds a request to the queue, or says why not; its cost is estimated here. */
    std::optional<Refusal> add(QueuedRequest, Instant now);
    /** Takes a request out; false when it does not wait. */
    bool remove(QueueTicket);
    /** Takes out and refuses every request whose deadline has come. */
    std::vector<Refusal> expire(Instant now);
    /** The next request that a server can take, taken out of the queue. `random`: any 64 random bits. */
    std::optional<Assignment> assignNext(Instant now, std::uint64_t random);
    /** A server for a request that was assigned before, other than those tried if there is one. */
    std::optional<BackendServer> assignRetry(const QueuedRequest&, const std::set<BackendServerName>& tried, Instant now, std::uint64_t random);
    /** A server of a plain service, other than those tried if there is one. */
    std::optional<BackendServer> assignService(const ServiceName&, const std::set<BackendServerName>& tried, Instant now, std::uint64_t random);
    /** Gives back what an assignment took up. */
    void recordAttemptOutcome(const BackendServerName&, AttemptOutcome, Instant now);
    /** Tells what a fresh connection to a server that fell silent came to. */
    void recordProbe(const BackendServerName&, bool isAlive, Instant now);
    /** Tells how long a request took, to charge it and to estimate the next. */
    void recordDuration(const QueuedRequest&, Duration, Instant now);
    /** Takes one retry out of the server's budget; the pause before it, or nothing when there is none left. */
    std::optional<Duration> takeRetry(const BackendServerName&, unsigned retry, std::uint64_t random);

    //==============================================================================
    /** True when some server has the model, and the adapter, loaded. */
    bool isLoaded(const ModelName&, const AdapterName&) const;
    /** What waits, and what came in since the last report that was noted. */
    DemandReport demand(const HostName& self, Instant now) const;
    /** The report has reached a controller: its arrivals are not told again. */
    void markReported(const DemandReport&);
    std::size_t queueDepth() const { return m_queue->size(); }
    bool hasPlacement() const { return m_placementReceivedAt > Instant {}; }

private:
    struct Engine {
        PlacedEngine placed;
        /** Others' requests there when the view was made. */
        unsigned othersRunning = 0;
    };

    bool acceptsNewWork(const BackendServerName&) const;
    bool isPaused(const BackendServerName& engine, Instant now) const;
    std::vector<std::size_t> enginesFor(const ModelName&, const AdapterName&, Instant now) const;
    std::vector<std::size_t> withoutTried(std::vector<std::size_t>, const std::set<BackendServerName>&) const;
    /** An engine with a free slot that the rank may take. */
    std::optional<std::size_t> pickEngine(const std::vector<std::size_t>&, const RankName&, Instant now, std::uint64_t random) const;
    unsigned usableSlots(unsigned slots, const RankName&) const;
    void estimateParallelism();
    std::vector<BackendServer> serversOf(const ServiceName&, const std::set<BackendServerName>& tried, Instant now) const;
    ServerCandidate candidate(const Engine&, const RankName&, Instant now) const;
    BackendServer reserveSlot(const Engine&);
    unsigned outstanding(const BackendServerName&) const;

    Options m_options;
    std::unique_ptr<RequestQueue> m_queue;
    std::unique_ptr<ServerPicker> m_picker;
    EjectionTable m_ejections;
    SlotReserve m_slotReserve;
    std::map<BackendServerName, RetryBudget> m_budgets;
    DocumentPointer m_document;

    std::vector<Engine> m_engines;
    std::map<ModelName, std::vector<std::size_t>> m_enginesByModel;
    Instant m_placementReceivedAt;
    std::map<BackendServerName, BackendServer> m_listedServers;
    std::map<ServiceName, std::vector<BackendServerName>> m_services;
    bool m_hasList = false;

    std::map<BackendServerName, unsigned> m_outstanding;
    std::map<BackendServerName, Instant> m_pausedUntil;
    std::unordered_map<QueueTicket, QueuedRequest> m_waiting;
    std::map<ModelName, unsigned> m_arrivals;
    std::map<ModelName, Duration> m_averageDuration;
};

} // namespace hemlockchute
