#pragma once

#include "hemlockchute/policy/RequestQueue.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hemlockchute {

/** The position of a request in the order of arrival. */
using ArrivalNumber = NumberId<struct ArrivalNumberTag>;
using CanServe = std::function<bool(const QueuedRequest&)>;

//==============================================================================
/**
    The waiting requests, indexed by ticket, deadline, rank, model and adapter.

    The order of service is up to a QueueOrder. The run time depends on the models that requests
    wait for. Thread safety: one thread at a time.

    @see QueueOrder
*/
class WaitingRequests {
public:
    /** The requests for one adapter of a model, or for the model without an adapter, in order of arrival. */
    using AdapterQueue = std::map<ArrivalNumber, QueueTicket>;

    /** Requests for one model in one rank. */
    struct Flow {
        std::map<AdapterName, AdapterQueue> adapterQueues;
        unsigned waiting = 0;
        Duration cost {};
    };

    /** Requests of one rank. */
    struct Rank {
        RankSpec spec;
        std::map<ModelName, Flow> flows;
        unsigned waiting = 0;
        Duration cost {};
    };

    /** A request and its position in the order of arrival. */
    struct Candidate {
        ArrivalNumber arrival;
        const QueuedRequest* request = nullptr;
    };

    //==============================================================================
    /** Replaces the ranks. Precondition: the rank of every waiting request is among them. */
    void setRanks(const std::map<RankName, RankSpec>&);
    /** Precondition: the rank is declared and the ticket is not waiting. */
    void add(const QueuedRequest&);
    /** Removes and returns one request; nothing when it is not waiting. */
    std::optional<QueuedRequest> remove(QueueTicket);

    //==============================================================================
    std::size_t size() const { return m_entries.size(); }
    const Rank* rank(const RankName&) const;
    /** All declared ranks, the most urgent first. */
    const std::map<unsigned, Rank>& ranks() const { return m_ranks; }
    /** The requests whose rank is not among the given ones. */
    std::vector<QueueTicket> ticketsOutside(const std::map<RankName, RankSpec>&) const;
    /** The earliest request of a flow that can be served, considering the first of each adapter queue; `request` is null when there is none. */
    Candidate firstServable(const Flow&, const CanServe&) const;
    /** The earliest deadline among the first requests of a flow's adapter queues. Precondition: the flow is not empty. */
    Instant headDeadline(const Flow&) const;
    std::optional<Instant> nextDeadline() const;
    /** The requests whose deadline is at or before `now`. */
    std::vector<QueueTicket> expired(Instant now) const;
    std::vector<WaitingModel> models() const;

private:
    struct Entry {
        QueuedRequest request;
        ArrivalNumber arrival;
    };

    void index(const Entry&);
    void removeFromIndex(const Entry&);
    const QueuedRequest& request(QueueTicket) const;

    std::unordered_map<QueueTicket, Entry> m_entries;
    std::set<std::pair<Instant, QueueTicket>> m_deadlines;
    std::map<unsigned, Rank> m_ranks;
    std::map<RankName, unsigned> m_orders;
    ArrivalNumber m_lastArrival;
};

} // namespace hemlockchute
