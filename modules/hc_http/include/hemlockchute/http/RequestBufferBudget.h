#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/http/BufferBudget.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlockchute {

/** Why an HttpServer refused a request or closed a connection. */
enum class RequestRefusal {
    /** The body is larger than the limit or than the whole budget, or its chunk headers are. */
    BodyTooLarge,
    /** The header is larger than the limit. */
    HeaderTooLarge,
    /** The request arrived too slowly while others waited for its memory or its descriptor. */
    TooSlow,
    /** There was no memory for the request within the read time-out. */
    NoMemory,
    /** The connection was idle, and another one needed its descriptor. */
    IdleClosed
};

/** The value of the label "cause" of the metric for each refusal. */
constexpr std::array<const char*, 5> requestRefusalNames { "body-too-large", "header-too-large", "too-slow", "no-memory", "idle-closed" };

//==============================================================================
/**
    Decides which callers' requests may use memory, and which incomplete one has to give it up.

    A request registers with begin() and asks for its bytes with tryResize() before it reads more. If
    there is no room, it waits until its `wake` is called, and meanwhile calls abortSlow() now and then,
    which aborts the slowest incomplete requests while they keep others waiting. A request that is
    received at the minimum rate or faster, or that has been received completely, is not aborted.

    If incomplete requests that wait for more hold all memory, none of them can continue, and the one
    that began last is aborted.

    The servers of a process share one budget. The functions `wake` and `abort` are called without a lock
    held, on any thread, and possibly after end(). Thread safety: any thread.

    @see HttpServer, BufferBudget
*/
class RequestBufferBudget {
public:
    using Id = std::uint64_t;

    struct Options {
        /** Bound on the bytes of all requests. A quarter of it is a reserve for small ones. */
        std::size_t total = 64U << 20U;
        /** Size of the requests that may use the reserve: a body of 64 KiB, its string of half the size while a chunked one grows, the read buffer and the header. */
        std::size_t small = 128U << 10U;
        /** The span over which a request's rate is measured. */
        Duration window = 2s;
        /** Bytes a second. Not even a request of 64 KiB is complete within the read time-out of 10 s at this rate. */
        double minimumRate = 4096;

        Options withTotal(std::size_t) const;
        Options withSmall(std::size_t) const;
        Options withWindow(Duration) const;
        Options withMinimumRate(double) const;
    };

    struct Callbacks {
        /** There may be room for a request that waits. */
        std::function<void()> wake;
        /** The request has to be refused, and its memory released. */
        std::function<void()> abort;
    };

    enum class Grant {
        Granted,
        /** There is no room at present. */
        Waiting,
        /** The bytes exceed the budget even without any other request. */
        Impossible
    };

    explicit RequestBufferBudget(Options);

    /** The least total with which bodies of 4 MiB are read whose length is not announced: while such a body grows, its string exists twice. */
    static constexpr std::size_t minimumTotal = 16U << 20U;

    /** The total for a machine without a setting: a quarter of its memory, but at least 16 MiB. */
    static std::size_t defaultTotal();
    /** A budget of that total. */
    static std::shared_ptr<RequestBufferBudget> withBytes(std::size_t total);

    //==============================================================================
    /** Registers a request that begins to arrive and holds nothing. */
    Id begin(Callbacks, Instant now);
    /** Sets the bytes that a request holds if there is room for them; otherwise it holds what it held, and is in the queue until it is granted a size. Requests that are not small are granted in the order in which they began to wait. */
    Grant tryResize(Id, std::size_t bytes, Instant now);
    /** Records bytes received for a request. */
    void noteReceived(Id, std::size_t bytes, Instant now);
    /** Marks a request as received completely. */
    void complete(Id);
    /** Releases all memory of a request. Unknown ids are ignored. */
    void end(Id);
    /** Aborts slow requests if that makes room for the next one that waits. Each waiting request may call it at any rate. */
    void abortSlow(Instant now);
    /** Takes an abort back, once for each request, since bytes have arrived that this process has not read yet; false if the request has to end. */
    bool spare(Id, Instant now);

    //==============================================================================
    std::size_t reservedBytes() const { return m_budget.reservedBytes(); }
    void countRefusal(RequestRefusal);
    /** Refusals so far, in the order of requestRefusalNames. */
    std::array<std::uint64_t, requestRefusalNames.size()> refusals() const;
    /** The metrics in Prometheus's text format. */
    std::string prometheusText() const;

private:
    struct Request {
        Callbacks callbacks;
        std::size_t bytes = 0;
        bool isComplete = false;
        bool isAborted = false;
        bool isSparable = true;
        /** The bytes that it waits for, or 0. */
        std::size_t wanted = 0;
        /** Its place in the queue, if it waits. */
        std::uint64_t place = 0;
        /** The last time at which it waited or its measurement began. */
        Instant readSince;
        Instant windowStart;
        std::size_t inWindow = 0;
        std::size_t inLastWindow = 0;
    };
    using Queue = std::map<std::uint64_t, Id>;
    using Functions = std::vector<std::function<void()>>;

    static void restartMeasurement(Request&, Instant now);
    void advanceWindow(Request&, Instant now) const;
    double rate(const Request&, Instant now) const;
    bool isSmall(std::size_t bytes) const { return bytes <= m_options.small; }
    Queue& queueFor(std::size_t bytes) { return isSmall(bytes) ? m_smallQueue : m_queue; }
    void leaveQueue(Request&);
    void appendFirst(const Queue&, Functions&) const;
    /** The functions to call without the lock, after memory was released. */
    Functions wakeCallbacks() const;
    std::size_t bytesShort(const Request& waiting) const;
    std::vector<Request*> slowRequests(Instant now);
    Request* lastOfDeadlock(const Request& first);
    void abortFor(const Request& waiting, Instant now, Functions&);

    Options m_options;
    BufferBudget m_budget;
    mutable std::mutex m_lock;
    std::map<Id, Request> m_requests;
    Id m_nextId = 1;
    std::uint64_t m_nextPlace = 1;
    /** The requests that wait, by place. */
    Queue m_queue;
    Queue m_smallQueue;
    Instant m_nextCheck {};
    std::array<std::uint64_t, requestRefusalNames.size()> m_refusals {};
};

} // namespace hemlockchute
