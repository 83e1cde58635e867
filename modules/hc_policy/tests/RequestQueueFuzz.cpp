#include "Property.h"
#include "hemlockchute/policy/RequestQueue.h"

#include <algorithm>
#include <array>

using namespace hemlockchute;

namespace {

constexpr unsigned modelCount = 5;
constexpr unsigned rankCount = 3;
constexpr std::size_t maximumWaiting = 40;

/** One operation on the queue under test. The kind determines the meaning of the numbers. */
struct Step {
    enum class Kind {
        Add,
        Take,
        Advance,
        Remove,
        ChangeRanks,
        ChangeParallelism
    };

    Kind kind = Kind::Add;
    unsigned first = 0;
    unsigned second = 0;
    unsigned third = 0;
};

std::ostream& operator<<(std::ostream& stream, const Step& step)
{
    static constexpr std::array names { "add", "take", "advance", "remove", "ranks", "parallelism" };
    return stream << names.at(static_cast<std::size_t>(step.kind)) << '(' << step.first << ',' << step.second << ',' << step.third << ')';
}

rc::Gen<Step> anyStep()
{
    using Kind = Step::Kind;
    auto kind = rc::gen::weightedElement<Kind>({ { 12, Kind::Add }, { 10, Kind::Take }, { 5, Kind::Advance },
        { 2, Kind::Remove }, { 1, Kind::ChangeRanks }, { 1, Kind::ChangeParallelism } });
    auto number = rc::gen::inRange(0U, 1000U);
    return rc::gen::build<Step>(rc::gen::set(&Step::kind, kind), rc::gen::set(&Step::first, number),
        rc::gen::set(&Step::second, number), rc::gen::set(&Step::third, number));
}

RankName rankName(unsigned index)
{
    return RankName("rank" + std::to_string(index % rankCount));
}

std::map<RankName, RankSpec> ranks(unsigned count)
{
    std::map<RankName, RankSpec> result;
    for (unsigned index = 0; index < count; ++index) {
        RankSpec spec;
        spec.name = rankName(index);
        spec.order = index;
        spec.floorPerMille = 200;
        result[spec.name] = spec;
    }
    return result;
}

/** Applies steps to a queue, and checks it against a model that knows only the set of waiting requests. */
class QueueUnderTest {
public:
    explicit QueueUnderTest(const std::string& strategy)
        : m_queue(makeRequestQueue(strategy, RequestQueueOptions().withMaximumWaiting(maximumWaiting)))
    {
        m_queue->setRanks(ranks(m_ranks));
    }

    void run(const Step& step)
    {
        switch (step.kind) {
        case Step::Kind::Add:
            return add(step);
        case Step::Kind::Take:
            return take(step.first);
        case Step::Kind::Advance:
            return advance(std::chrono::milliseconds(step.first));
        case Step::Kind::Remove:
            return remove(step.first);
        case Step::Kind::ChangeRanks:
            return changeRanks(1 + step.first % rankCount);
        case Step::Kind::ChangeParallelism:
            return changeParallelism(step.first % 4);
        }
    }

    void checkWaitingRequests() const
    {
        RC_ASSERT(m_queue->size() == m_waiting.size());
        std::optional<Instant> next;
        std::map<ModelName, unsigned> models;
        for (const auto& [ticket, request] : m_waiting) {
            next = next ? std::min(*next, request.deadline) : request.deadline;
            ++models[request.model];
        }
        RC_ASSERT((m_queue->nextDeadline() == next));
        std::map<ModelName, unsigned> reported;
        for (const WaitingModel& model : m_queue->waitingModels())
            reported[model.model] = model.waiting;
        RC_ASSERT((reported == models));
    }

private:
    void add(const Step& step)
    {
        QueuedRequest request;
        request.ticket = m_lastTicket = m_lastTicket.next();
        request.rank = rankName(step.first);
        request.model = ModelName("model" + std::to_string(step.second % modelCount));
        request.adapter = AdapterName(step.third % 3 == 0 ? "adapter" : "");
        request.arrival = m_now;
        request.deadline = m_now + std::chrono::milliseconds(step.third * 5);
        request.cost = std::chrono::milliseconds(1 + step.second / 5);
        auto refusal = m_queue->add(request, m_now);
        if (!refusal) {
            RC_ASSERT(step.first % rankCount < m_ranks);
            RC_ASSERT(request.deadline > m_now);
            m_waiting[request.ticket] = request;
            RC_ASSERT(m_waiting.size() <= maximumWaiting);
            return;
        }
        RC_ASSERT((refusal->ticket == request.ticket));
        RC_ASSERT((refusal->retryAfter >= 1s));
        RC_ASSERT(((refusal->reason == RefusalReason::UnknownRank) == (step.first % rankCount >= m_ranks)));
        RC_ASSERT((refusal->reason != RefusalReason::WouldMissDeadline || m_parallelism > 0));
    }

    void take(unsigned servable)
    {
        auto canServe = [&](const QueuedRequest& request) {
            auto model = static_cast<unsigned>(request.model.text().back() - '0');
            return ((servable >> (model * 2 + (request.adapter.isEmpty() ? 0 : 1))) & 1U) != 0;
        };
        auto taken = m_queue->take(canServe, m_now);
        if (!taken) {
            bool anyServable = std::any_of(m_waiting.begin(), m_waiting.end(), [&](const auto& entry) { return canServe(entry.second); });
            RC_ASSERT(!anyServable);
            return;
        }
        RC_ASSERT(m_waiting.contains(taken->ticket));
        RC_ASSERT((taken->deadline > m_now));
        RC_ASSERT(canServe(*taken));
        RC_ASSERT((taken->model == m_waiting[taken->ticket].model));
        m_waiting.erase(taken->ticket);
        m_queue->charge(*taken, std::chrono::milliseconds(servable % 300), m_now);
    }

    void advance(Duration step)
    {
        m_now += step;
        std::vector<QueueTicket> expired;
        for (const auto& [ticket, request] : m_waiting) {
            if (request.deadline <= m_now)
                expired.push_back(ticket);
        }
        RC_ASSERT((sortedTickets(m_queue->expire(m_now)) == expired));
        for (QueueTicket ticket : expired)
            m_waiting.erase(ticket);
    }

    void remove(unsigned number)
    {
        QueueTicket ticket(1 + number % (m_lastTicket.value() + 1));
        RC_ASSERT(m_queue->remove(ticket) == (m_waiting.erase(ticket) > 0));
    }

    void changeRanks(unsigned count)
    {
        std::vector<QueueTicket> removed;
        for (const auto& [ticket, request] : m_waiting) {
            if (!ranks(count).contains(request.rank))
                removed.push_back(ticket);
        }
        RC_ASSERT((sortedTickets(m_queue->setRanks(ranks(count))) == removed));
        for (QueueTicket ticket : removed)
            m_waiting.erase(ticket);
        m_ranks = count;
    }

    void changeParallelism(unsigned parallelism)
    {
        m_parallelism = parallelism;
        m_queue->setParallelism(parallelism);
    }

    static std::vector<QueueTicket> sortedTickets(const std::vector<Refusal>& refusals)
    {
        std::vector<QueueTicket> tickets;
        tickets.reserve(refusals.size());
        for (const Refusal& refusal : refusals)
            tickets.push_back(refusal.ticket);
        std::sort(tickets.begin(), tickets.end());
        return tickets;
    }

    std::unique_ptr<RequestQueue> m_queue;
    Instant m_now { 1h };
    unsigned m_ranks = rankCount;
    unsigned m_parallelism = 0;
    QueueTicket m_lastTicket;
    std::map<QueueTicket, QueuedRequest> m_waiting;
};

void checkRequestsAreConserved(const std::string& strategy)
{
    checkProperty([&] {
        auto steps = *rc::gen::scale(3.0, rc::gen::container<std::vector<Step>>(anyStep()));
        QueueUnderTest queue(strategy);
        for (const Step& step : steps) {
            queue.run(step);
            queue.checkWaitingRequests();
        }
    },
        300);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestQueueFuzz)

BOOST_AUTO_TEST_CASE(rankFairNeitherLosesNorDuplicatesRequests) { checkRequestsAreConserved("rank-fair"); }
BOOST_AUTO_TEST_CASE(fifoNeitherLosesNorDuplicatesRequests) { checkRequestsAreConserved("fifo"); }
BOOST_AUTO_TEST_CASE(strictPriorityNeitherLosesNorDuplicatesRequests) { checkRequestsAreConserved("strict-priority"); }

BOOST_AUTO_TEST_SUITE_END()
