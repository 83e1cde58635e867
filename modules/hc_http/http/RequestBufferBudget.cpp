#include "hemlockchute/http/RequestBufferBudget.h"

#include <algorithm>
#include <unistd.h>

namespace hemlockchute {
namespace {

constexpr std::size_t defaultMemoryDivisor = 4;
constexpr std::size_t reserveDivisor = 4;
/** Thousands of requests may wait at once, and each check goes through all of them. */
constexpr Duration checkInterval = 100ms;

BufferBudget::Options budgetOptions(const RequestBufferBudget::Options& options)
{
    std::size_t reserve = options.total / reserveDivisor;
    return BufferBudget::Options().withPerHolder(options.total).withTotal(options.total - reserve).withSmall(options.small).withReserve(reserve);
}

} // namespace

RequestBufferBudget::RequestBufferBudget(Options options)
    : m_options(options)
    , m_budget(budgetOptions(options))
{
}

std::size_t RequestBufferBudget::defaultTotal()
{
    auto pages = static_cast<std::size_t>(std::max(0L, ::sysconf(_SC_PHYS_PAGES)));
    auto pageBytes = static_cast<std::size_t>(std::max(0L, ::sysconf(_SC_PAGESIZE)));
    return std::max(minimumTotal, pages * pageBytes / defaultMemoryDivisor);
}

std::shared_ptr<RequestBufferBudget> RequestBufferBudget::withBytes(std::size_t total)
{
    return std::make_shared<RequestBufferBudget>(Options().withTotal(total));
}

//==============================================================================
RequestBufferBudget::Id RequestBufferBudget::begin(Callbacks callbacks, Instant now)
{
    std::lock_guard guard(m_lock);
    Id id = m_nextId++;
    Request& request = m_requests[id];
    request.callbacks = std::move(callbacks);
    restartMeasurement(request, now);
    return id;
}

RequestBufferBudget::Grant RequestBufferBudget::tryResize(Id id, std::size_t bytes, Instant now)
{
    Functions callbacks;
    {
        std::lock_guard guard(m_lock);
        auto found = m_requests.find(id);
        if (found == m_requests.end() || bytes > m_budget.options().total)
            return Grant::Impossible;
        Request& request = found->second;
        const Queue& queue = queueFor(bytes);
        bool isNext = bytes <= request.bytes || queue.empty() || queue.begin()->second == id;
        if (!isNext || !m_budget.tryExchange(request.bytes, bytes)) {
            if (request.wanted != bytes) {
                leaveQueue(request);
                request.wanted = bytes;
                request.place = m_nextPlace++;
                queueFor(bytes)[request.place] = id;
            }
            return Grant::Waiting;
        }
        bool isRoomForOthers = request.wanted > 0 || bytes < request.bytes;
        request.bytes = bytes;
        if (request.wanted > 0) {
            leaveQueue(request);
            restartMeasurement(request, now);
        }
        if (isRoomForOthers)
            callbacks = wakeCallbacks();
    }
    for (const auto& wake : callbacks)
        wake();
    return Grant::Granted;
}

void RequestBufferBudget::noteReceived(Id id, std::size_t bytes, Instant now)
{
    std::lock_guard guard(m_lock);
    auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    advanceWindow(found->second, now);
    found->second.inWindow += bytes;
}

void RequestBufferBudget::complete(Id id)
{
    std::lock_guard guard(m_lock);
    auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    found->second.isComplete = true;
    found->second.isAborted = false;
}

void RequestBufferBudget::end(Id id)
{
    Functions callbacks;
    {
        std::lock_guard guard(m_lock);
        auto found = m_requests.find(id);
        if (found == m_requests.end())
            return;
        leaveQueue(found->second);
        m_budget.exchange(found->second.bytes, 0);
        m_requests.erase(found);
        callbacks = wakeCallbacks();
    }
    for (const auto& wake : callbacks)
        wake();
}

void RequestBufferBudget::abortSlow(Instant now)
{
    Functions callbacks;
    {
        std::lock_guard guard(m_lock);
        bool isAnyWaiting = !m_queue.empty() || !m_smallQueue.empty();
        if (!isAnyWaiting || now < m_nextCheck)
            return;
        m_nextCheck = now + checkInterval;
        for (const Queue* queue : { &m_queue, &m_smallQueue }) {
            if (!queue->empty())
                abortFor(m_requests.at(queue->begin()->second), now, callbacks);
        }
    }
    for (const auto& abort : callbacks)
        abort();
}

bool RequestBufferBudget::spare(Id id, Instant now)
{
    std::lock_guard guard(m_lock);
    auto found = m_requests.find(id);
    if (found == m_requests.end() || !std::exchange(found->second.isSparable, false))
        return false;
    found->second.isAborted = false;
    restartMeasurement(found->second, now);
    return true;
}

void RequestBufferBudget::countRefusal(RequestRefusal refusal)
{
    std::lock_guard guard(m_lock);
    ++m_refusals.at(static_cast<std::size_t>(refusal));
}

std::array<std::uint64_t, requestRefusalNames.size()> RequestBufferBudget::refusals() const
{
    std::lock_guard guard(m_lock);
    return m_refusals;
}

std::string RequestBufferBudget::prometheusText() const
{
    std::string text = "# HELP hemlock_request_memory_bytes Memory held for callers' requests.\n# TYPE hemlock_request_memory_bytes gauge\nhemlock_request_memory_bytes "
        + std::to_string(reservedBytes())
        + "\n# HELP hemlock_request_refusals_total Requests refused and connections closed by the HTTP server, by cause.\n# TYPE hemlock_request_refusals_total counter\n";
    auto counts = refusals();
    for (std::size_t i = 0; i < counts.size(); ++i)
        text += std::string("hemlock_request_refusals_total{cause=\"") + requestRefusalNames.at(i) + "\"} " + std::to_string(counts.at(i)) + "\n";
    return text;
}

//==============================================================================
void RequestBufferBudget::restartMeasurement(Request& request, Instant now)
{
    request.readSince = request.windowStart = now;
    request.inWindow = request.inLastWindow = 0;
}

void RequestBufferBudget::advanceWindow(Request& request, Instant now) const
{
    Duration elapsed = now - request.windowStart;
    if (elapsed < m_options.window)
        return;
    request.inLastWindow = elapsed < 2 * m_options.window ? request.inWindow : 0;
    request.inWindow = 0;
    request.windowStart = now;
}

/** Bytes a second over the present window and the one before. */
double RequestBufferBudget::rate(const Request& request, Instant now) const
{
    Duration span = std::min(now - request.readSince, now - request.windowStart + m_options.window);
    double seconds = std::chrono::duration<double>(std::max<Duration>(span, 1ms)).count();
    return static_cast<double>(request.inWindow + request.inLastWindow) / seconds;
}

void RequestBufferBudget::leaveQueue(Request& request)
{
    if (request.wanted > 0)
        queueFor(request.wanted).erase(request.place);
    request.wanted = 0;
}

void RequestBufferBudget::appendFirst(const Queue& queue, Functions& callbacks) const
{
    if (!queue.empty())
        callbacks.push_back(m_requests.at(queue.begin()->second).callbacks.wake);
}

RequestBufferBudget::Functions RequestBufferBudget::wakeCallbacks() const
{
    Functions callbacks;
    appendFirst(m_queue, callbacks);
    appendFirst(m_smallQueue, callbacks);
    return callbacks;
}

/** The bytes missing for a waiting request once the requests aborted so far have ended. */
std::size_t RequestBufferBudget::bytesShort(const Request& waiting) const
{
    std::size_t reserved = m_budget.reservedBytes() - waiting.bytes + waiting.wanted;
    for (const auto& [id, request] : m_requests) {
        if (request.isAborted && &request != &waiting)
            reserved -= request.bytes;
    }
    const BufferBudget::Options& bounds = m_budget.options();
    std::size_t limit = bounds.total + (isSmall(waiting.wanted) ? bounds.reserve : 0);
    return reserved > limit ? reserved - limit : 0;
}

/** The incomplete requests below the minimum rate that do not wait for memory; the slowest first, and the largest of equal ones. */
std::vector<RequestBufferBudget::Request*> RequestBufferBudget::slowRequests(Instant now)
{
    std::vector<Request*> slow;
    for (auto& [id, request] : m_requests) {
        advanceWindow(request, now);
        bool isMeasured = now - request.readSince >= m_options.window;
        bool isReading = !request.isComplete && !request.isAborted && request.wanted == 0 && request.bytes > 0;
        if (isMeasured && isReading && rate(request, now) < m_options.minimumRate)
            slow.push_back(&request);
    }
    std::stable_sort(slow.begin(), slow.end(), [&](const Request* a, const Request* b) {
        return std::pair(rate(*a, now), b->bytes) < std::pair(rate(*b, now), a->bytes);
    });
    return slow;
}

/** The last of the large requests that all wait for more while they hold memory, so that none can continue; nothing if any of them can. */
RequestBufferBudget::Request* RequestBufferBudget::lastOfDeadlock(const Request& first)
{
    Request* last = nullptr;
    for (auto& [id, request] : m_requests) {
        if (isSmall(request.bytes) || &request == &first)
            continue;
        if (request.wanted == 0 || request.isAborted)
            return nullptr;
        last = &request;
    }
    return last;
}

void RequestBufferBudget::abortFor(const Request& waiting, Instant now, Functions& callbacks)
{
    auto abort = [&](Request& request) {
        request.isAborted = true;
        callbacks.push_back(request.callbacks.abort);
    };
    std::size_t missing = bytesShort(waiting);
    if (missing == 0)
        return;
    for (Request* request : slowRequests(now)) {
        if (missing == 0)
            return;
        abort(*request);
        missing -= std::min(missing, request->bytes);
    }
    Request* last = missing > 0 ? lastOfDeadlock(waiting) : nullptr;
    if (last) {
        last->isSparable = false;
        abort(*last);
    }
}

//==============================================================================
RequestBufferBudget::Options RequestBufferBudget::Options::withTotal(std::size_t value) const
{
    Options copy = *this;
    copy.total = value;
    return copy;
}

RequestBufferBudget::Options RequestBufferBudget::Options::withSmall(std::size_t value) const
{
    Options copy = *this;
    copy.small = value;
    return copy;
}

RequestBufferBudget::Options RequestBufferBudget::Options::withWindow(Duration value) const
{
    Options copy = *this;
    copy.window = value;
    return copy;
}

RequestBufferBudget::Options RequestBufferBudget::Options::withMinimumRate(double value) const
{
    Options copy = *this;
    copy.minimumRate = value;
    return copy;
}

} // namespace hemlockchute
