#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/document/Document.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockchute {

/** Identifies a request in a queue. */
using QueueTicket = NumberId<struct QueueTicketTag>;

/** What a queue needs to know of a request. */
struct QueuedRequest {
    QueueTicket ticket;
    RankName rank;
    ModelName model;
    AdapterName adapter;
    Instant arrival;
    Instant deadline;
    /** Expected service time; charged to its model and rank. */
    Duration cost = 1ms;
    /** Expected time until its model and adapter are loaded. */
    Duration readyIn {};
};

/** Why a request was not served. */
enum class RefusalReason {
    /** The maximum queue depth is reached. */
    QueueFull,
    /** The estimated wait exceeds the time to its deadline. */
    WouldMissDeadline,
    /** Its deadline has passed. */
    DeadlinePassed,
    /** Its rank is not declared. */
    UnknownRank
};

/** A refusal, and the time after which the caller may retry. */
struct Refusal {
    QueueTicket ticket;
    RefusalReason reason = RefusalReason::QueueFull;
    Duration retryAfter = 1s;
};

/** The waiting requests of one model. */
struct WaitingModel {
    ModelName model;
    unsigned waiting = 0;
    unsigned bestRankOrder = 0;
    Instant oldestArrival;
};

//==============================================================================
/**
    Admission control and scheduling for waiting requests.

    Strategies differ in the order of service: "rank-fair" and, as baselines for comparison, "fifo"
    and "strict-priority". No request is lost: each one leaves by take(), expire(), remove(),
    setRanks() or a refusal from add(). Thread safety: one thread at a time.

    @see RequestQueueOptions
*/
class RequestQueue {
public:
    virtual ~RequestQueue() = default;

    /** Replaces the ranks and their floors; returns refusals for waiting requests whose rank no longer exists. */
    virtual std::vector<Refusal> setRanks(const std::map<RankName, RankSpec>&) = 0;
    /** Admits a request, or returns why it is refused. Precondition: the ticket is not in the queue. */
    virtual std::optional<Refusal> add(const QueuedRequest&, Instant now) = 0;
    /**
        Removes and returns the next request among those that `canServe` accepts. Precondition:
        expire(now) was called; otherwise requests behind an expired one are passed over.
    */
    virtual std::optional<QueuedRequest> take(const std::function<bool(const QueuedRequest&)>& canServe, Instant now) = 0;
    /** Reports the actual cost of a request that was taken. */
    virtual void charge(const QueuedRequest&, Duration cost, Instant now) = 0;
    /** Removes and refuses every request whose deadline has passed. */
    virtual std::vector<Refusal> expire(Instant now) = 0;
    /** Removes one request, as after its caller disconnects; false when it does not wait. */
    virtual bool remove(QueueTicket) = 0;
    /** Sets how many requests the backend servers can run concurrently; 0 when unknown, which turns off the wait estimate. */
    virtual void setParallelism(unsigned) = 0;

    //==============================================================================
    /** True when a rank has received less than its guaranteed share (its floor), and so may use slots reserved for more urgent ranks. @see SlotReserve */
    virtual bool isBelowFloor(const RankName&) const = 0;
    virtual std::size_t size() const = 0;
    /** The time at which expire() should be called next; nothing when the queue is empty. */
    virtual std::optional<Instant> nextDeadline() const = 0;
    /** The models that requests wait for. */
    virtual std::vector<WaitingModel> waitingModels() const = 0;
};

/** Options that apply to every strategy. */
struct RequestQueueOptions {
    std::size_t maximumWaiting = 4096;
    /** Requests that the backend servers can run concurrently, for the wait estimate; 0 when unknown. */
    unsigned parallelism = 0;

    RequestQueueOptions withMaximumWaiting(std::size_t) const;
    RequestQueueOptions withParallelism(unsigned) const;
};

/** Creates the queue for a strategy; null for an unknown name. Thread safety: any thread. */
std::unique_ptr<RequestQueue> makeRequestQueue(std::string_view strategy, RequestQueueOptions);

} // namespace hemlockchute
