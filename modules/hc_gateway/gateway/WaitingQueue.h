#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/fleet/fleet.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    A request that waits for a server.

    @see WaitingQueue
*/
class WaitingRequest {
public:
    /** What came of asking for a server. */
    enum class Offer {
        /** A server is reserved for the request. */
        Taken,
        /** There is no server for any request with the same model, rank and exclusions. */
        NoServer,
        /** The same, but a request with fewer tokens may fit into a server's memory. */
        LacksMemory,
        /** The request needs none now, for a reason of its own. */
        Declined
    };

    /** Asks for a server as if the request had this rank, and reserves it. If `freed` is set, a place has become available at that server only. */
    virtual Offer offerServer(unsigned rank, const BackendServerName* freed, Instant now) = 0;
    /** There is no server for this request for the same reason as for the other one, which has just been offered none. */
    virtual void noteNoServer(const WaitingRequest& other) = 0;
    /** True when waiting any longer is of no use. */
    virtual bool isWaitInVain(Instant now) = 0;
    /** Resumes the request after it took a server, or when it waits in vain. */
    virtual void resume() = 0;

protected:
    ~WaitingRequest() = default;
};

/** What the place of a request in the order depends on. */
struct WaitingTerms {
    /** True for a stream whose caller has part of it. */
    bool hasBegun = false;
    unsigned rank = 0;
    Instant arrived {};
    Instant deadline {};
    /** The time that the request is expected to need at a server. */
    Duration serviceTime {};
    /** Empty if it belongs to none. */
    WorkspaceName workspace;
    ModelKey key;
    /** Servers that it may not be sent to. */
    std::set<BackendServerName> excluded;
    /** The memory that it needs at a server. */
    std::uint64_t tokens = 0;
};

//==============================================================================
/**
    Decides which waiting request gets a server that becomes available.

    Requests are offered servers in this order: streams that have begun, then by rank, then the
    workspace with the fewest waiting requests served recently, then the least slack (time left
    beyond the time that the request needs), then age. One of every ten servers goes to the request
    that has waited for the largest part of its time, whatever its rank, and in this case with the
    queue limit of the most urgent rank, since its own may leave no room during an overload.

    Use: add() a request, call distribute() whenever a server may have become available, and
    resume() the requests that it returns.

    Thread safety: one thread at a time.

    @see ServerAdmission
*/
class WaitingQueue {
public:
    struct Options {
        /** One of this many servers goes to the request that has waited longest against its time. */
        unsigned floorInterval = 10;
        /** The time in which the number of requests served of a workspace counts half. Longer than most requests run, and short enough that a burst is soon forgotten. */
        Duration servedHalfLife = 5s;
    };

    /** The requests that are to be offered servers. */
    struct Scope {
        /** Those for these models; all without a list. */
        std::optional<std::vector<ModelKey>> models {};
        /** The server where a place has become available; null if it may be any. */
        const BackendServerName* freed = nullptr;
    };

    explicit WaitingQueue(Options options)
        : m_options(options)
    {
    }

    /** Adds a request, which must outlive its stay; replaces its terms if it waits already. */
    void add(WaitingRequest&, WaitingTerms);
    /** No effect if it does not wait. */
    void remove(WaitingRequest&);
    bool isEmpty() const { return m_entries.empty(); }
    /** True while requests for the model wait. */
    bool isWaiting(const ModelKey& key) const { return m_models.contains(key); }

    /** Offers servers to requests in their order. Returns those to resume: the ones that took a server, which no longer wait, and the ones that wait in vain. */
    std::vector<WaitingRequest*> distribute(Instant now, const Scope&);
    /** When servers were last offered to all requests. */
    Instant lastDistribution() const { return m_lastDistribution; }

private:
    /** Requests that were found to have no server, in the current call of distribute(). */
    struct Refusal {
        unsigned rank = 0;
        bool isPromoted = false;
        const std::set<BackendServerName>* excluded = nullptr;
        /** Requests with fewer tokens may still be served. */
        std::uint64_t leastTokens = 0;
        const WaitingRequest* request = nullptr;
    };

    struct Model;

    struct Entry {
        WaitingRequest* request = nullptr;
        WaitingTerms terms;
        /** The latest time at which it can begin and be complete before its deadline; orders by slack at any time. */
        Instant latestStart {};
        std::uint64_t number = 0;
        Model* model = nullptr;
        bool isServed = false;
    };

    struct HasLessSlack {
        bool operator()(const Entry* a, const Entry* b) const;
    };

    /** Streams that have begun sort first. */
    using Urgency = std::pair<bool, unsigned>;
    using Lane = std::set<Entry*, HasLessSlack>;

    /** The waiting requests for a model or adapter. */
    struct Model {
        std::map<Urgency, std::map<WorkspaceName, Lane>> lanes;
        std::vector<Refusal> refusals;
    };

    /** Requests served, as of a time. */
    struct Served {
        double count = 0;
        Instant at {};
    };
    using WorkspaceOfRank = std::pair<unsigned, WorkspaceName>;

    class Distribution;

    static Urgency urgencyOf(const WaitingTerms& terms) { return { !terms.hasBegun, terms.rank }; }
    /** The part of its time that a request has waited; above 1 after its deadline. */
    static double waitedPart(const Entry&, Instant now);
    double servedRecently(unsigned rank, const WorkspaceName&, Instant now) const;
    void noteServed(const Entry&, Instant now);
    void forgetServed(Instant now);
    void erase(Entry&);

    Options m_options;
    std::map<const WaitingRequest*, std::unique_ptr<Entry>> m_entries;
    std::map<ModelKey, Model> m_models;
    std::map<WorkspaceOfRank, Served> m_served;
    unsigned m_servedSinceFloor = 0;
    std::uint64_t m_added = 0;
    Instant m_lastDistribution {};
};

} // namespace hemlockchute
