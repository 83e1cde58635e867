#include "router/RouterCore.h"

#include <boost/asio/strand.hpp>
#include <iterator>

namespace hemlockchute {

namespace asio = boost::asio;

std::string RouterCounters::text() const
{
    const std::pair<const char*, const std::atomic<std::uint64_t>*> rows[] = {
        { "hemlock_router_requests_total", &requests },
        { "hemlock_router_answered_total", &answered },
        { "hemlock_router_refused_not_run_total", &refusedNotRun },
        { "hemlock_router_refused_outcome_unknown_total", &refusedUnknown },
        { "hemlock_router_callers_left_total", &callersDisconnected },
        { "hemlock_router_attempts_total", &attempts },
        { "hemlock_router_attempts_failed_total", &attemptsFailed },
        { "hemlock_router_streams_resumed_total", &streamsResumed },
        { "hemlock_router_runs_recorded_total", &runsRecorded }
    };
    std::string text;
    for (const auto& [name, value] : rows)
        text += "# TYPE " + std::string(name) + " counter\n" + name + " " + std::to_string(value->load()) + "\n";
    return text;
}

//==============================================================================
RouterCore::RouterCore(asio::io_context& context, DispatchTable::Options options, std::string idPrefix, DataCentreName dataCentre, RunRegistry& runs, std::uint64_t seed)
    : m_context(context)
    , m_dispatcher(std::move(options), seed)
    , m_idPrefix(std::move(idPrefix))
    , m_dataCentre(std::move(dataCentre))
    , m_runs(runs)
{
}

void RouterCore::setDocument(DocumentPointer document)
{
    m_document.store(document);
    m_dispatcher.updateAndRefuse([&](DispatchTable& table) { return table.setDocument(document); });
}

std::shared_ptr<BackendProtocol> RouterCore::protocol(const std::string& name)
{
    std::lock_guard guard(m_lock);
    auto found = m_protocols.find(name);
    if (found == m_protocols.end())
        found = m_protocols.emplace(name, PluginRegistry<BackendProtocol>::instance().create(name)).first;
    return found->second;
}

RequestId RouterCore::makeRequestId()
{
    return RequestId(m_idPrefix + "-r" + std::to_string(++m_lastId));
}

AttemptId RouterCore::makeAttemptId()
{
    return AttemptId(m_idPrefix + "-a" + std::to_string(++m_lastId));
}

void RouterCore::spawn(std::function<asio::awaitable<void>()> work)
{
    {
        std::lock_guard guard(m_lock);
        ++m_runningTasks;
    }
    auto run = std::make_shared<std::function<asio::awaitable<void>()>>(std::move(work));
    asio::co_spawn(
        asio::make_strand(m_context), [run] { return (*run)(); },
        [self = shared_from_this(), run](const std::exception_ptr&) { self->noteTaskFinished(); });
}

void RouterCore::whenIdle(std::function<void()> done)
{
    {
        std::lock_guard guard(m_lock);
        if (m_runningTasks > 0) {
            m_onIdle = std::move(done);
            return;
        }
    }
    done();
}

void RouterCore::noteTaskFinished()
{
    std::function<void()> done;
    {
        std::lock_guard guard(m_lock);
        if (--m_runningTasks == 0)
            done = std::exchange(m_onIdle, nullptr);
    }
    if (done)
        done();
}

} // namespace hemlockchute
