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

/** The outcome of an attempt, as it affects the choice of its backend server. */
enum class AttemptOutcome {
    /** The server gave a complete answer. */
    Answered,
    /** Nothing was sent, or the caller disconnected. */
    Unused,
    /** The server is full, leaving or lacks the model; it gets no work for a short time. */
    Refused,
    /** The server could not be reached, broke off or sent a malformed answer. */
    Failed,
    /** The server did not answer in time; the cause may be its connection rather than the server. */
    TimedOut
};

/** A waiting request and the backend server that is to take it. */
struct Assignment {
    QueuedRequest request;
    BackendServer server;
};

//==============================================================================
/**
    Assigns waiting requests to backend servers.

    It holds the queue, the last placement, the platform's list and the document's drain plans. A
    server gets no new work as soon as the placement, the list or a drain plan says that it is leaving.
    Thread safety: one thread at a time.

    @see RequestQueue, ServerPicker
*/
class DispatchTable {
public:
    /** Strategies by name, and limits. */
    struct Options {
        std::string queueStrategy = "rank-fair";
        std::string pickerStrategy = "two-choices";
        std::size_t maximumWaiting = 4096;
        /** Plain services of this data centre are preferred. */
        DataCentreName dataCentre;
        /** Slots of engines reserved for more urgent ranks. */
        SlotReserve::Options slotReserve;

        Options withQueueStrategy(std::string) const;
        Options withPickerStrategy(std::string) const;
        Options withMaximumWaiting(std::size_t) const;
        Options withDataCentre(DataCentreName) const;
        Options withSlotReserve(SlotReserve::Options) const;
    };

    /** Precondition: strategies of the given names exist. */
    explicit DispatchTable(Options);

    //==============================================================================
    /** Sets the document in force; returns refusals for waiting requests whose rank it no longer declares. */
    std::vector<Refusal> setDocument(DocumentPointer);
    void setPlacement(PlacementView, Instant now);
    void setServers(const std::vector<BackendServer>&);

    //==============================================================================
    /** Estimates the request's cost and adds it to the queue, or returns why it is refused. */
    std::optional<Refusal> add(QueuedRequest, Instant now);
    /** Removes a request from the queue; false when it is not waiting. */
    bool remove(QueueTicket);
    /** Removes and refuses every request whose deadline has passed. */
    std::vector<Refusal> expire(Instant now);
    /** Removes the next request that a server can take from the queue and assigns it. `random`: any 64 random bits. */
    std::optional<Assignment> assignNext(Instant now, std::uint64_t random);
    /** A server for a request that was assigned before, preferably none of those tried. */
    std::optional<BackendServer> assignRetry(const QueuedRequest&, const std::set<BackendServerName>& tried, Instant now, std::uint64_t random);
    /** A server other than the silent one that holds the request, preferably none of those tried. */
    std::optional<BackendServer> assignTakeover(const QueuedRequest&, const BackendServerName& silent, const std::set<BackendServerName>& tried, Instant now, std::uint64_t random);
    /** One more slot of the server that holds the request, which is to move to a new connection; nothing if the server takes no new work. */
    std::optional<BackendServer> assignReconnect(const QueuedRequest&, const BackendServerName&, Instant now);
    /** A server of a plain service, preferably none of those tried. */
    std::optional<BackendServer> assignService(const ServiceName&, const std::set<BackendServerName>& tried, Instant now, std::uint64_t random);
    /** Releases an assignment's slot and records the outcome for the server. */
    void recordAttemptOutcome(const BackendServerName&, AttemptOutcome, Instant now);
    /** Records whether a server that timed out answers on a new connection. */
    void recordProbe(const BackendServerName&, bool isAlive, Instant now);
    /** Charges the request's duration to its rank and updates the model's cost estimate. */
    void recordDuration(const QueuedRequest&, Duration, Instant now);
    /** Takes a retry from the server's retry budget; returns the back-off, or nothing when the budget is exhausted. */
    std::optional<Duration> takeRetry(const BackendServerName&, unsigned retry, std::uint64_t random);

    //==============================================================================
    /** True when some engine has the model loaded, with the adapter if one is given. */
    bool isLoaded(const ModelName&, const AdapterName&) const;
    /** Waiting requests, and arrivals since the last report that was marked as delivered. */
    DemandReport demand(const HostName& self, Instant now) const;
    /** Notes that the report was delivered to a controller; its arrivals are not reported again. */
    void markReported(const DemandReport&);
    std::size_t queueDepth() const { return m_queue->size(); }
    bool hasPlacement() const { return m_placementReceivedAt > Instant {}; }

private:
    struct Engine {
        PlacedEngine placed;
        /** Requests of other routers at the engine when the placement was reported. */
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
