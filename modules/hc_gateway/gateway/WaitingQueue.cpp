#include "gateway/WaitingQueue.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <tuple>

namespace hemlockchute {
namespace {

/** Counts below this are forgotten. */
constexpr double negligibleCount = 0.01;

} // namespace

bool WaitingQueue::HasLessSlack::operator()(const Entry* a, const Entry* b) const
{
    return std::tie(a->latestStart, a->terms.arrived, a->number) < std::tie(b->latestStart, b->terms.arrived, b->number);
}

double WaitingQueue::waitedPart(const Entry& entry, Instant now)
{
    Duration whole = std::max<Duration>(entry.terms.deadline - entry.terms.arrived, Duration(1));
    return static_cast<double>((now - entry.terms.arrived).count()) / static_cast<double>(whole.count());
}

//==============================================================================
void WaitingQueue::add(WaitingRequest& request, WaitingTerms terms)
{
    remove(request);
    auto entry = std::make_unique<Entry>();
    entry->request = &request;
    entry->latestStart = terms.deadline - terms.serviceTime;
    entry->number = ++m_added;
    entry->model = &m_models[terms.key];
    entry->terms = std::move(terms);
    entry->model->lanes[urgencyOf(entry->terms)][entry->terms.workspace].insert(entry.get());
    m_entries.emplace(&request, std::move(entry));
}

void WaitingQueue::remove(WaitingRequest& request)
{
    auto found = m_entries.find(&request);
    if (found != m_entries.end())
        erase(*found->second);
}

void WaitingQueue::erase(Entry& entry)
{
    auto& byUrgency = entry.model->lanes;
    auto lanes = byUrgency.find(urgencyOf(entry.terms));
    auto lane = lanes->second.find(entry.terms.workspace);
    lane->second.erase(&entry);
    if (lane->second.empty())
        lanes->second.erase(lane);
    if (lanes->second.empty())
        byUrgency.erase(lanes);
    if (byUrgency.empty())
        m_models.erase(entry.terms.key);
    m_entries.erase(entry.request);
}

//==============================================================================
double WaitingQueue::servedRecently(unsigned rank, const WorkspaceName& workspace, Instant now) const
{
    auto found = m_served.find({ rank, workspace });
    if (found == m_served.end())
        return 0;
    double halfLives = std::chrono::duration<double>(now - found->second.at) / std::chrono::duration<double>(m_options.servedHalfLife);
    double count = found->second.count * std::exp2(-halfLives);
    return count < negligibleCount ? 0 : count;
}

void WaitingQueue::noteServed(const Entry& entry, Instant now)
{
    double count = servedRecently(entry.terms.rank, entry.terms.workspace, now);
    m_served[{ entry.terms.rank, entry.terms.workspace }] = { count + 1, now };
}

void WaitingQueue::forgetServed(Instant now)
{
    std::erase_if(m_served, [&](const auto& item) { return servedRecently(item.first.first, item.first.second, now) == 0; });
}

//==============================================================================
/** One call of distribute(). No server becomes available meanwhile except to requests that are offered it. */
class WaitingQueue::Distribution {
public:
    Distribution(WaitingQueue& queue, const Scope& scope, Instant now)
        : m_queue(queue)
        , m_freed(scope.freed)
        , m_now(now)
    {
        if (!scope.models) {
            for (auto& [key, model] : queue.m_models)
                m_models.push_back(&model);
            return;
        }
        for (const ModelKey& key : *scope.models) {
            auto found = queue.m_models.find(key);
            if (found != queue.m_models.end())
                m_models.push_back(&found->second);
        }
    }

    void run()
    {
        std::map<Urgency, std::vector<Next>> classes;
        for (Model* model : m_models) {
            model->refusals.clear();
            for (const auto& [urgency, lanes] : model->lanes) {
                for (const auto& [workspace, lane] : lanes)
                    classes[urgency].push_back({ servedBy(urgency.second, workspace), 0, lane.begin(), &lane });
            }
        }
        serveLongestWait();
        for (auto& [urgency, nexts] : classes)
            serveClass(std::move(nexts));
    }

    std::vector<WaitingRequest*> finish()
    {
        std::vector<WaitingRequest*> resumed;
        for (Entry* entry : m_served)
            resumed.push_back(entry->request);
        for (Entry* entry : m_inVain) {
            if (!entry->isServed)
                resumed.push_back(entry->request);
        }
        for (Entry* entry : m_served)
            m_queue.erase(*entry);
        return resumed;
    }

private:
    /** The next request of a workspace for a model. */
    struct Next {
        /** The requests of the workspace served recently, now and as of when this was put in order. */
        double* served;
        double servedThen;
        Lane::const_iterator entry;
        const Lane* lane;

        /** The top of a std::priority_queue is the largest. Only whole requests count, so that slack decides between workspaces that were served alike. */
        bool operator<(const Next& other) const { return servedThen != other.servedThen ? servedThen > other.servedThen : HasLessSlack()(*other.entry, *entry); }
    };

    double* servedBy(unsigned rank, const WorkspaceName& workspace)
    {
        auto [found, isNew] = m_servedBy.try_emplace({ rank, workspace });
        if (isNew)
            found->second = m_queue.servedRecently(rank, workspace, m_now);
        return &found->second;
    }

    void serveClass(std::vector<Next> all)
    {
        for (Next& next : all)
            next.servedThen = std::floor(*next.served);
        std::priority_queue<Next> nexts(std::less<Next>(), std::move(all));
        while (!nexts.empty()) {
            Next next = nexts.top();
            nexts.pop();
            double served = std::floor(*next.served);
            if (next.servedThen == served) {
                serve(**next.entry);
                if (++next.entry == next.lane->end())
                    continue;
            }
            next.servedThen = std::floor(*next.served);
            nexts.push(next);
        }
    }

    void serve(Entry& entry)
    {
        if (entry.isServed)
            return;
        if (offer(entry, false)) {
            noteTaken(entry);
            ++m_queue.m_servedSinceFloor;
            serveLongestWait();
        } else if (entry.request->isWaitInVain(m_now))
            m_inVain.push_back(&entry);
    }

    /** Serves the request that has waited for the largest part of its time, if it is the turn of one. */
    void serveLongestWait()
    {
        if (m_queue.m_servedSinceFloor + 1 < m_queue.m_options.floorInterval || m_isFloorExhausted)
            return;
        std::vector<std::pair<double, Entry*>> byWait;
        for (Model* model : m_models) {
            for (const auto& [urgency, lanes] : model->lanes) {
                for (const auto& [workspace, lane] : lanes) {
                    for (Entry* entry : lane) {
                        if (!entry->isServed)
                            byWait.emplace_back(waitedPart(*entry, m_now), entry);
                    }
                }
            }
        }
        auto hasWaitedLess = [](const auto& a, const auto& b) { return a.first != b.first ? a.first < b.first : a.second->number > b.second->number; };
        std::make_heap(byWait.begin(), byWait.end(), hasWaitedLess);
        for (; !byWait.empty(); byWait.pop_back()) {
            std::pop_heap(byWait.begin(), byWait.end(), hasWaitedLess);
            Entry& entry = *byWait.back().second;
            if (offer(entry, true)) {
                noteTaken(entry);
                m_queue.m_servedSinceFloor = 0;
                return;
            }
        }
        m_isFloorExhausted = true;
    }

    /** Offers a server to a request, unless an equal one has just been offered none. Returns whether it took one. */
    bool offer(Entry& entry, bool isPromoted)
    {
        unsigned rank = isPromoted ? 0 : entry.terms.rank;
        auto& refusals = entry.model->refusals;
        auto same = std::find_if(refusals.begin(), refusals.end(), [&](const Refusal& each) { return each.rank == rank && each.isPromoted == isPromoted && *each.excluded == entry.terms.excluded; });
        if (same != refusals.end() && entry.terms.tokens >= same->leastTokens) {
            // Where one server only was checked, the reasons found before still hold.
            if (!isPromoted && !m_freed)
                entry.request->noteNoServer(*same->request);
            return false;
        }
        WaitingRequest::Offer result = entry.request->offerServer(rank, m_freed, m_now);
        if (result == WaitingRequest::Offer::NoServer || result == WaitingRequest::Offer::LacksMemory) {
            std::uint64_t leastTokens = result == WaitingRequest::Offer::NoServer ? 0 : entry.terms.tokens;
            Refusal refusal { rank, isPromoted, &entry.terms.excluded, leastTokens, entry.request };
            if (same == refusals.end())
                refusals.push_back(refusal);
            else
                *same = refusal;
        }
        return result == WaitingRequest::Offer::Taken;
    }

    void noteTaken(Entry& entry)
    {
        entry.isServed = true;
        m_served.push_back(&entry);
        m_queue.noteServed(entry, m_now);
        ++*servedBy(entry.terms.rank, entry.terms.workspace);
    }

    WaitingQueue& m_queue;
    const BackendServerName* m_freed;
    Instant m_now;
    std::vector<Model*> m_models;
    std::map<WorkspaceOfRank, double> m_servedBy;
    std::vector<Entry*> m_served;
    std::vector<Entry*> m_inVain;
    /** True once the longest waiting requests were looked through in vain. */
    bool m_isFloorExhausted = false;
};

std::vector<WaitingRequest*> WaitingQueue::distribute(Instant now, const Scope& scope)
{
    if (!scope.models) {
        m_lastDistribution = now;
        forgetServed(now);
    }
    Distribution distribution(*this, scope, now);
    distribution.run();
    return distribution.finish();
}

} // namespace hemlockchute
