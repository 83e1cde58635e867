#pragma once

#include "hemlockchute/backend/BackendProtocol.h"
#include "hemlockchute/report/BurnRecorder.h"
#include "hemlockchute/report/Metrics.h"
#include "hemlockchute/router/RunRegistry.h"
#include "router/Dispatcher.h"
#include "router/RouterCounters.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>

namespace hemlockchute {

//==============================================================================
/**
    State shared by the handlers of callers' requests.

    Thread safety: every method may be called from any thread.
*/
class RouterCore : public std::enable_shared_from_this<RouterCore> {
public:
    RouterCore(boost::asio::io_context&, DispatchTable::Options, std::string idPrefix, DataCentreName, RunRegistry&, std::uint64_t seed);

    DocumentPointer document() const { return m_document.load(); }
    void setDocument(DocumentPointer);
    Dispatcher& dispatcher() { return m_dispatcher; }
    RunRegistry& runs() { return m_runs; }
    RouterCounters& counters() { return m_counters; }
    Metrics& metrics() { return m_metrics; }
    BurnRecorder& burn() { return m_burn; }
    const DataCentreName& dataCentre() const { return m_dataCentre; }
    boost::asio::io_context& context() { return m_context; }

    /** The protocol plug-in of that name, or null when there is none. */
    std::shared_ptr<BackendProtocol> protocol(const std::string& name);
    RequestId makeRequestId();
    AttemptId makeAttemptId();

    /** Starts a background task that may outlive its request; a graceful stop waits for it. */
    void spawn(std::function<boost::asio::awaitable<void>()>);
    /** Calls back once no spawned task is running. */
    void whenIdle(std::function<void()> done);
    bool isStopping() const { return m_stopping; }
    /** Makes background tasks stop after their current attempt. */
    void beginStopping() { m_stopping = true; }

private:
    void noteTaskFinished();

    boost::asio::io_context& m_context;
    Dispatcher m_dispatcher;
    std::string m_idPrefix;
    DataCentreName m_dataCentre;
    RunRegistry& m_runs;
    RouterCounters m_counters;
    Metrics m_metrics;
    BurnRecorder m_burn;
    std::atomic<DocumentPointer> m_document { std::make_shared<const Document>() };
    std::atomic<std::uint64_t> m_lastId { 0 };
    std::atomic<bool> m_stopping { false };
    std::mutex m_lock;
    std::map<std::string, std::shared_ptr<BackendProtocol>> m_protocols;
    std::size_t m_runningTasks = 0;
    std::function<void()> m_onIdle;
};

/** Handles POST /v1/chat/completions. */
boost::asio::awaitable<void> handleModelRequest(std::shared_ptr<RouterCore>, HttpExchange&);
/** Handles ANY /services/NAME/REST. */
boost::asio::awaitable<void> handleServiceCall(std::shared_ptr<RouterCore>, HttpExchange&);

} // namespace hemlockchute
