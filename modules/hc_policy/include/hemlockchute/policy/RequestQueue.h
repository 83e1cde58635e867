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

/** Names a request in a queue. */
using QueueTicket = NumberId<struct QueueTicketTag>;

/** What a queue needs to know of a request. */
struct QueuedRequest {
    QueueTicket ticket;
    RankName rank;
    ModelName model;
    AdapterName adapter;
    Instant arrival;
    Instant deadline;
    /** Expected cost in service time; charged against its model and rank. */
    Duration cost = 1ms;
    /** Expected time until its model and adapter can serve, as while they load. */
    Duration readyIn {};
};

/** Why a request was not served. */
enum class RefusalReason {
    /** The queue's bound is reached. */
    QueueFull,
    /** It would not have been served by its deadline. */
    WouldMissDeadline,
    /** Its deadline has come. */
    DeadlinePassed,
    /** Its rank is not declared. */
    UnknownRank
};

/** A refusal, with when to come back. */
struct Refusal {
    QueueTicket ticket;
    RefusalReason reason = RefusalReason::QueueFull;
    Duration retryAfter = 1s;
};

/** Requests of one model that wait. */
struct WaitingModel {
    ModelName model;
    unsigned waiting = 0;
    unsigned bestRankOrder = 0;
    Instant oldestArrival;
};

//==============================================================================
/**
    Holds waiting requests and says which goes next.

    Strategies differ in the order; each names itself ("rank-fair" is the project's own,
    "fifo" and "strict-priority" are baselines). No request is ever lost: each leaves by take(),
    expire(), remove() or a refusal from add(). Thread safety: one thread at a time.

    @see QueueStrategyOptions
*/
class RequestQueue {
public:
    virtual ~RequestQueue() = default;

    /** Takes in the ranks and their floors; requests of a rank that is gone come back as refusals. */
    virtual std::vector<Refusal> setRanks(const std::map<RankName, RankSpec>&) = 0;
    /** Adds a request, or says at once why not. Precondition: the ticket is not in the queue. */
    virtual std::optional<Refusal> add(const QueuedRequest&, Instant now) = 0;
    /**
        The request to serve next among those that `canServe` accepts, taken out of the queue.
        Precondition: expire(now) was called, or requests behind one whose deadline has come are passed over.
    */
    virtual std::optional<QueuedRequest> take(const std::function<bool(const QueuedRequest&)>& canServe, Instant now) = 0;
    /** Tells what a request taken earlier really cost. */
    virtual void charge(const QueuedRequest&, Duration cost, Instant now) = 0;
    /** Takes out and refuses every request whose deadline has come. */
    virtual std::vector<Refusal> expire(Instant now) = 0;
    /** Takes out one request, as when its caller has left; false when it is not there. */
    virtual bool remove(QueueTicket) = 0;
    /** Tells how many requests the backend servers can run at once; 0 when unknown, which stops the estimate of waits. */
    virtual void setParallelism(unsigned) = 0;

    //==============================================================================
    /** True when a rank is owed service under its floor, and so may take slots kept for more urgent ranks. @see SlotReserve */
    virtual bool isBelowFloor(const RankName&) const = 0;
    virtual std::size_t size() const = 0;
    /** When expire() should be called next; nothing when the queue is empty. */
    virtual std::optional<Instant> nextDeadline() const = 0;
    /** The models that requests wait for. */
    virtual std::vector<WaitingModel> waitingModels() const = 0;
};

/** Bounds that every strategy keeps. */
struct RequestQueueOptions {
    std::size_t maximumWaiting = 4096;
    /** Requests the backend servers can run at once, to estimate waits; 0 when unknown. */
    unsigned parallelism = 0;

    RequestQueueOptions withMaximumWaiting(std::size_t) const;
    RequestQueueOptions withParallelism(unsigned) const;
};

/** A queue by the name of its strategy, or null when there is none of that name. Thread safety: any thread. */
std::unique_ptr<RequestQueue> makeRequestQueue(std::string_view strategy, RequestQueueOptions);

} // namespace hemlockchute
